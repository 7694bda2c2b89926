"""The ASGI application that callers talk to."""

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

CLOCK_ERROR = 5.0
REQUEST_ID_BYTES = 8
BODY_LIMIT = 10.0
BUNDLE_PAUSE = 1.0
OVERLOAD_PAUSE = 0.5

KEY_REASONS = {
    keys.KeyFault.MISSING: outcomes.Reason.KEY_MISSING,
    keys.KeyFault.MALFORMED: outcomes.Reason.KEY_MALFORMED,
    keys.KeyFault.TOO_OLD: outcomes.Reason.KEY_TOO_OLD,
    keys.KeyFault.FROM_THE_FUTURE: outcomes.Reason.KEY_FROM_THE_FUTURE,
}


class _GoneError(Exception):
    """The caller went away before its request was whole."""


class _BodyError(Exception):
    """The body is too large or too slow."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class CallerApp:
    """Takes requests of callers and answers each of them once.

    Parameters
    ----------
    dependencies : conductor.Dependencies
        What every request needs.
    table : service_table.ServiceTable
        The bundle in force.
    window : keys.Window
        How old a key may be.
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
        """Requests that have not been answered yet."""
        return self._in_flight

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        self._in_flight += 1
        started = self._dependencies.timer.now()
        try:
            await self._serve(scope, receive, send, started)
        except _GoneError:
            self._dependencies.metrics.count("zinniastand_callers_gone_total")
        finally:
            self._in_flight -= 1
        took = self._dependencies.timer.now() - started
        self._dependencies.metrics.record("zinniastand_request_seconds", took)

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
                await self._send_fault(send, fault.status, fault.detail)
                return
            case _:
                pass
        try:
            body = await self._read_body(receive)
        except _BodyError as error:
            await self._send_fault(send, error.status, str(error))
            return
        match incoming.build(scope, headers, body):
            case expression.Result(tag="ok", ok=incoming.Request() as request):
                answer = await self._handle(request, receive, started)
                await self._send(send, answer, is_head=method == "HEAD")
            case expression.Result(error=fault):
                await self._send_fault(send, fault.status, fault.detail)

    async def _handle(
        self, request: incoming.Request, receive: Receive, started: float
    ) -> answers.Answer:
        if not self._table.routers:
            return self._refuse(outcomes.Reason.NO_BUNDLE, started + BUNDLE_PAUSE)
        match = self._table.routes.find(request.method, request.path)
        if match is None:
            return self._refuse(outcomes.Reason.NO_ROUTE)
        limit = match.kind.time_limit
        if request.timeout is not None:
            limit = min(limit, request.timeout)
        deadline = started + limit
        budget = self._table.find_account_budget(request.account, started)
        if budget is not None and not budget.spend(started):
            retry_at = budget.find_refill_time(started)
            return self._refuse(outcomes.Reason.OVER_LIMIT, retry_at)
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
            made = self._make_claim(request, match, deadline, now)
            if made.is_error():
                return self._refuse(KEY_REASONS[made.error])
            claim = made.ok
        door = self._find_gate(match.service)
        if not await door.enter(match.kind.weight, deadline):
            now = self._dependencies.timer.now()
            return self._refuse(outcomes.Reason.OVERLOADED, now + OVERLOAD_PAUSE)
        entered = self._dependencies.timer.now()
        try:
            return await self._conduct(request, match, deadline, claim, receive)
        finally:
            door.leave(self._dependencies.timer.now() - entered)

    async def _conduct(
        self,
        request: incoming.Request,
        match: route_table.Match,
        deadline: float,
        claim: claim_records.Claim | None,
        receive: Receive,
    ) -> answers.Answer:
        request_id = os.urandom(REQUEST_ID_BYTES).hex().encode()

        async def _wait_gone() -> None:
            while (await receive())["type"] != "http.disconnect":
                pass

        run = conductor.Conductor(
            self._dependencies,
            self._table.routers[match.service],
            match.kind,
            request,
            request_id,
            deadline,
            claim,
            _wait_gone,
        )
        reply = await run.run()
        if reply.answer is not None:
            self._dependencies.metrics.count("zinniastand_answers_total")
            return reply.answer
        if reply.refusal is None:
            raise _GoneError
        self._note_refusal(request_id.decode(), match, reply.refusal)
        return self._refuse_with(reply.refusal)

    def _make_claim(
        self,
        request: incoming.Request,
        match: route_table.Match,
        deadline: float,
        now: float,
    ) -> expression.Result[claim_records.Claim, keys.KeyFault]:
        read = keys.read_key(
            request.key, request.account, match.service, self._window, now
        )
        if read.is_error():
            return expression.Error(read.error)
        claim = conductor.make_claim(
            self._dependencies,
            read.ok.digest,
            read.ok.made_at,
            request.fingerprint(),
            deadline,
            now,
        )
        return expression.Ok(claim)

    def _find_gate(self, service: str) -> gate.Gate:
        door = self._table.routers[service].admission
        known = self._gates.get(service)
        if known is None or known.door is not door:
            known = self._gates[service] = gate.Gate(door, self._dependencies.timer)
        return known

    def _note_refusal(
        self, request_id: str, match: route_table.Match, refusal: outcomes.Refusal
    ) -> None:
        kind = timeline.EventKind.REQUEST_NOT_RUN
        if refusal.outcome is not outcomes.Outcome.NOT_RUN:
            kind = timeline.EventKind.REQUEST_UNKNOWN
        detail = f"{match.service}/{match.kind.name}: {refusal.reason}"
        self._dependencies.events.record(
            kind, request_id, detail, self._dependencies.timer.now()
        )

    def _refuse(
        self, reason: outcomes.Reason, retry_at: float | None = None
    ) -> answers.Answer:
        refusal = outcomes.Refusal(outcomes.Outcome.NOT_RUN, reason, retry_at)
        return self._refuse_with(refusal)

    def _refuse_with(self, refusal: outcomes.Refusal) -> answers.Answer:
        label = f'outcome="{refusal.outcome}",reason="{refusal.reason}"'
        self._dependencies.metrics.count("zinniastand_refusals_total", label)
        return answers.make_problem_answer(refusal, "", self._dependencies.timer.now())

    async def _send_fault(self, send: Send, status: int, detail: str) -> None:
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
            # A caller must not send its next request into a connection about to close.
            headers.append((b"connection", b"close"))
        start = {"status": answer.status, "headers": headers}
        await send({"type": "http.response.start", **start})
        body = b"" if is_head else answer.body
        await send({"type": "http.response.body", "body": body})

    async def _read_body(self, receive: Receive) -> bytes:
        chunks: list[bytes] = []
        size = 0
        with anyio.move_on_after(BODY_LIMIT):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise _GoneError
                chunk = message.get("body", b"")
                size += len(chunk)
                if size > self._dependencies.max_body_bytes:
                    raise _BodyError(413, "the body is over the bound")
                chunks.append(chunk)
                if not message.get("more_body", False):
                    return b"".join(chunks)
        raise _BodyError(408, "the body came too slowly")


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Serve an ASGI lifespan scope, which has nothing to set up here."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def make_window(length: float) -> keys.Window:
    """Return the key window for a length in seconds."""
    return keys.Window(length, CLOCK_ERROR)
