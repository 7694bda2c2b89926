"""A request on a caller's connection and its answer, as it stands on the wire."""

from __future__ import annotations

import json

import h11

from . import calls, request_parser

FAULT_STATUS = 502
"""Status of an answer to a request whose handling met a fault of the program. The work
may have run, so that nothing may be promised."""

FAULT_BODY = json.dumps({"status": FAULT_STATUS, "reason": "internal-error"}).encode()
"""Body of such an answer (RFC 9457)."""

FAULT_ANSWER = (
    b"HTTP/1.1 %d \r\ncontent-type: application/problem+json\r\n"
    b"content-length: %d\r\nconnection: close\r\n\r\n%b"
    % (FAULT_STATUS, len(FAULT_BODY), FAULT_BODY)
)
"""The same as it stands on a connection. The engine writes nothing more once it has
refused an answer, so that this goes out beside it and the connection closes."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose answers have no body; the engine refuses one."""

FAULT_REPLY = calls.Reply(
    FAULT_STATUS, [(b"content-type", b"application/problem+json")], FAULT_BODY
)
"""Answer to a request whose handling met a fault."""


class Exchange:
    """A request of the series and its answer."""

    def __init__(
        self,
        parsed: request_parser.Parsed | None,
        engine: h11.Connection,
        may_overlap: bool,
        reply: calls.Reply | None = None,
    ) -> None:
        self.parsed = parsed
        self.engine = engine
        self.may_overlap = may_overlap
        self.reply = reply
        self.is_started = parsed is None
        self.is_behind = False

    @property
    def method(self) -> bytes:
        """Method of the request, empty for one that could not be read."""
        return self.parsed.incoming.request.method if self.parsed is not None else b""

    def leave(self) -> None:
        """Take in that its caller has gone."""
        if self.parsed is not None:
            self.parsed.incoming.caller.mark_disconnected()

    @property
    def may_go_on(self) -> bool:
        """Whether both sides are done with it and the connection stays open."""
        engine = self.engine
        return engine.our_state is h11.DONE and engine.their_state is h11.DONE

    def encode(self, reply: calls.Reply, must_close: bool) -> bytes:
        """Return the bytes of an answer.

        Raises
        ------
        h11.LocalProtocolError
            If it cannot be written as HTTP.
        """
        is_bodiless = reply.status in BODILESS_STATUSES
        body = b"" if is_bodiless or self.method == b"HEAD" else reply.body
        size = 0 if is_bodiless else len(reply.body)
        headers = [*reply.headers, (b"content-length", str(size).encode())]
        if must_close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=reply.status, headers=headers)
        data = self.engine.send(head) or b""
        if body:
            data += self.engine.send(h11.Data(data=body)) or b""
        return data + (self.engine.send(h11.EndOfMessage()) or b"")
