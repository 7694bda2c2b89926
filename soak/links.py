"""A loopback proxy that injects faults into the connections that it forwards."""

from __future__ import annotations

import enum
import socket
import struct

import anyio
import anyio.abc

HOST = "127.0.0.1"
READ_BYTES = 65_536
REQUEST_START = b"POST "
"""First bytes of each request of the soak."""

HOLD_CHECK_INTERVAL_S = 0.02
"""Seconds between two checks whether held data may be forwarded."""

DELAY_S = 0.15
"""Seconds by which a delaying link delays each chunk of data."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket sends a reset."""


class LinkFault(enum.StrEnum):
    """What a link does to the data and connections that it forwards."""

    NONE = "none"
    """Everything is forwarded."""

    DELAY = "delay"
    """Each chunk is delayed a little."""

    RESET = "reset"
    """Connections are reset, both open and new ones."""

    MUTE_BACK = "mute-back"
    """Data towards the connecting side is held until the fault ends."""

    MUTE_FORTH = "mute-forth"
    """Data from the connecting side is held until the fault ends."""

    SILENCE = "silence"
    """Connections that are open now forward nothing any more; new ones are sound."""

    TRUNCATE = "truncate"
    """Half of a chunk is sent back, then the connection closes."""

    REPEAT = "repeat"
    """Each chunk is sent back twice, which looks like a second answer."""


class Link:
    """Forwards connections from a port of its own to another port.

    Parameters
    ----------
    port : int
        Port to which connections are forwarded.

    Attributes
    ----------
    port : int
        Port on which the link accepts connections, once it serves.
    fault : LinkFault
        The fault in force.
    stale_answer : bytes
        Bytes sent back before each request on a connection but the first is forwarded.
    """

    def __init__(self, port: int) -> None:
        self._destination_port = port
        self.port = 0
        self.fault = LinkFault.NONE
        self.stale_answer = b""
        self._listening_scope = anyio.CancelScope()
        self._open_connections: set[anyio.abc.SocketStream] = set()
        self._silenced_connections: set[anyio.abc.SocketStream] = set()

    async def serve(
        self, *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; `started` receives the port in use."""
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
        async with listener:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(self.port)
            async with anyio.create_task_group() as group:
                with self._listening_scope:
                    await listener.serve(self._forward_connection, group)
                # Like a process that ends, stop listening before the connections close.
                await listener.aclose()
                group.cancel_scope.cancel()

    async def start_fault(self, fault: LinkFault) -> None:
        """Start a fault, which lasts until `clear_fault`."""
        if fault is LinkFault.SILENCE:
            self._silenced_connections |= self._open_connections
            return
        self.fault = fault
        if fault is LinkFault.RESET:
            for stream in list(self._open_connections):
                await _reset_connection(stream)

    async def apply_fault(self, fault: LinkFault, duration_s: float) -> None:
        """Start a fault, and clear it after a duration in seconds."""
        await self.start_fault(fault)
        await anyio.sleep(duration_s)
        self.clear_fault()

    def crash(self) -> None:
        """Close all connections and accept no more, as a process that ends does."""
        self._listening_scope.cancel()

    def clear_fault(self) -> None:
        """Forward everything again, except on silenced connections."""
        self.fault = LinkFault.NONE

    async def _forward_connection(self, inbound: anyio.abc.SocketStream) -> None:
        if self.fault is LinkFault.RESET:
            await _reset_connection(inbound)
            return
        try:
            outbound = await anyio.connect_tcp(HOST, self._destination_port)
        except OSError:
            await _reset_connection(inbound)
            return
        self._open_connections.add(inbound)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(
                    self._forward_data, inbound, outbound, inbound, True, group
                )
                group.start_soon(
                    self._forward_data, outbound, inbound, inbound, False, group
                )
        finally:
            self._open_connections.discard(inbound)
            self._silenced_connections.discard(inbound)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(inbound)
                await anyio.aclose_forcefully(outbound)

    async def _forward_data(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        inbound: anyio.abc.SocketStream,
        is_forward: bool,
        group: anyio.abc.TaskGroup,
    ) -> None:
        """Forward data in a direction until either side closes, then cancel `group`."""
        is_reused = False
        try:
            while True:
                data = await source.receive(READ_BYTES)
                if is_forward and is_reused and data.startswith(REQUEST_START):
                    await self._send_stale_answer(inbound)
                is_reused = True
                await self._wait_while_held(inbound, is_forward)
                await self._send_data(sink, data, is_forward)
                if self.fault is LinkFault.TRUNCATE and not is_forward:
                    break
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass  # One side has closed; the cancellation below closes the other one.
        group.cancel_scope.cancel()

    async def _send_stale_answer(self, inbound: anyio.abc.SocketStream) -> None:
        if self.stale_answer:
            await inbound.send(self.stale_answer)

    async def _wait_while_held(
        self, inbound: anyio.abc.SocketStream, is_forward: bool
    ) -> None:
        if self.fault is LinkFault.DELAY:
            await anyio.sleep(DELAY_S)
        muting_fault = LinkFault.MUTE_FORTH if is_forward else LinkFault.MUTE_BACK
        while self.fault is muting_fault or inbound in self._silenced_connections:
            await anyio.sleep(HOLD_CHECK_INTERVAL_S)

    async def _send_data(
        self, sink: anyio.abc.SocketStream, data: bytes, is_forward: bool
    ) -> None:
        if self.fault is LinkFault.TRUNCATE and not is_forward:
            data = data[: len(data) // 2]
        await sink.send(data)
        if self.fault is LinkFault.REPEAT and not is_forward:
            await sink.send(data)


async def _reset_connection(stream: anyio.abc.SocketStream) -> None:
    tcp_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await anyio.aclose_forcefully(stream)
