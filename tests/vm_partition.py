"""Partitions single VMs of a test site from all targets."""

from __future__ import annotations

import collections.abc
import contextvars

import anyio
import pytest

from zinniastand_standins import partition

current_vm: contextvars.ContextVar[str] = contextvars.ContextVar("current_vm")
"""Name of the VM that the current task belongs to; unset outside of VMs."""


class VmPartition:
    """Partitions some VMs of a process from the targets at some ports.

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
        self._cuts: dict[str, partition.Cut] = {}
        self._read_ports = read_ports
        connector = partition.Partition(self._find_cut)
        monkeypatch.setattr(anyio, "connect_tcp", connector.connect_tcp)

    def begin(self, vms: collections.abc.Iterable[str], cut: partition.Cut) -> None:
        """Partition these VMs from all targets."""
        self._cuts = dict.fromkeys(vms, cut)

    def end(self) -> None:
        """Let all VMs reach the targets again."""
        self._cuts = {}

    def _find_cut(self, port: int) -> partition.Cut | None:
        if port not in self._read_ports():
            return None
        return self._cuts.get(current_vm.get(""))
