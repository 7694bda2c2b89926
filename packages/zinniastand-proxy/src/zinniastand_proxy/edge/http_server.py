"""Serves callers over HTTP/1.1, one connection a task."""

from __future__ import annotations

import collections.abc

import anyio
import anyio.abc

from zinniastand_core.deployment import configuration

from . import accepting, caller_connection, calls

BACKLOG = 1024
"""Connections that may wait to be accepted. When the queue is full the opening packet
is dropped and comes again only after seconds."""

MOST_CONNECTIONS = 2_500
"""Connections of callers at a time. Each takes a descriptor, and so does each attempt
at a target; together they stay below the descriptors of the smallest VMs."""


class Server:
    """A listener and its connections.

    Parameters
    ----------
    handler : calls.Handler
        Answers the requests.
    read_limits : callable
        Returns what callers may send; asked anew for each request.
    note_error : callable
        Takes an error that no part expected, so that it is not lost.
    may_overlap : callable, optional
        Tells whether a request may run beside others of its connection; by default
        each waits for those before it.
    """

    def __init__(
        self,
        handler: calls.Handler,
        read_limits: collections.abc.Callable[[], configuration.Limits],
        report_error: collections.abc.Callable[[BaseException], None],
        may_overlap: calls.MayOverlap = calls.never_overlap,
    ) -> None:
        self._shared = caller_connection.Shared(
            handler, may_overlap, read_limits, report_error
        )
        self._open = 0

    @property
    def is_stopping(self) -> bool:
        """Whether each answer closes its connection, where no other is due on it."""
        return self._shared.is_stopping

    @is_stopping.setter
    def is_stopping(self, value: bool) -> None:
        """Close connections with their answers from now on, or no longer."""
        self._shared.is_stopping = value

    @property
    def in_flight(self) -> int:
        """Requests that were handed on and are not answered yet."""
        return self._shared.in_flight

    @property
    def held_bytes(self) -> int:
        """Bytes of request bodies that are held."""
        return self._shared.held_bytes

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; started with the port in use."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG, reuse_port=False
        )
        async with listener:
            raw = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(raw)
            await accepting.accept_all(
                listener, self._serve_connection, self._shared.report_error
            )

    async def close_idle(self) -> None:
        """Close the connections on which no request is under way or about to be read.

        They end by themselves, a last look later.
        """
        for connection in list(self._shared.idle):
            connection.end_idle()

    def has_unfinished_work(self) -> bool:
        """Return whether a request is being read, answered, or its answer read off."""
        return self._open > len(self._shared.idle)

    def count_connections(self) -> int:
        """Return how many connections there are."""
        return self._open

    def count_receiving(self) -> int:
        """Return on how many connections a request has begun and none is whole."""
        shared = self._shared
        settled = len(shared.idle) + len(shared.answering) + len(shared.lingering)
        return self._open - settled

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        if self._open >= MOST_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        self._open += 1
        try:
            await caller_connection.Connection(stream, self._shared).serve()
        finally:
            self._open -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
