"""Stops a VM in the order that cuts nobody off."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from . import supervision

MARGIN = 0.4
"""Seconds before the limit of a stop by which requests have their answer."""

SETTLE = 0.2
"""Most seconds after that for writing these answers. The rest of the margin is for the
end of the process."""

POLL = 0.02
"""Seconds between two looks whether anything is still owed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """What bounds a stop, as the settings say when it begins."""

    limit: float
    """Seconds until the process is killed."""

    unready_after: float
    """Seconds until the balancer has noticed that readiness is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSummary:
    """What a stop did."""

    cut_off: int
    """Requests that were read whole and did not get their answer."""

    cut_reading: int
    """Requests that had begun and were not read whole."""

    duration: float
    """Seconds."""


class CallerSide(typing.Protocol):
    """The side on which callers are served."""

    @property
    def in_flight(self) -> int:
        """Requests that were read whole and are not answered yet."""
        ...

    def has_unfinished_work(self) -> bool:
        """Return whether any caller is owed something."""
        ...

    def count_receiving(self) -> int:
        """Return how many requests have begun and are not whole yet."""
        ...

    async def close_idle(self) -> None:
        """Close the connections on which nothing is owed."""
        ...


class StoppingVm(typing.Protocol):
    """What stops."""

    def begin_stop(self, answer_by: float) -> None:
        """Refuse readiness, and give each request its answer by a time."""
        ...

    def send_estimates(self) -> None:
        """Tell the others what this VM thinks of targets."""
        ...

    def announce_leaving(self) -> None:
        """Tell the others that this VM leaves."""
        ...


async def stop(
    leaver: StoppingVm,
    served: CallerSide,
    times: StopTimes,
    report_fault: supervision.ReportFault,
) -> StopSummary:
    """Stop; return once nothing is owed, or the limit is near.

    The balancer goes on sending until it has noticed that readiness is gone, and those
    requests are served. Only then do idle connections close. A step that meets a fault
    is noted, and the others are done all the same.
    """
    began = anyio.current_time()
    answer_by = began + times.limit - MARGIN
    steps: list[tuple[str, collections.abc.Callable[[], None]]] = [
        ("begin stop", lambda: leaver.begin_stop(answer_by)),
        ("tell opinions", leaver.send_estimates),
        ("tell leaving", leaver.announce_leaving),
    ]
    for name, step in steps:
        supervision.attempt(name, step, report_fault)
    await anyio.sleep_until(min(began + times.unready_after, answer_by))
    # Twice: connections that came while the first ones were answered are idle now.
    for _ in range(2):
        await supervision.attempt_async("close idle", served.close_idle, report_fault)
        await _wait_settled(served, answer_by + SETTLE)
    duration = anyio.current_time() - began
    return StopSummary(served.in_flight, served.count_receiving(), duration)


async def _wait_settled(served: CallerSide, end: float) -> None:
    while served.has_unfinished_work() and anyio.current_time() < end:
        await anyio.sleep(POLL)
