"""Runs a daemon and passes the signals of its process on to it."""

from __future__ import annotations

import signal

import anyio
import anyio.abc

from . import edge_daemon


async def run_until_signal(daemon: edge_daemon.EdgeDaemon) -> None:
    """Run a daemon until SIGTERM or SIGINT asks it to stop."""
    async with anyio.create_task_group() as group:
        await group.start(_watch_signals, daemon)
        await daemon.run()
        group.cancel_scope.cancel()


async def _watch_signals(
    daemon: edge_daemon.EdgeDaemon,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        task_status.started()
        async for number in received:
            if number == signal.SIGHUP:
                daemon.reload()
            else:
                daemon.stop()
