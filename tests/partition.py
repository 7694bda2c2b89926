"""Partitions single VMs of a test site from all targets."""

from __future__ import annotations

import collections.abc
import contextvars
import enum
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
        self._read_ports = read_ports
        self._connect = anyio.connect_tcp
        monkeypatch.setattr(anyio, "connect_tcp", self._connect_tcp)

    def begin(self, vms: collections.abc.Iterable[str], cut: Cut) -> None:
        """Partition these VMs from all targets."""
        self._cuts = dict.fromkeys(vms, cut)

    def end(self) -> None:
        """Let all VMs reach the targets again."""
        self._cuts = {}

    def find_cut(self, vm: str) -> Cut | None:
        """Return what happens to the connections of a VM; None if it is not cut."""
        return self._cuts.get(vm)

    async def _connect_tcp(
        self, remote_host: str, remote_port: int, **options: typing.Any
    ) -> anyio.abc.ByteStream:
        vm = current_vm.get("")
        if not vm or remote_port not in self._read_ports():
            return await self._connect(remote_host, remote_port, **options)
        match self.find_cut(vm):
            case Cut.SILENT:
                await anyio.sleep_forever()
            case Cut.RESET | Cut.KEPT:
                raise ConnectionRefusedError
        stream = await self._connect(remote_host, remote_port, **options)
        return _TargetStream(stream, vm, self)


class _TargetStream(anyio.abc.ByteStream):
    """A connection of a VM to a target, which a partition may cut."""

    def __init__(
        self, stream: anyio.abc.ByteStream, vm: str, partition: Partition
    ) -> None:
        self._stream = stream
        self._vm = vm
        self._partition = partition

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        """Return received bytes once the partition lets them through."""
        received: list[bytes | Exception] = []
        async with anyio.create_task_group() as group:

            async def _receive() -> None:
                try:
                    received.append(await self._stream.receive(max_bytes))
                except (anyio.EndOfStream, anyio.BrokenResourceError) as error:
                    received.append(error)

            group.start_soon(_receive)
            while not received or self._is_cut():
                if self._partition.find_cut(self._vm) is Cut.RESET:
                    received[:] = [anyio.BrokenResourceError()]
                    break
                await anyio.sleep(CHECK_INTERVAL_S)
            group.cancel_scope.cancel()
        if isinstance(received[0], Exception):
            raise received[0]
        return received[0]

    async def send(self, item: bytes) -> None:
        """Send bytes once the partition lets them through."""
        while self._is_cut():
            if self._partition.find_cut(self._vm) is Cut.RESET:
                raise anyio.BrokenResourceError
            await anyio.sleep(CHECK_INTERVAL_S)
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

    def _is_cut(self) -> bool:
        return self._partition.find_cut(self._vm) in (Cut.SILENT, Cut.RESET)
