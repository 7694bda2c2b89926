"""Targets that keep a ledger of what they ran, and misbehave on demand."""

from __future__ import annotations

import collections.abc
import enum

import anyio

from zinniastand_platform import wire_names
from zinniastand_proxy.edge import calls

from . import ledger, links, promises

SLOTS = 4
WORK = 0.04
"""Seconds that a target works on a request."""

SLOW_WORK = 0.6
"""The same while it is slow."""

FOREVER = 3600.0

CRASH_AFTER = 0.02
"""Seconds of work after which a request crashes its target."""


LONG_WORK = 1.0
"""The same for one piece of work of an uneven target."""

LONG_ONE_IN = 5
"""Of so many requests an uneven target takes long for one: seldom enough that others
expect it to be quick."""


class Fault(enum.StrEnum):
    """How a target treats requests."""

    NONE = "none"
    """It runs them."""

    ERROR = "error"
    """It runs them and answers with an error, at once."""

    HANG = "hang"
    """It runs them and never answers."""

    SHED = "shed"
    """It turns them away with proof that it has not run them."""

    BARE = "bare"
    """It runs them and says 503 without any proof."""

    SLOW = "slow"
    """It takes long."""

    UNEVEN = "uneven"
    """It takes long at times."""

    UNSIGNED = "unsigned"
    """It answers without its signature."""

    FOREIGN = "foreign"
    """On a kept connection an answer to another request comes before its own."""


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
"""An answer to a request whose sender no longer waits."""


class Target:
    """One target behind a faulty link."""

    def __init__(self, target_id: str, service: str, book: ledger.Ledger) -> None:
        self.target_id = target_id
        self.service = service
        self._fault = Fault.NONE
        self.link = links.Link(0)
        self.is_leaving = False
        self._has_crashed = False
        self._limit: float | None = None
        self._limited_at: float | None = None
        self._began = 0
        self._book = book
        self._on_crash: collections.abc.Callable[[Target], None] | None = None

    def begin_limit(self, rate: float) -> None:
        """Name a limit from now on."""
        self._limit, self._limited_at = rate, None

    def end_limit(self) -> None:
        """Name no limit any more."""
        if self._limit is not None and self._limited_at is not None:
            limited = ledger.Limited(
                self.target_id, self._limit, self._limited_at, anyio.current_time()
            )
            self._book.limited.append(limited)
        self._limit = None

    def watch_crash(self, on_crash: collections.abc.Callable[[Target], None]) -> None:
        """Call `on_crash` when this target crashes."""
        self._on_crash = on_crash

    def crash(self, path: str = "") -> None:
        """End without a word; nobody listens at its address any more."""
        if self._has_crashed:
            return
        self._has_crashed = self.is_leaving = True
        now = anyio.current_time()
        self._book.crashed.append(ledger.Crashed(self.target_id, path, now))
        self.link.crash()
        if self._on_crash is not None:
            self._on_crash(self)

    def misbehave(self, fault: Fault) -> None:
        """Treat requests in another way from now on."""
        self._fault = fault
        self.link.first_back = STALE_ANSWER if fault is Fault.FOREIGN else b""

    async def handle(self, incoming: calls.Incoming) -> calls.Reply:
        """Run one request, or fail as the fault says."""
        headers = dict(incoming.request.headers)
        request_id = headers.get(wire_names.HEADERS.request_id, b"").decode()
        if headers.get(wire_names.HEADERS.expected_target) != self.target_id.encode():
            return calls.Reply(421, [], b"")
        now = anyio.current_time()
        arrived = ledger.Arrived(request_id, self.target_id, self.service, now)
        self._book.arrived.append(arrived)
        if self._fault is Fault.SHED:
            not_run = (wire_names.HEADERS.not_run, b"1")
            return calls.Reply(503, [not_run, *self._name_limit()], b"")
        status = {Fault.ERROR: 500, Fault.BARE: 503}.get(self._fault, 200)
        ran = ledger.Ran(
            request_id,
            self.target_id,
            self.service,
            incoming.request.path.decode(),
            incoming.request.body,
            status,
            anyio.current_time(),
            int(headers.get(wire_names.HEADERS.time_left, b"0")) / wire_names.MS_PER_S,
        )
        self._book.ran.append(ran)
        if ran.path.startswith(promises.CRASHING):
            await anyio.sleep(CRASH_AFTER)
            self.crash(ran.path)
            await anyio.sleep(FOREVER)
        with anyio.CancelScope() as scope:
            incoming.caller.watch(scope, lambda: True)
            await anyio.sleep(self._find_time())
        is_cut = incoming.caller.has_disconnected
        self._book.ended.append(ledger.Ended(ran, is_cut, anyio.current_time()))
        return self._answer(request_id, status)

    def _name_limit(self) -> list[tuple[bytes, bytes]]:
        if self._limit is None:
            return []
        self._limited_at = self._limited_at or anyio.current_time()
        return [(wire_names.HEADERS.rate_limit, b"%.1f" % self._limit)]

    def _find_time(self) -> float:
        self._began += 1
        if self._fault is Fault.UNEVEN and self._began % LONG_ONE_IN == 0:
            return LONG_WORK
        times = {Fault.HANG: FOREVER, Fault.SLOW: SLOW_WORK, Fault.ERROR: 0.0}
        return times.get(self._fault, WORK)

    def _answer(self, request_id: str, status: int) -> calls.Reply:
        headers = [
            (wire_names.HEADERS.request_id, request_id.encode()),
            *self._name_limit(),
        ]
        if self._fault is not Fault.UNSIGNED:
            headers.append((wire_names.HEADERS.signature, b"signed"))
        body = promises.make_answer(request_id) if status == 200 else b"failed"
        return calls.Reply(status, headers, body)
