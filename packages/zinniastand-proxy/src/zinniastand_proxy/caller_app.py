"""The ASGI application that serves callers."""

from __future__ import annotations

import collections.abc
import os
import typing

import anyio
import expression

from zinniastand_core import (
    claim_records,
    keys,
    outcomes,
    route_table,
    services,
    timeline,
)

from . import answers, conductor, gate, incoming, service_table

Scope = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]]
Send = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]

MAX_CLOCK_ERROR_S = 5.0
"""Largest error of a caller's clock that the check of a key's age tolerates."""

REQUEST_ID_BYTES = 8
BODY_TIMEOUT_S = 10.0
"""Time within which the complete body of a request must arrive."""

NO_BUNDLE_RETRY_DELAY_S = 1.0
"""Delay for ``Retry-After`` while no configuration is in force."""

OVERLOAD_RETRY_DELAY_S = 0.5
"""Delay for ``Retry-After`` when admission refuses a request."""

KEY_REASONS = {
    keys.KeyFault.MISSING: outcomes.Reason.KEY_MISSING,
    keys.KeyFault.MALFORMED: outcomes.Reason.KEY_MALFORMED,
    keys.KeyFault.TOO_OLD: outcomes.Reason.KEY_TOO_OLD,
    keys.KeyFault.FROM_THE_FUTURE: outcomes.Reason.KEY_FROM_THE_FUTURE,
}


class _CallerDisconnectedError(Exception):
    """The caller disconnected before it could be answered."""


class _BodyError(Exception):
    """The request's body is too large or arrives too slowly."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class CallerApp:
    """Accepts callers' requests and answers each of them once.

    Parameters
    ----------
    dependencies : conductor.Dependencies
        Collaborators and settings that all requests share.
    table : service_table.ServiceTable
        Routes, routers and limits of the bundle in force.
    window : keys.Window
        Range of ages in which a key is valid.
    """

    def __init__(
        self,
        dependencies: conductor.Dependencies,
        table: service_table.ServiceTable,
        window: keys.Window,
    ) -> None:
        self._dependencies = dependencies
        self._table = table
        self._window = window
        self._gates: dict[str, gate.Gate] = {}
        self._in_flight = 0
        self.is_stopping = False

    @property
    def in_flight(self) -> int:
        """Number of requests that have not been answered yet."""
        return self._in_flight

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope: a request, or the lifespan of the server."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        self._in_flight += 1
        started = self._dependencies.timer.now()
        try:
            await self._serve(scope, receive, send, started)
        except _CallerDisconnectedError:
            self._dependencies.metrics.count("zinniastand_callers_gone_total")
        finally:
            self._in_flight -= 1
        duration = self._dependencies.timer.now() - started
        self._dependencies.metrics.record("zinniastand_request_seconds", duration)

    async def _serve(
        self, scope: Scope, receive: Receive, send: Send, started: float
    ) -> None:
        headers: incoming.Headers = [
            (name.lower(), value) for name, value in scope["headers"]
        ]
        method = scope["method"].upper()
        target = incoming.find_target(scope)
        match incoming.check_head(method, target, headers):
            case expression.Result(tag="error", error=incoming.Fault() as fault):
                await self._send_bad_request(send, fault.status, fault.detail)
                return
            case _:
                pass
        try:
            body = await self._read_body(receive)
        except _BodyError as error:
            await self._send_bad_request(send, error.status, str(error))
            return
        match incoming.build(scope, headers, body):
            case expression.Result(tag="ok", ok=incoming.Request() as request):
                answer = await self._handle(request, receive, started)
                await self._send(send, answer, is_head=method == "HEAD")
            case expression.Result(error=fault):
                await self._send_bad_request(send, fault.status, fault.detail)

    async def _handle(
        self, request: incoming.Request, receive: Receive, started: float
    ) -> answers.Answer:
        if not self._table.routers:
            return self._make_refusal(
                outcomes.Reason.NO_BUNDLE, started + NO_BUNDLE_RETRY_DELAY_S
            )
        match = self._table.routes.find(request.method, request.path)
        if match is None:
            return self._make_refusal(outcomes.Reason.NO_ROUTE)
        allowed_time = match.kind.time_limit
        if request.timeout is not None:
            allowed_time = min(allowed_time, request.timeout)
        deadline = started + allowed_time
        budget = self._table.find_account_budget(request.account, started)
        if budget is not None and not budget.spend(started):
            retry_at = budget.find_refill_time(started)
            return self._make_refusal(outcomes.Reason.OVER_LIMIT, retry_at)
        return await self._admit(request, match, deadline, receive)

    async def _admit(
        self,
        request: incoming.Request,
        match: route_table.Match,
        deadline: float,
        receive: Receive,
    ) -> answers.Answer:
        now = self._dependencies.timer.now()
        claim = None
        if match.kind.work is services.Work.AT_MOST_ONCE:
            claim_result = self._make_claim(request, match, deadline, now)
            if claim_result.is_error():
                return self._make_refusal(KEY_REASONS[claim_result.error])
            claim = claim_result.ok
        service_gate = self._find_gate(match.service)
        if not await service_gate.enter(match.kind.weight, deadline):
            now = self._dependencies.timer.now()
            return self._make_refusal(
                outcomes.Reason.OVERLOADED, now + OVERLOAD_RETRY_DELAY_S
            )
        admitted_at = self._dependencies.timer.now()
        try:
            return await self._run_request(request, match, deadline, claim, receive)
        finally:
            service_gate.leave(self._dependencies.timer.now() - admitted_at)

    async def _run_request(
        self,
        request: incoming.Request,
        match: route_table.Match,
        deadline: float,
        claim: claim_records.Claim | None,
        receive: Receive,
    ) -> answers.Answer:
        request_id = os.urandom(REQUEST_ID_BYTES).hex().encode()

        async def _wait_disconnected() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass

        request_conductor = conductor.Conductor(
            self._dependencies,
            self._table.routers[match.service],
            match.kind,
            request,
            request_id,
            deadline,
            claim,
            _wait_disconnected,
        )
        reply = await request_conductor.run()
        if reply.answer is not None:
            self._dependencies.metrics.count("zinniastand_answers_total")
            return reply.answer
        if reply.refusal is None:
            raise _CallerDisconnectedError
        self._record_refusal(request_id.decode(), match, reply.refusal)
        return self._make_refusal_answer(reply.refusal)

    def _make_claim(
        self,
        request: incoming.Request,
        match: route_table.Match,
        deadline: float,
        now: float,
    ) -> expression.Result[claim_records.Claim, keys.KeyFault]:
        key_result = keys.read_key(
            request.key, request.account, match.service, self._window, now
        )
        if key_result.is_error():
            return expression.Error(key_result.error)
        claim = conductor.make_claim(
            self._dependencies,
            key_result.ok.digest,
            key_result.ok.made_at,
            request.fingerprint(),
            deadline,
            now,
        )
        return expression.Ok(claim)

    def _find_gate(self, service: str) -> gate.Gate:
        """Return the gate of a service; create one if its router is new or replaced."""
        admission_control = self._table.routers[service].admission
        current_gate = self._gates.get(service)
        if (
            current_gate is None
            or current_gate.admission_control is not admission_control
        ):
            current_gate = self._gates[service] = gate.Gate(
                admission_control, self._dependencies.timer
            )
        return current_gate

    def _record_refusal(
        self, request_id: str, match: route_table.Match, refusal: outcomes.Refusal
    ) -> None:
        kind = timeline.EventKind.REQUEST_NOT_RUN
        if refusal.outcome is not outcomes.Outcome.NOT_RUN:
            kind = timeline.EventKind.REQUEST_UNKNOWN
        detail = f"{match.service}/{match.kind.name}: {refusal.reason}"
        self._dependencies.events.record(
            kind, request_id, detail, self._dependencies.timer.now()
        )

    def _make_refusal(
        self, reason: outcomes.Reason, retry_at: float | None = None
    ) -> answers.Answer:
        refusal = outcomes.Refusal(outcomes.Outcome.NOT_RUN, reason, retry_at)
        return self._make_refusal_answer(refusal)

    def _make_refusal_answer(self, refusal: outcomes.Refusal) -> answers.Answer:
        label = f'outcome="{refusal.outcome}",reason="{refusal.reason}"'
        self._dependencies.metrics.count("zinniastand_refusals_total", label)
        return answers.make_problem_answer(refusal, "", self._dependencies.timer.now())

    async def _send_bad_request(self, send: Send, status: int, detail: str) -> None:
        self._dependencies.metrics.count("zinniastand_bad_requests_total")
        answer = answers.make_bad_request_answer(
            status, detail, self._dependencies.timer.now()
        )
        await self._send(send, answer, is_head=False)

    async def _send(self, send: Send, answer: answers.Answer, is_head: bool) -> None:
        headers = list(answer.headers)
        if not is_head:
            headers.append((b"content-length", str(len(answer.body)).encode()))
        if self.is_stopping:
            # Without this header, the caller could send its next request on a
            # connection that is about to close.
            headers.append((b"connection", b"close"))
        start = {"status": answer.status, "headers": headers}
        await send({"type": "http.response.start", **start})
        body = b"" if is_head else answer.body
        await send({"type": "http.response.body", "body": body})

    async def _read_body(self, receive: Receive) -> bytes:
        """Return the complete body.

        Raises
        ------
        _CallerDisconnectedError
            If the caller disconnects first.
        _BodyError
            If the body is too large or arrives too slowly.
        """
        chunks: list[bytes] = []
        size = 0
        with anyio.move_on_after(BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise _CallerDisconnectedError
                chunk = message.get("body", b"")
                size += len(chunk)
                if size > self._dependencies.max_body_bytes:
                    raise _BodyError(413, "the body is over the bound")
                chunks.append(chunk)
                if not message.get("more_body", False):
                    return b"".join(chunks)
        raise _BodyError(408, "the body came too slowly")


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Serve an ASGI lifespan scope; there is nothing to set up or close."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def make_window(length: float) -> keys.Window:
    """Return the key window of `length` seconds, with `MAX_CLOCK_ERROR_S`."""
    return keys.Window(length, MAX_CLOCK_ERROR_S)
