"""VMs as daemon processes, which are stopped, paused and killed by signals."""

from __future__ import annotations

import collections.abc
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys

import anyio
import anyio.abc

from zinniastand_platform import wire_names
from zinniastand_standins import loopback

from . import links, partitioned_launch, promises

READY_CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether a VM is ready, and time limit of each."""

READY_TIMEOUT_S = 20.0
"""Seconds for which the soak waits at most until a started process is ready."""

UNREADY_AFTER_S = 0.6
"""Seconds until all callers have noticed that a VM is not ready."""

STOP_LIMIT_S = promises.STOP_LIMIT_S
"""Time limit of a stop: seconds between SIGTERM and SIGKILL."""

RESTART_DELAY_S = 0.3
"""Seconds between the end of a process and the start of the next."""

SETTINGS_VARIABLE = "ZINNIASTAND_NODE_FILE"
"""Environment variable with the path of a daemon's settings file."""


class Vm:
    """A VM, whose daemon runs as a process of its own.

    Parameters
    ----------
    number : int
        Number of the VM, from 0.
    folder : pathlib.Path
        Folder for its settings and its log.
    program : pathlib.Path
        Script that starts the daemon.
    store_link : links.Link
        Link between this VM and the store.
    """

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        program: pathlib.Path,
        store_link: links.Link,
    ) -> None:
        self.number = number
        self.store_link = store_link
        self._port_sockets = [_reserve_port() for _ in range(3)]
        self.callers_port, self._readiness_port, self._metrics_port = (
            port_socket.getsockname()[1] for port_socket in self._port_sockets
        )
        self.is_ready = False
        self.process: anyio.abc.Process | None = None
        self._program = program
        self._settings_path = folder / f"vm-{number}.json"
        self._cut_path = folder / f"vm-{number}.cut.json"
        self.peers_port = loopback.find_free_port()
        self.log_path = folder / f"vm-{number}.log"

    def write_settings(self, is_new_fleet: bool) -> None:
        """Write the settings file; all VMs of a new fleet start together."""
        settings = {
            "vm": f"vm-{self.number}",
            "data_centre": "a",
            "callers": f"{links.HOST}:{self.callers_port}",
            "readiness": f"{links.HOST}:{self._readiness_port}",
            "metrics": f"{links.HOST}:{self._metrics_port}",
            "peers": f"{links.HOST}:{self.peers_port}",
            "store": f"{links.HOST}:{self.store_link.port}",
            "stop_limit_s": STOP_LIMIT_S,
            "unready_after_s": UNREADY_AFTER_S,
            "is_new_fleet": is_new_fleet,
            "retries": {
                "ratio": promises.RETRY_BOUND.ratio,
                "slack": promises.RETRY_BOUND.slack,
                "window_s": promises.RETRY_BOUND.span,
            },
        }
        self._settings_path.write_text(json.dumps(settings))

    def cut_targets(self, cut: str, uncut_ports: collections.abc.Iterable[int]) -> None:
        """Cut the connections to all targets, or restore them for an empty name.

        `uncut_ports` are those of the store and the other VMs.
        """
        temporary_path = self._cut_path.with_suffix(".new")
        values = {"cut": cut, "uncut_ports": sorted(uncut_ports)}
        temporary_path.write_text(json.dumps(values))
        temporary_path.replace(self._cut_path)

    async def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = await anyio.open_process(
                [sys.executable, partitioned_launch.__file__, str(self._program)],
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(self._settings_path),
                    partitioned_launch.CUT_FILE_VARIABLE: str(self._cut_path),
                },
                stdout=log,
                stderr=log,
            )

    def signal_process(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def wait_for_exit(self, timeout_s: float) -> bool:
        """Wait until the process ends; return whether it did before the timeout."""
        with anyio.move_on_after(timeout_s):
            if self.process is not None:
                await self.process.wait()
        return self.process is None or self.process.returncode is not None

    async def restart(self) -> None:
        """Start a new process after a delay, and wait until it is ready."""
        await anyio.sleep(RESTART_DELAY_S)
        self.write_settings(is_new_fleet=False)
        await self.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until the VM is ready, or until the time limit."""
        with anyio.move_on_after(READY_TIMEOUT_S):
            while not await self._check_ready():
                await anyio.sleep(READY_CHECK_INTERVAL_S)

    async def watch_readiness(self) -> None:
        """Keep `is_ready` up to date, as a load balancer does.

        Two failed checks in succession make the VM not ready.
        """
        failed_checks = 0
        while True:
            failed_checks = 0 if await self._check_ready() else failed_checks + 1
            self.is_ready = failed_checks < 2
            await anyio.sleep(READY_CHECK_INTERVAL_S)

    async def kill_process(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def release_ports(self) -> None:
        """Close the sockets that reserve the ports of the VM."""
        for port_socket in self._port_sockets:
            port_socket.close()

    async def _check_ready(self) -> bool:
        request = b"GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n"
        try:
            with anyio.fail_after(READY_CHECK_INTERVAL_S):
                async with await anyio.connect_tcp(
                    links.HOST, self._readiness_port
                ) as stream:
                    await stream.send(request)
                    return b" 200 " in await stream.receive()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False  # Any failure means that the VM is not ready.


@contextlib.asynccontextmanager
async def killed_on_exit(
    vms: collections.abc.Sequence[Vm],
) -> collections.abc.AsyncIterator[None]:
    """Kill the processes of all VMs on exit, also after errors and cancellation."""
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            for vm in vms:
                await vm.kill_process()
                vm.release_ports()


def _reserve_port() -> socket.socket:
    """Return a socket that reserves a port for a process while it is not running.

    An outgoing connection could otherwise take the port as its own, and the next
    process could not listen on it.
    """
    port_socket = socket.socket()
    port_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    port_socket.bind((links.HOST, 0))
    return port_socket


def find_default_program() -> pathlib.Path:
    """Return the path of the script in this checkout that starts a daemon."""
    return pathlib.Path(wire_names.__file__).parent.parent / "launch.py"
