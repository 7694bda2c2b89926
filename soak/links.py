"""A loopback proxy that delays, resets, cuts one way and silences connections."""

from __future__ import annotations

import enum
import socket
import struct

import anyio
import anyio.abc

HOST = "127.0.0.1"
READ_BYTES = 65_536
REQUEST_BEGINS = b"POST "
HOLD_CHECK = 0.02
"""Seconds between two looks whether a held connection may go on."""

DELAY = 0.15
"""Seconds by which a delaying link holds up each piece."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER that makes a close send a reset."""


class Trouble(enum.StrEnum):
    """What a link does to what passes it."""

    NONE = "none"
    """Everything passes."""

    DELAY = "delay"
    """Each piece is held up a little."""

    RESET = "reset"
    """Connections are reset, open ones and new ones."""

    MUTE_BACK = "mute-back"
    """What comes back is held for as long as this lasts, then passes."""

    MUTE_FORTH = "mute-forth"
    """What goes forth is held for as long as this lasts, then passes."""

    SILENCE = "silence"
    """Connections that are open now pass nothing any more; new ones are sound."""

    TRUNCATE = "truncate"
    """Half of a piece comes back, then the connection ends."""

    REPEAT = "repeat"
    """Each piece comes back twice, as a second answer would."""


class Link:
    """Passes connections from one port to another.

    Parameters
    ----------
    port : int
        Where connections go.

    Attributes
    ----------
    first_back : bytes
        What comes back at once for each request but the first on a connection.
    """

    def __init__(self, port: int) -> None:
        self._to = port
        self.port = 0
        self.trouble = Trouble.NONE
        self.first_back = b""
        self._listening = anyio.CancelScope()
        self._open: set[anyio.abc.SocketStream] = set()
        self._silenced: set[anyio.abc.SocketStream] = set()

    async def serve(
        self, *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept connections until cancelled; started with the port in use."""
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
        async with listener:
            self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_status.started(self.port)
            async with anyio.create_task_group() as group:
                with self._listening:
                    await listener.serve(self._pass, group)
                # A process that ends stops listening before its connections close.
                await listener.aclose()
                group.cancel_scope.cancel()

    async def begin(self, trouble: Trouble) -> None:
        """Let a trouble begin."""
        if trouble is Trouble.SILENCE:
            self._silenced |= self._open
            return
        self.trouble = trouble
        if trouble is Trouble.RESET:
            for stream in list(self._open):
                await _reset(stream)

    async def suffer(self, trouble: Trouble, seconds: float) -> None:
        """Be in trouble for some seconds."""
        await self.begin(trouble)
        await anyio.sleep(seconds)
        self.end()

    def crash(self) -> None:
        """Close all connections and take no more, as a process that ends does."""
        self._listening.cancel()

    def end(self) -> None:
        """Let everything pass again; silenced connections stay silent."""
        self.trouble = Trouble.NONE

    async def _pass(self, near: anyio.abc.SocketStream) -> None:
        if self.trouble is Trouble.RESET:
            await _reset(near)
            return
        try:
            far = await anyio.connect_tcp(HOST, self._to)
        except OSError:
            await _reset(near)
            return
        self._open.add(near)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._pump, near, far, near, True, group)
                group.start_soon(self._pump, far, near, near, False, group)
        finally:
            self._open.discard(near)
            self._silenced.discard(near)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(near)
                await anyio.aclose_forcefully(far)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        near: anyio.abc.SocketStream,
        is_forth: bool,
        group: anyio.abc.TaskGroup,
    ) -> None:
        is_kept = False
        try:
            while True:
                data = await source.receive(READ_BYTES)
                if is_forth and is_kept and data.startswith(REQUEST_BEGINS):
                    await self._send_first_back(near)
                is_kept = True
                await self._hold(near, is_forth)
                await self._send(sink, data, is_forth)
                if self.trouble is Trouble.TRUNCATE and not is_forth:
                    break
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            pass  # One end is gone; the other is told so below.
        group.cancel_scope.cancel()

    async def _send_first_back(self, near: anyio.abc.SocketStream) -> None:
        if self.first_back:
            await near.send(self.first_back)

    async def _hold(self, near: anyio.abc.SocketStream, is_forth: bool) -> None:
        if self.trouble is Trouble.DELAY:
            await anyio.sleep(DELAY)
        muted = Trouble.MUTE_FORTH if is_forth else Trouble.MUTE_BACK
        while self.trouble is muted or near in self._silenced:
            await anyio.sleep(HOLD_CHECK)

    async def _send(
        self, sink: anyio.abc.SocketStream, data: bytes, is_forth: bool
    ) -> None:
        if self.trouble is Trouble.TRUNCATE and not is_forth:
            data = data[: len(data) // 2]
        await sink.send(data)
        if self.trouble is Trouble.REPEAT and not is_forth:
            await sink.send(data)


async def _reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await anyio.aclose_forcefully(stream)
