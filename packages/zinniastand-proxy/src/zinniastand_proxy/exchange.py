"""One attempt: sends a request on one connection and validates the whole answer."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio
import httpcore

from zinniastand_core import attempt_actions, services

from . import answers, clock, connections, incoming

MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """Data that all attempts of a request share."""

    request: incoming.Request
    """The caller's request, which every attempt repeats."""

    request_id: bytes
    """Identifies the request to the target, which may echo it in the answer."""

    service: services.Service
    """Service whose rules for answers apply."""

    start_deadline: float | None
    """Unix seconds after which the target must not start the work, if limited."""

    max_body_bytes: int
    """Largest answer body that is accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """How an attempt ended."""

    answer: answers.Answer | None
    """The complete answer, or None if the attempt failed."""

    failure: attempt_actions.Failure | None
    """How the attempt failed, or None after an answer."""

    was_pooled: bool
    """Whether the connection had been used before."""

    is_leaving: bool = False
    """Whether the target announced that it is leaving."""

    detail: str = ""
    """Explanation for the timeline."""


class Exchanger:
    """Sends attempts to targets.

    Parameters
    ----------
    pool : connections.Connections
        Connections to targets.
    timer : clock.Clock
        Source of the current time.
    """

    def __init__(self, pool: connections.Connections, timer: clock.Clock) -> None:
        self._pool = pool
        self._timer = timer

    async def exchange(self, send: attempt_actions.Send, task: Task) -> Result:
        """Send the request once and return how the attempt ended.

        Failures are returned, not raised. Cancellation closes the connection, which
        shows the target that the answer is no longer needed.
        """
        target_connections = self._pool.find(send.target)
        try:
            connection = await target_connections.acquire(
                send.freshness, self._timer.now()
            )
        except connections.NoFreeConnectionError:
            return Result(None, attempt_actions.Failure.BUSY, False)
        except connections.NoConnectionError as error:
            failure = attempt_actions.Failure.NOT_HANDED
            return Result(None, failure, False, detail=str(error))
        was_pooled = not connection.is_new
        sender = _Sender(connection, task, send)
        with anyio.move_on_at(clock.convert_deadline(send.deadline, self._timer.now())):
            try:
                result = await sender.run()
            except BaseException:
                await target_connections.discard(connection)
                raise
            if result.answer is None and result.failure is not _REFUSED:
                await target_connections.discard(connection)
            else:
                target_connections.release(connection, self._timer.now())
            return result
        return Result(None, attempt_actions.Failure.OVERDUE, was_pooled)


_REFUSED = attempt_actions.Failure.REFUSED


class _Sender:
    """Sends one request on one connection."""

    def __init__(
        self, connection: connections.Connection, task: Task, send: attempt_actions.Send
    ) -> None:
        self._connection = connection
        self._task = task
        self._send = send
        self._was_pooled = not connection.is_new

    async def run(self) -> Result:
        """Send the request and return how it ended."""
        request = httpcore.Request(
            self._task.request.method,
            httpcore.URL(
                scheme=b"http",
                host=self._send.target.host.encode(),
                port=self._send.target.port,
                target=self._task.request.target,
            ),
            headers=self._make_headers(),
            content=self._task.request.body,
        )
        try:
            response = await self._connection.http.handle_async_request(request)
        except (httpcore.ConnectionNotAvailable, httpcore.LocalProtocolError) as error:
            return self._fail(attempt_actions.Failure.NOT_HANDED, error)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            return self._fail(attempt_actions.Failure.SILENT, error)
        try:
            body = await self._read_body(response)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
            return self._fail(attempt_actions.Failure.CUT, error)
        if body is None:
            return self._fail(attempt_actions.Failure.CUT, "answer body is too large")
        return self._validate(response, body)

    async def _read_body(self, response: httpcore.Response) -> bytes | None:
        """Return the complete body, or None if it exceeds the limit."""
        chunks: list[bytes] = []
        size = 0
        stream = typing.cast("collections.abc.AsyncIterable[bytes]", response.stream)
        async for chunk in stream:
            size += len(chunk)
            if size > self._task.max_body_bytes:
                return None
            chunks.append(chunk)
        await response.aclose()
        return b"".join(chunks)

    def _validate(self, response: httpcore.Response, body: bytes) -> Result:
        """Return the result of a received answer, which may be invalid or a refusal."""
        headers = [(name.lower(), value) for name, value in response.headers]
        values_by_name = dict(headers)
        announces_leaving = b"close" in values_by_name.get(b"connection", b"").lower()
        if not _has_stated_end(
            response.status, values_by_name, self._task.request.method
        ):
            return self._fail(
                attempt_actions.Failure.CUT,
                "answer has neither content-length nor transfer-encoding",
            )
        echo = self._task.service.echo_header.encode()
        if echo and values_by_name.get(echo) != self._task.request_id:
            return self._fail(
                attempt_actions.Failure.CUT, "answer belongs to another request"
            )
        not_started_rule = self._task.service.not_started
        if (
            response.status == not_started_rule.status
            and not_started_rule.header.encode() in values_by_name
        ):
            detail = values_by_name[not_started_rule.header.encode()].decode("latin-1")
            return Result(
                None,
                attempt_actions.Failure.REFUSED,
                self._was_pooled,
                is_leaving=detail == "leaving",
                detail=detail,
            )
        end_to_end = incoming.keep_end_to_end(headers)
        end_to_end = tuple(item for item in end_to_end if item[0] != b"content-length")
        answer = answers.Answer(response.status, end_to_end, body)
        return Result(answer, None, self._was_pooled, is_leaving=announces_leaving)

    def _fail(self, failure: attempt_actions.Failure, error: object) -> Result:
        detail = f"{type(error).__name__}: {error}"
        if isinstance(error, str):
            detail = error
        return Result(None, failure, self._was_pooled, detail=detail)

    def _make_headers(self) -> list[tuple[bytes, bytes]]:
        request = self._task.request
        headers = [
            (name, value)
            for name, value in request.headers
            if name not in incoming.REPLACED_HEADERS
        ]
        headers.append((incoming.REQUEST_ID_HEADER, self._task.request_id))
        headers.append((b"x-request-deadline-ms", _to_ms(self._send.deadline)))
        if self._task.start_deadline is not None:
            headers.append((b"x-start-deadline-ms", _to_ms(self._task.start_deadline)))
        headers.append((b"forwarded", _describe_hop(request)))
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"content-length", str(len(request.body)).encode()))
        if all(name != b"host" for name, _ in headers):
            host = f"{self._send.target.host}:{self._send.target.port}"
            headers.append((b"host", host.encode()))
        return headers


def _has_stated_end(
    status: int, headers: collections.abc.Mapping[bytes, bytes], method: str
) -> bool:
    """Return whether the headers show where the body ends.

    Otherwise a truncated answer could not be distinguished from a complete one.
    """
    if method == "HEAD" or status in (204, 304):
        return True
    return b"content-length" in headers or b"transfer-encoding" in headers


def _to_ms(deadline: float) -> bytes:
    return str(int(deadline * MS_PER_S)).encode()


def _describe_hop(request: incoming.Request) -> bytes:
    """Return the value of ``Forwarded`` (RFC 7239) for the caller."""
    client = request.client
    if ":" in client:
        client = f'"[{client}]"'
    return f"for={client or 'unknown'};proto={request.scheme}".encode()
