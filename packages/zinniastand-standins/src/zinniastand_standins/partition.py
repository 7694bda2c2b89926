"""A partition between a process and the targets, made by replacing how it connects."""

from __future__ import annotations

import collections.abc
import enum
import errno
import typing

import anyio
import anyio.abc

CHECK_INTERVAL_S = 0.05
"""Seconds between two checks whether a partition has begun or ended."""


class Cut(enum.StrEnum):
    """What a partition does to connections."""

    SILENT = "silent"
    """New connections and open ones hang."""

    RESET = "reset"
    """New connections are refused, and open ones are reset."""

    KEPT = "kept"
    """New connections are refused, and open ones live on."""


FindCut = collections.abc.Callable[[int], Cut | None]
"""Returns what happens to connections to a port; None if they are not cut."""


class Partition:
    """Connects as `anyio.connect_tcp` does, unless connections to a port are cut.

    Parameters
    ----------
    find_cut : FindCut
        Called for each new connection, and while one is in use.
    """

    def __init__(self, find_cut: FindCut) -> None:
        self._find_cut = find_cut
        self._connect = anyio.connect_tcp

    async def connect_tcp(
        self, remote_host: str, remote_port: int, **options: typing.Any
    ) -> anyio.abc.ByteStream:
        """Return a connection that the partition may cut later."""
        match self._find_cut(remote_port):
            case Cut.SILENT:
                await anyio.sleep_forever()
            case Cut.RESET | Cut.KEPT:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        stream = await self._connect(remote_host, remote_port, **options)
        return _CutStream(stream, lambda: self._find_cut(remote_port))


class _CutStream(anyio.abc.ByteStream):
    """A connection that a partition may cut."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        find_cut: collections.abc.Callable[[], Cut | None],
    ) -> None:
        self._stream = stream
        self._find_cut = find_cut

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return received bytes once the partition lets them through."""
        data = b""
        while not data:
            await self._wait_while_silent()
            with anyio.move_on_after(CHECK_INTERVAL_S):
                data = await self._stream.receive(max_bytes)
        await self._wait_while_silent()
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes once the partition lets them through."""
        await self._wait_while_silent()
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    @property
    def extra_attributes(
        self,
    ) -> collections.abc.Mapping[typing.Any, collections.abc.Callable[[], typing.Any]]:
        """Attributes of the connection itself."""
        return self._stream.extra_attributes

    async def _wait_while_silent(self) -> None:
        """Wait while the connection hangs; raise if it is reset."""
        while (cut := self._find_cut()) is Cut.SILENT:
            await anyio.sleep(CHECK_INTERVAL_S)
        if cut is Cut.RESET:
            raise anyio.BrokenResourceError
