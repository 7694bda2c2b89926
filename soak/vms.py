"""The daemons, as processes that signals stop, pause, kill and start again."""

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

from . import links, promises

READY_PAUSE = 0.1
"""Seconds between two questions whether a VM is ready."""

READY_LIMIT = 20.0
"""Seconds within which a process must become ready at the start of a soak."""

UNREADY_AFTER = 0.6
"""Seconds after which callers send nothing to a VM that is not ready."""

GRACE = 6.0
"""Seconds between SIGTERM and SIGKILL."""

RESTART_PAUSE = 0.3
"""Seconds between the end of a process and the start of the next."""

SETTINGS_VARIABLE = "ZINNIASTAND_NODE_FILE"


class Vm:
    """One VM.

    Parameters
    ----------
    number : int
        Which one.
    folder : pathlib.Path
        Where its settings and log lie.
    program : pathlib.Path
        The script that starts the daemon.
    store : links.Link
        Its own link to the store.
    """

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        program: pathlib.Path,
        store: links.Link,
    ) -> None:
        self.number = number
        self.store = store
        self._held = [_hold_port() for _ in range(3)]
        self.callers, self._readiness, self._metrics = (
            held.getsockname()[1] for held in self._held
        )
        self.is_ready = False
        self.process: anyio.abc.Process | None = None
        self._program = program
        self._path = folder / f"vm-{number}.json"
        self.log_path = folder / f"vm-{number}.log"

    def write_settings(self) -> None:
        """Write the settings file."""
        settings = {
            "vm": f"vm-{self.number}",
            "data_centre": "a",
            "callers": f"{links.HOST}:{self.callers}",
            "readiness": f"{links.HOST}:{self._readiness}",
            "metrics": f"{links.HOST}:{self._metrics}",
            "peers": f"{links.HOST}:{loopback.find_free_port()}",
            "store": f"{links.HOST}:{self.store.port}",
            "stop_limit_s": GRACE,
            "unready_after_s": UNREADY_AFTER,
            "retries": {
                "ratio": promises.RETRIES.ratio,
                "slack": promises.RETRIES.slack,
                "window_s": promises.RETRIES.span,
            },
        }
        self._path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = await anyio.open_process(
                [sys.executable, str(self._program)],
                env={**os.environ, SETTINGS_VARIABLE: str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if there is one."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_end(self, limit: float) -> bool:
        """Wait for the end of the process; return whether it ended by then."""
        with anyio.move_on_after(limit):
            if self.process is not None:
                await self.process.wait()
        return self.process is None or self.process.returncode is not None

    async def restart(self) -> None:
        """Start the next process, and wait until it is ready."""
        await anyio.sleep(RESTART_PAUSE)
        await self.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until it takes requests, or for so long."""
        with anyio.move_on_after(READY_LIMIT):
            while not await self._ask_ready():
                await anyio.sleep(READY_PAUSE)

    async def follow_readiness(self) -> None:
        """Keep `is_ready` up to date, as a balancer does: two misses take it out."""
        misses = 0
        while True:
            misses = 0 if await self._ask_ready() else misses + 1
            self.is_ready = misses < 2
            await anyio.sleep(READY_PAUSE)

    async def end(self) -> None:
        """Kill the process for good."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def release_ports(self) -> None:
        """Let others have its ports."""
        for held in self._held:
            held.close()

    async def _ask_ready(self) -> bool:
        request = b"GET /-/readiness HTTP/1.1\r\nHost: vm\r\n\r\n"
        try:
            with anyio.fail_after(READY_PAUSE):
                async with await anyio.connect_tcp(
                    links.HOST, self._readiness
                ) as stream:
                    await stream.send(request)
                    return b" 200 " in await stream.receive()
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return False  # Not ready, whatever the reason.


@contextlib.asynccontextmanager
async def ending(
    vms: collections.abc.Sequence[Vm],
) -> collections.abc.AsyncIterator[None]:
    """End all processes on the way out, whatever happens."""
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            for vm in vms:
                await vm.end()
                vm.release_ports()


def _hold_port() -> socket.socket:
    """Return a socket that keeps a port for a process while it is not running.

    A connection that somebody opens meanwhile would otherwise get it as its own port,
    and the next process could not listen there.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((links.HOST, 0))
    return held


def find_default_program() -> pathlib.Path:
    """Return the script that starts the daemon of this checkout."""
    return pathlib.Path(wire_names.__file__).parent.parent / "launch.py"
