"""A stand-in target with slots, gray faults and a ledger of the work it started."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import random
import time

import anyio

from zinniastand_proxy import caller_app, http_app

from . import asgi, work_ledger

NAME_HEADER = b"x-work-name"
START_HEADER = b"x-start-deadline-ms"
ECHO_HEADER = b"x-request-id"
WORKED_HEADER = b"x-worked-ms"
MS_PER_S = 1000.0


class Fault(enum.StrEnum):
    """A gray fault: requests suffer from it while probes are still answered."""

    NONE = "none"
    ERRORS = "errors"
    SLOW = "slow"
    SILENT = "silent"
    CUT = "cut"
    CROSSED = "crossed"


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """The fault of a target and how strongly it shows."""

    fault: Fault = Fault.NONE
    """Kind of the fault."""

    share: float = 1.0
    """Share of requests that the fault affects (0 to 1)."""

    factor: float = 10.0
    """Factor by which the work time of a slow request rises."""


class Target(http_app.HttpApp):
    """A target that serves requests as long as it has free slots.

    Parameters
    ----------
    name : str
        Name of the target.
    ledger : work_ledger.WorkLedger
        Records each request when its work starts.
    slots : int
        Requests that it works on at a time; it refuses more before their work starts.
    work_time : float
        Median seconds of work for a request.
    generator : random.Random
        Source of work times and of the requests that a fault affects.
    """

    def __init__(
        self,
        name: str,
        ledger: work_ledger.WorkLedger,
        slots: int,
        work_time: float,
        generator: random.Random,
    ) -> None:
        self.name = name
        self.behaviour = Behaviour()
        self.is_leaving = False
        self.received_at: list[float] = []
        self.on_headers: collections.abc.Callable[[dict[bytes, bytes]], object] = (
            lambda headers: None
        )
        self._ledger = ledger
        self._slots = slots
        self._work_time = work_time
        self._generator = generator
        self._busy_slots = 0

    async def serve(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Answer a probe, refuse a request, or work on it."""
        body = await asgi.read_body(receive)
        if scope["path"] == "/health":
            await asgi.answer(send, 200, b"fine")
            return
        self.received_at.append(time.time())
        headers = dict(scope["headers"])
        self.on_headers(headers)
        echo = [(ECHO_HEADER, headers.get(ECHO_HEADER, b""))]
        refusal = self._find_refusal(headers)
        if refusal:
            await asgi.answer(send, 503, b"", [*echo, (b"x-not-started", refusal)])
            return
        self._busy_slots += 1
        try:
            await self._work(headers, body, echo, send)
        finally:
            self._busy_slots -= 1

    def _find_refusal(self, headers: dict[bytes, bytes]) -> bytes:
        if self.is_leaving:
            return b"leaving"
        if self._busy_slots >= self._slots:
            return b"busy"
        deadline = headers.get(START_HEADER)
        if deadline and time.time() * MS_PER_S > int(deadline):
            return b"late"
        return b""

    async def _work(
        self,
        headers: dict[bytes, bytes],
        body: bytes,
        echo: list[tuple[bytes, bytes]],
        send: caller_app.Send,
    ) -> None:
        name = headers.get(NAME_HEADER, b"").decode()
        self._ledger.record(work_ledger.Run(name, self.name, time.time()))
        fault = self._draw_fault()
        started = time.monotonic()
        work_duration = self._work_time * self._generator.lognormvariate(0.0, 0.25)
        if fault is Fault.SLOW:
            work_duration *= self.behaviour.factor
        await anyio.sleep(work_duration)
        if fault is Fault.SILENT:
            await anyio.sleep_forever()
        if fault is Fault.ERRORS:
            await asgi.answer(send, 500, b"failed", echo)
            return
        worked_ms = f"{MS_PER_S * (time.monotonic() - started):.3f}".encode()
        echo = [*echo, (WORKED_HEADER, worked_ms)]
        if fault is Fault.CROSSED:
            echo = [(ECHO_HEADER, b"somebody-else")]
        answer = b"done:" + name.encode() + b":" + body
        if fault is Fault.CUT:
            await _send_cut(send, answer, echo)
            return
        await asgi.answer(send, 200, answer, echo)

    def _draw_fault(self) -> Fault:
        if self._generator.random() < self.behaviour.share:
            return self.behaviour.fault
        return Fault.NONE


async def _send_cut(
    send: caller_app.Send, answer: bytes, headers: list[tuple[bytes, bytes]]
) -> None:
    """Send a body that is shorter than its content length says."""
    length = (b"content-length", str(len(answer) + 10).encode())
    start = {"status": 200, "headers": [*headers, length]}
    await send({"type": "http.response.start", **start})
    await send({"type": "http.response.body", "body": answer})
