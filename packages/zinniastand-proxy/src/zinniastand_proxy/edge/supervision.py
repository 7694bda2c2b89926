"""Keeps background tasks running, so that a fault in one ends no request.

An error that leaves a task group cancels all of it. Here that would be the listeners
and all requests under way, for a fault in telling an opinion for instance.
"""

from __future__ import annotations

import collections.abc

import anyio

RESTART_PAUSE = 0.5
"""Seconds before a task that ended is started again: short beside the seconds after
which others miss what it does; a fault that lasts must not take the processor."""

Run = collections.abc.Callable[[], collections.abc.Awaitable[None]]

ReportFault = collections.abc.Callable[[str, BaseException], None]
"""Takes the name of a task and its error."""


async def keep_running(
    name: str,
    run: Run,
    report_fault: ReportFault,
) -> None:
    """Run a task until cancelled, and start it again after each fault."""
    while True:
        try:
            await run()
        except Exception as error:
            report_fault(name, error)
        await anyio.sleep(RESTART_PAUSE)


def attempt(
    name: str, act: collections.abc.Callable[[], None], report_fault: ReportFault
) -> None:
    """Do one step; note its fault and go on with what follows."""
    try:
        act()
    except Exception as error:
        report_fault(name, error)


async def attempt_async(
    name: str,
    act: Run,
    report_fault: ReportFault,
) -> None:
    """Do one step that waits; note its fault and go on with what follows."""
    try:
        await act()
    except Exception as error:
        report_fault(name, error)
