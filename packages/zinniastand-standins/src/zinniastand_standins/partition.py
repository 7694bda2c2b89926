"""Partitions single VMs of a test site from all targets."""

from __future__ import annotations

import collections.abc
import contextvars
import enum
import errno
import typing

import anyio
import anyio.abc
import pytest

CHECK_INTERVAL_S = 0.02
"""Seconds between two checks whether a partition has ended."""

current_vm: contextvars.ContextVar[str] = contextvars.ContextVar("current_vm")
"""Name of the VM that the current task belongs to; unset outside of VMs."""


class Cut(enum.StrEnum):
    """What a partition does to connections."""

    SILENT = "silent"
    """New connections and open ones hang."""

    RESET = "reset"
    """New connections are refused, and open ones are reset."""

    KEPT = "kept"
    """New connections are refused, and open ones live on."""


class Partition:
    """Partitions some VMs from the targets at some ports.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Replaces `anyio.connect_tcp` until the test ends.
    read_ports : callable
        Returns the ports of all targets.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        read_ports: collections.abc.Callable[[], set[int]],
    ) -> None:
        self._cuts: dict[str, Cut] = {}
        self._streams: set[_TargetStream] = set()
        self._read_ports = read_ports
        self._connect = anyio.connect_tcp
        monkeypatch.setattr(anyio, "connect_tcp", self._connect_tcp)

    def begin(self, vms: collections.abc.Iterable[str], cut: Cut) -> None:
        """Partition these VMs from all targets."""
        self._cuts = dict.fromkeys(vms, cut)
        if cut is Cut.RESET:
            for stream in [item for item in self._streams if item.vm in self._cuts]:
                stream.reset()

    def end(self) -> None:
        """Let all VMs reach the targets again."""
        self._cuts = {}

    async def wait_while_silent(self, vm: str) -> None:
        """Wait while the connections of a VM hang."""
        while self._cuts.get(vm) is Cut.SILENT:
            await anyio.sleep(CHECK_INTERVAL_S)

    def forget(self, stream: _TargetStream) -> None:
        """Forget a connection that was closed."""
        self._streams.discard(stream)

    async def _connect_tcp(
        self, remote_host: str, remote_port: int, **options: typing.Any
    ) -> anyio.abc.ByteStream:
        vm = current_vm.get("")
        if not vm or remote_port not in self._read_ports():
            return await self._connect(remote_host, remote_port, **options)
        match self._cuts.get(vm):
            case Cut.SILENT:
                await anyio.sleep_forever()
            case Cut.RESET | Cut.KEPT:
                raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        connection = await self._connect(remote_host, remote_port, **options)
        stream = _TargetStream(connection, vm, self)
        self._streams.add(stream)
        return stream


class _TargetStream(anyio.abc.ByteStream):
    """A connection of a VM to a target, which a partition may cut."""

    def __init__(
        self, stream: anyio.abc.ByteStream, vm: str, partition: Partition
    ) -> None:
        self._stream = stream
        self._partition = partition
        self._is_reset = False
        self._scope = anyio.CancelScope()
        self.vm = vm

    def reset(self) -> None:
        """Break the connection, also while bytes are awaited."""
        self._is_reset = True
        self._scope.cancel()

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return received bytes once the partition lets them through."""
        with anyio.CancelScope() as self._scope:
            self._raise_if_reset()
            data = await self._stream.receive(max_bytes)
            await self._partition.wait_while_silent(self.vm)
            return data
        raise anyio.BrokenResourceError

    async def send(self, item: bytes) -> None:
        """Send bytes once the partition lets them through."""
        await self._partition.wait_while_silent(self.vm)
        self._raise_if_reset()
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        self._partition.forget(self)
        await self._stream.aclose()

    @property
    def extra_attributes(
        self,
    ) -> collections.abc.Mapping[typing.Any, collections.abc.Callable[[], typing.Any]]:
        """Attributes of the connection itself."""
        return self._stream.extra_attributes

    def _raise_if_reset(self) -> None:
        if self._is_reset:
            raise anyio.BrokenResourceError
