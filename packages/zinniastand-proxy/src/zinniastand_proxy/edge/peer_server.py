"""Serves the connections of other VMs: snapshots and relayed connections.

A VM that wants a snapshot closes its sending side at once. VMs of an earlier version
keep it open and send nothing. Any other VM sends a request to relay a connection.
"""

from __future__ import annotations

import collections.abc
import typing

import anyio
import anyio.abc

from . import accepting, input_bounds, knowledge_exchange, relay_messages

FIRST_BYTES_TIMEOUT_S = 0.05
"""Seconds after which a VM that sends nothing gets a snapshot."""

MAX_CONNECTIONS = 512
"""Limit on the connections of other VMs. Each takes a descriptor, and at most some
tenths of a second unless it is relayed."""


class RelayHandler(typing.Protocol):
    """Relays connections of other VMs."""

    async def handle(self, stream: anyio.abc.SocketStream, received: bytes) -> None:
        """Relay a connection, of whose request some bytes were received."""
        ...


async def serve(
    host: str,
    port: int,
    make_snapshot: collections.abc.Callable[[], knowledge_exchange.Snapshot],
    relays: RelayHandler,
    report_error: accepting.ReportError,
    record_bound: input_bounds.RecordBound = input_bounds.ignore,
) -> None:
    """Serve each VM that connects, until cancelled.

    Parameters
    ----------
    host, port : str, int
        Address to listen at, over TCP.
    make_snapshot : callable
        Returns what this VM knows.
    relays : RelayHandler
        Relays connections.
    report_error : callable
        Called with the error of each failed accept.
    record_bound : callable, optional
        Called when there are more connections than `MAX_CONNECTIONS`.
    """
    count = 0

    async def _serve_or_close(stream: anyio.abc.SocketStream) -> None:
        nonlocal count
        if count >= MAX_CONNECTIONS:
            record_bound("too many connections of VMs", count, "")
            await anyio.aclose_forcefully(stream)
            return
        count += 1
        try:
            await _serve_connection(stream)
        finally:
            count -= 1

    async def _serve_connection(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            received = b""
            try:
                with anyio.move_on_after(FIRST_BYTES_TIMEOUT_S):
                    received = await stream.receive(relay_messages.LENGTH.size)
            except anyio.EndOfStream:
                pass  # The peer asks for a snapshot.
            except anyio.BrokenResourceError:
                return  # The peer closed the connection; it will ask another VM.
            if received:
                await relays.handle(stream, received)
            else:
                await knowledge_exchange.send_snapshot(stream, make_snapshot())

    async with await anyio.create_tcp_listener(
        local_host=host, local_port=port
    ) as listener:
        await accepting.accept_all(listener, _serve_or_close, report_error)
