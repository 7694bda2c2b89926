"""A request on a caller's connection, and the encoding of its answer."""

from __future__ import annotations

import json
import typing

import h11

from zinniastand_core import held_bytes

from . import calls, http_exchange, request_parser
from .memory import body_buffer

INTERNAL_ERROR_STATUS = 502
"""Status of the answer when the handler of a request raised an unexpected error. The
request may have run, so the status must not promise that it has not."""

INTERNAL_ERROR_BODY = json.dumps(
    {"status": INTERNAL_ERROR_STATUS, "reason": "internal-error"}
).encode()
"""Body of the answer to a request whose handler raised, as problem details
(RFC 9457)."""

INTERNAL_ERROR_BYTES = (
    b"HTTP/1.1 %d \r\ncontent-type: application/problem+json\r\n"
    b"content-length: %d\r\nconnection: close\r\n\r\n%b"
    % (INTERNAL_ERROR_STATUS, len(INTERNAL_ERROR_BODY), INTERNAL_ERROR_BODY)
)
"""The encoded answer to a request whose handler raised. An engine that has rejected an
answer encodes nothing more, so this is sent without it, and the connection closes."""

MAX_JOINED_BYTES = 16_384
"""Size up to which a body is encoded together with its head, for a single send."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose answers must not have a body; the engine rejects one."""

INTERNAL_ERROR_REPLY = calls.Reply(
    INTERNAL_ERROR_STATUS,
    [(b"content-type", b"application/problem+json")],
    INTERNAL_ERROR_BODY,
)
"""Reply to a request whose handler raised an unexpected error."""


class CallerExchange:
    """One request of a connection, and its reply once there is one.

    Parameters
    ----------
    parsed : request_parser.ParsedRequest or None
        The request; None for one that could not be parsed.
    engine : h11.Connection
        Engine that frames the answer.
    may_overlap : bool
        Whether the request may run concurrently with others of its connection.
    reply : calls.Reply, optional
        The reply, if there is one without running the request.
    """

    def __init__(
        self,
        parsed: request_parser.ParsedRequest | None,
        engine: h11.Connection,
        may_overlap: bool,
        reply: calls.Reply | None = None,
    ) -> None:
        self.parsed = parsed
        self.engine = engine
        self.may_overlap = may_overlap
        self.reply = reply
        self.is_started = parsed is None
        self.is_overlapping = False
        self.is_run_ended = False

    @property
    def overhead(self) -> int:
        """Bytes that the request takes beside its head and body."""
        return held_bytes.REQUEST_BYTES if self.parsed is not None else 0

    @property
    def method(self) -> bytes:
        """Method of the request; empty for one that could not be parsed."""
        return self.parsed.incoming.request.method if self.parsed is not None else b""

    @property
    def incoming(self) -> calls.Incoming | None:
        """The request; None for one that could not be parsed."""
        return self.parsed.incoming if self.parsed is not None else None

    @property
    def is_body_due(self) -> bool:
        """Whether the head was encoded and the body is due in parts."""
        return self.engine.our_state is h11.SEND_BODY

    @property
    def has_failed(self) -> bool:
        """Whether the answer could not be encoded."""
        return self.engine.our_state is h11.ERROR

    def give_turn(self) -> None:
        """Record that all earlier requests of the connection are answered."""
        if self.parsed is not None:
            self.parsed.incoming.caller.give_turn()

    def release(self) -> None:
        """Drop what only the handling of the request needs."""
        if self.parsed is None:
            return
        self.parsed.incoming.caller.release()
        if self.is_run_ended:
            self.parsed.body.clear()

    def abandon_source(self) -> None:
        """Stop taking a body that is still arriving."""
        if self.reply is not None and self.reply.source is not None:
            self.reply.source.abandon()

    @property
    def answer_bytes(self) -> int:
        """Bytes of the reply's body; 0 while there is none."""
        return len(self.reply.body) if self.reply is not None else 0

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected."""
        if self.parsed is not None:
            self.parsed.incoming.caller.mark_disconnected()

    @property
    def is_connection_reusable(self) -> bool:
        """Whether the exchange is complete and the connection may stay open."""
        engine = self.engine
        return engine.our_state is h11.DONE and engine.their_state is h11.DONE

    def encode(self, reply: calls.Reply, must_close: bool) -> bytes:
        """Return an encoded answer, or its head if the body follows in parts.

        Long bodies are not copied as a whole, since many at once would take twice the
        memory that they are accounted for.

        Parameters
        ----------
        reply : calls.Reply
            The answer.
        must_close : bool
            Whether the answer announces that the connection closes.

        Raises
        ------
        h11.LocalProtocolError
            If the answer is not valid HTTP, by an illegal header value for instance.
        """
        if reply.source is not None:
            framing = _frame_body(reply.source.length)
            return self._encode_head(reply, framing, must_close)
        is_bodiless = reply.status in BODILESS_STATUSES
        body = b"" if is_bodiless or self.method == b"HEAD" else reply.body
        size = 0 if is_bodiless else len(reply.body)
        data = self._encode_head(reply, _frame_body(size), must_close)
        if len(body) > MAX_JOINED_BYTES:
            return data
        if body:
            data += self.encode_data(body)
        return data + self.encode_end()

    def encode_data(self, data: body_buffer.Part) -> bytes:
        """Return a part of a body encoded."""
        # The engine joins memory of any kind to bytes, but is typed for bytes alone.
        return self.engine.send(h11.Data(data=typing.cast(bytes, data))) or b""

    def encode_end(self) -> bytes:
        """Return the end of an answer encoded."""
        return self.engine.send(h11.EndOfMessage()) or b""

    def _encode_head(
        self, reply: calls.Reply, framing: tuple[bytes, bytes], must_close: bool
    ) -> bytes:
        headers: http_exchange.Headers = [*reply.headers, framing]
        if must_close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        return self.engine.send(head) or b""


def _frame_body(length: int | None) -> tuple[bytes, bytes]:
    """Return the header that frames a body of this length; None if it is unknown."""
    if length is None:
        return (b"transfer-encoding", b"chunked")
    return (b"content-length", str(length).encode())
