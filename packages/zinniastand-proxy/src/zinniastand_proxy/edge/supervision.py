"""Keeps background tasks running, so that an error in one ends no request.

An error that leaves a task group cancels all tasks of the group. So an error in sending
estimates, for instance, would end the listeners and all requests under way.
"""

from __future__ import annotations

import collections.abc

import anyio

RESTART_DELAY_S = 0.5
"""Seconds before a task that ended is started again. This is short compared with the
seconds after which other VMs miss its work, and long enough that a lasting error does
not use up the processor."""

Run = collections.abc.Callable[[], collections.abc.Awaitable[None]]

ReportFault = collections.abc.Callable[[str, BaseException], None]
"""Called with the name of a task and its error."""


async def keep_running(
    name: str,
    run: Run,
    report_fault: ReportFault,
) -> None:
    """Run a task until cancelled, and start it again after each error."""
    while True:
        try:
            await run()
        except Exception as error:
            report_fault(name, error)
        await anyio.sleep(RESTART_DELAY_S)


def attempt(
    name: str, act: collections.abc.Callable[[], None], report_fault: ReportFault
) -> None:
    """Perform one step; report an error in it instead of raising."""
    try:
        act()
    except Exception as error:
        report_fault(name, error)


async def attempt_async(
    name: str,
    act: Run,
    report_fault: ReportFault,
) -> None:
    """Perform one asynchronous step; report an error in it instead of raising."""
    try:
        await act()
    except Exception as error:
        report_fault(name, error)
