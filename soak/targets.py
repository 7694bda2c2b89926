"""Targets that record what they run, and that faults can be injected into."""

from __future__ import annotations

import collections.abc
import enum

import anyio

from zinniastand_platform import wire_names
from zinniastand_proxy.edge import calls

from . import ledger, links, promises

SLOTS = 4
"""Requests that a target runs at the same time, as it registers itself."""

WORK_S = 0.04
"""Seconds for which a target works on a request."""

SLOW_WORK_S = 0.6
"""The same for a slow target."""

HANG_S = 3600.0
"""Seconds for which a target holds a request that it never answers: longer than a
soak."""

CRASH_DELAY_S = 0.02
"""Seconds of work after which a request crashes its target."""

LONG_WORK_S = 1.0
"""Seconds of work for a long request of an uneven target."""

LONG_WORK_PERIOD = 5
"""Number of requests of which an uneven target runs one slowly. The slow ones are few,
so that the proxy expects a fast answer."""


class TargetFault(enum.StrEnum):
    """How a target treats requests."""

    NONE = "none"
    """It runs them."""

    ERROR = "error"
    """It runs them and answers with an error at once."""

    HANG = "hang"
    """It runs them and never answers."""

    SHED = "shed"
    """It refuses them, with proof that it has not run them."""

    BARE = "bare"
    """It runs them and answers 503 without such proof."""

    SLOW = "slow"
    """It runs them slowly."""

    UNEVEN = "uneven"
    """It runs some of them slowly."""

    UNSIGNED = "unsigned"
    """It answers without its signature."""

    FOREIGN = "foreign"
    """On a reused connection it sends an answer to another request before its own."""


STALE_ANSWER = b"\r\n".join(
    [
        b"HTTP/1.1 200 OK",
        wire_names.HEADERS.request_id + b": another",
        wire_names.HEADERS.signature + b": signed",
        b"content-length: 4",
        b"",
        b"late",
    ]
)
"""Answer to an earlier request, which nobody waits for any more."""


class Target:
    """A target behind a link that faults can be injected into."""

    def __init__(self, target_id: str, service: str, entries: ledger.Ledger) -> None:
        self.target_id = target_id
        self.service = service
        self._fault = TargetFault.NONE
        self.link = links.Link(0)
        self.is_leaving = False
        self._has_crashed = False
        self._rate_limit: float | None = None
        self._limit_named_at: float | None = None
        self._run_count = 0
        self._entries = entries
        self._on_crash: collections.abc.Callable[[Target], None] | None = None

    def start_rate_limit(self, rate: float) -> None:
        """Name a rate limit, in requests per second, in all answers from now on."""
        self._rate_limit, self._limit_named_at = rate, None

    def clear_rate_limit(self) -> None:
        """Stop naming a rate limit, and record the period in which answers named it."""
        if self._rate_limit is not None and self._limit_named_at is not None:
            rate_limit_period = ledger.RateLimitPeriod(
                self.target_id,
                self._rate_limit,
                self._limit_named_at,
                anyio.current_time(),
            )
            self._entries.rate_limit_periods.append(rate_limit_period)
        self._rate_limit = None

    def set_crash_callback(
        self, on_crash: collections.abc.Callable[[Target], None]
    ) -> None:
        """Call `on_crash` when this target crashes."""
        self._on_crash = on_crash

    def crash(self, path: str = "") -> None:
        """Close all connections, stop listening and write nothing to the store.

        `path` is that of the request that crashes the target; empty if none does.
        """
        if self._has_crashed:
            return
        self._has_crashed = self.is_leaving = True
        now = anyio.current_time()
        self._entries.crashes.append(ledger.TargetCrash(self.target_id, path, now))
        self.link.crash()
        if self._on_crash is not None:
            self._on_crash(self)

    def set_fault(self, fault: TargetFault) -> None:
        """Set the fault for all requests from now on."""
        self._fault = fault
        self.link.stale_answer = STALE_ANSWER if fault is TargetFault.FOREIGN else b""

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Run a request, or fail it according to the fault."""
        headers = dict(incoming.request.headers)
        request_id = headers.get(wire_names.HEADERS.request_id, b"").decode()
        if headers.get(wire_names.HEADERS.expected_target) != self.target_id.encode():
            return calls.Reply(421, [], b"")
        now = anyio.current_time()
        arrival = ledger.Arrival(request_id, self.target_id, self.service, now)
        self._entries.arrivals.append(arrival)
        if self._fault is TargetFault.SHED:
            not_run_header = (wire_names.HEADERS.not_run, b"1")
            return calls.Reply(
                503, [not_run_header, *self._make_rate_limit_headers()], b""
            )
        status = {TargetFault.ERROR: 500, TargetFault.BARE: 503}.get(self._fault, 200)
        run = ledger.Run(
            request_id,
            self.target_id,
            self.service,
            incoming.request.path.decode(),
            incoming.request.body,
            status,
            anyio.current_time(),
            int(headers.get(wire_names.HEADERS.time_left, b"0")) / wire_names.MS_PER_S,
        )
        self._entries.runs.append(run)
        if run.path.startswith(promises.CRASHING_PREFIX):
            await anyio.sleep(CRASH_DELAY_S)
            self.crash(run.path)
            await anyio.sleep(HANG_S)
        with anyio.CancelScope() as scope:
            incoming.caller.watch(scope, lambda: True)
            await anyio.sleep(self._choose_work_time(run.path))
        is_interrupted = incoming.caller.has_disconnected
        self._entries.run_ends.append(
            ledger.RunEnd(run, is_interrupted, anyio.current_time())
        )
        return self._make_reply(request_id, status)

    def _make_rate_limit_headers(self) -> list[tuple[bytes, bytes]]:
        if self._rate_limit is None:
            return []
        self._limit_named_at = self._limit_named_at or anyio.current_time()
        return [(wire_names.HEADERS.rate_limit, b"%.1f" % self._rate_limit)]

    def _choose_work_time(self, path: str) -> float:
        """Return how long to work; long work takes the milliseconds in its path."""
        self._run_count += 1
        if path.startswith(promises.LONG_PREFIXES):
            return int(path.rpartition("/")[2]) / wire_names.MS_PER_S
        if (
            self._fault is TargetFault.UNEVEN
            and self._run_count % LONG_WORK_PERIOD == 0
        ):
            return LONG_WORK_S
        work_times = {
            TargetFault.HANG: HANG_S,
            TargetFault.SLOW: SLOW_WORK_S,
            TargetFault.ERROR: 0.0,
        }
        return work_times.get(self._fault, WORK_S)

    def _make_reply(self, request_id: str, status: int) -> calls.Reply:
        headers = [
            (wire_names.HEADERS.request_id, request_id.encode()),
            *self._make_rate_limit_headers(),
        ]
        if self._fault is not TargetFault.UNSIGNED:
            headers.append((wire_names.HEADERS.signature, b"signed"))
        body = promises.make_answer(request_id) if status == 200 else b"failed"
        return calls.Reply(status, headers, body)
