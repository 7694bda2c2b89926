"""Serves callers over HTTP/1.1, with one task per connection."""

from __future__ import annotations

import collections.abc

import anyio
import anyio.abc

from zinniastand_core import held_bytes
from zinniastand_core.deployment import configuration

from . import accepting, caller_connection, calls, input_bounds
from .answers import caller_sender
from .memory import receive_buffers

MAX_PENDING_CONNECTIONS = 1024
"""Length of the listen backlog. When it is full, the kernel drops the SYN packet of a
new connection, which the caller retransmits only after seconds."""

MAX_CONNECTIONS = 2_500
"""Limit on open connections of callers. Each takes a file descriptor, and so does each
attempt at a target; together they stay below the descriptor limit of the smallest
VMs."""


class Server:
    """An HTTP server: a listener and its connections.

    Parameters
    ----------
    handler : calls.Handler
        Answers the requests.
    read_limits : callable
        Returns the size and time limits for callers; called once for each request.
    report_error : callable
        Called with each unexpected error, so that it is logged.
    may_overlap : callable, optional
        Returns whether a request may run concurrently with others of its connection;
        by default each waits for those before it.
    record_bound : callable, optional
        Called when a caller has reached a bound on its requests.
    held : held_bytes.HeldBytes, optional
        Account of the bytes that are buffered for callers; by default one of its own.
    report_slow : callable, optional
        Called with each caller that was disconnected because it was too slow.
    check_head : callable, optional
        Returns whether a request whose body is due can be served, and until when.
    """

    def __init__(
        self,
        handler: calls.Handler,
        read_limits: collections.abc.Callable[[], configuration.Limits],
        report_error: collections.abc.Callable[[BaseException], None],
        may_overlap: calls.MayOverlap = calls.never_overlap,
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
        held: held_bytes.HeldBytes | None = None,
        report_slow: caller_sender.ReportSlow = caller_sender.ignore_slow,
        check_head: calls.CheckHead = calls.wait_for_any_body,
    ) -> None:
        if held is None:
            held = held_bytes.HeldBytes(held_bytes.make_limits(None))
        self._shared = caller_connection.SharedState(
            handler,
            may_overlap,
            read_limits,
            report_error,
            record_bound,
            held=held,
            report_slow=report_slow,
            check_head=check_head,
        )
        self._connection_count = 0
        self._accept_scopes: list[anyio.CancelScope] = []

    @property
    def is_stopping(self) -> bool:
        """Whether each answer closes its connection if no other answer is due on it."""
        return self._shared.is_stopping

    @is_stopping.setter
    def is_stopping(self, value: bool) -> None:
        """Set whether answers close their connections."""
        self._shared.is_stopping = value

    @property
    def in_flight(self) -> int:
        """Number of requests that were started and are not answered yet."""
        return self._shared.in_flight

    @property
    def held_bytes(self) -> int:
        """Total bytes that are buffered for callers."""
        return self._shared.held.held

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until cancelled; report the bound port as started."""
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            backlog=MAX_PENDING_CONNECTIONS,
            reuse_port=False,
        )
        receive_buffers.limit_accepted(listener)
        async with listener:
            bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(bound_port)
            await accepting.accept_all(
                listener,
                self._serve_connection,
                self._shared.report_error,
                self._accept_scopes,
            )

    def stop_accepting(self) -> None:
        """Close the listener; the connections that are open continue."""
        for scope in self._accept_scopes:
            scope.cancel()

    async def close_idle(self) -> None:
        """Start closing the connections on which no request has begun.

        Each ends by itself after one more read, so that a request that has already
        arrived is still answered.
        """
        for connection in list(self._shared.idle):
            connection.end_idle()

    def has_unfinished_work(self) -> bool:
        """Return whether any connection is not idle.

        Such a connection is receiving a request, has one unanswered, or drains input
        after its last answer.
        """
        return self._connection_count > len(self._shared.idle)

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return self._connection_count

    def count_receiving(self) -> int:
        """Return the number of connections on which only part of a request arrived."""
        shared = self._shared
        not_receiving = len(shared.idle) + len(shared.answering) + len(shared.lingering)
        return self._connection_count - not_receiving

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        if self._connection_count >= MAX_CONNECTIONS:
            await anyio.aclose_forcefully(stream)
            return
        self._connection_count += 1
        try:
            await caller_connection.CallerConnection(stream, self._shared).serve()
        finally:
            self._connection_count -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
