"""Stops a VM in an order in which no request is cut off."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from . import supervision

ANSWER_MARGIN_S = 0.4
"""Seconds before the time limit of a stop by which requests must have an answer."""

MIN_ANSWER_MARGIN_S = 0.3
"""The same for the shortest stops."""

ANSWER_MARGIN_SHARE = 1 / 6
"""Share of the time limit beyond which the margin of a short stop does not grow:
targets may be at work in the last sixth of a stop."""

MAX_WRITE_TIME_S = 0.2
"""Maximum seconds for writing the answers that are ready at that time. The rest of the
margin remains for ending the process."""

POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether any request still awaits its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Time limits of a stop, from the settings in force when it begins."""

    limit: float
    """Seconds until the process is killed."""

    unready_after: float
    """Seconds until the load balancer has noticed that this VM is not ready."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSummary:
    """Results of a stop."""

    cut_off: int
    """Requests that were received completely and got no answer."""

    cut_reading: int
    """Requests that were received only in part."""

    duration: float
    """Duration of the stop in seconds."""


class CallerServer(typing.Protocol):
    """The server for callers."""

    @property
    def in_flight(self) -> int:
        """Requests that were received completely and are not answered yet."""
        ...

    def has_unfinished_work(self) -> bool:
        """Return whether any request is received in part or awaits its answer."""
        ...

    def count_receiving(self) -> int:
        """Return the number of requests that are received in part."""
        ...

    async def close_idle(self) -> None:
        """Close the connections without unfinished requests."""
        ...

    def stop_accepting(self) -> None:
        """Accept no further connections."""
        ...


class StoppingVm(typing.Protocol):
    """The VM that stops."""

    def begin_stop(self, answer_by: float) -> None:
        """Report this VM as not ready, and answer each request by a given time.

        Parameters
        ----------
        answer_by : float
            Seconds of the monotonic clock.
        """
        ...

    def send_estimates(self) -> None:
        """Send the estimates of this VM's dispatchers to the others."""
        ...

    def announce_leaving(self) -> None:
        """Announce to the others that this VM is leaving."""
        ...

    def count_relayed(self) -> int:
        """Return the number of connections that this VM relays for others."""
        ...

    async def hand_over_retries(self) -> None:
        """Hand the counts of requests and retries over to other VMs."""
        ...


async def stop(
    vm: StoppingVm,
    callers: CallerServer,
    times: StopTimes,
    report_fault: supervision.ReportFault,
) -> StopSummary:
    """Stop a VM; return once all requests are answered, or shortly before the limit.

    The load balancer sends requests until it notices that the VM is not ready, and
    these are served. Idle connections are closed only after that, and new ones are
    accepted until no request is left: one that was accepted while the process ends
    would be cut off. An error in one step is reported and does not prevent the
    following steps.
    """
    began_at = anyio.current_time()
    answer_by = began_at + times.limit - _find_margin(times.limit)
    write_by = answer_by + MAX_WRITE_TIME_S
    steps: list[tuple[str, collections.abc.Callable[[], None]]] = [
        ("begin stop", lambda: vm.begin_stop(answer_by)),
        ("tell opinions", vm.send_estimates),
        ("tell leaving", vm.announce_leaving),
    ]
    for name, step in steps:
        supervision.attempt(name, step, report_fault)
    await anyio.sleep_until(min(began_at + times.unready_after, answer_by))
    await _finish_requests(vm, callers, answer_by, report_fault)
    supervision.attempt("stop accepting", callers.stop_accepting, report_fault)
    await _finish_requests(vm, callers, write_by, report_fault)
    with anyio.CancelScope(deadline=write_by):
        await supervision.attempt_async(
            "hand over retries", vm.hand_over_retries, report_fault
        )
    duration = anyio.current_time() - began_at
    return StopSummary(callers.in_flight, callers.count_receiving(), duration)


def _find_margin(limit: float) -> float:
    """Return the seconds before the limit of a stop that remain for its last steps."""
    return min(ANSWER_MARGIN_S, max(MIN_ANSWER_MARGIN_S, limit * ANSWER_MARGIN_SHARE))


async def _finish_requests(
    vm: StoppingVm,
    callers: CallerServer,
    end: float,
    report_fault: supervision.ReportFault,
) -> None:
    """Close idle connections, and wait until all requests are answered.

    Done twice, because connections that were opened while requests of the first pass
    were answered are idle then.
    """
    for _ in range(2):
        await supervision.attempt_async("close idle", callers.close_idle, report_fault)
        await _wait_until_answered(vm, callers, end)


async def _wait_until_answered(
    vm: StoppingVm, callers: CallerServer, end: float
) -> None:
    while (
        callers.has_unfinished_work() or vm.count_relayed()
    ) and anyio.current_time() < end:
        await anyio.sleep(POLL_INTERVAL_S)
