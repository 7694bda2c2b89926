"""HTTP listeners, by hypercorn."""

from __future__ import annotations

import asyncio
import collections.abc
import socket
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from . import logs, settings

KEEP_ALIVE = 75.0
MOST_REQUESTS = 2**62
BACKLOG = 1024
GRACE = 2.0
HEAD_LIMIT = 32 * 1024

App = typing.Any

_logger = logs.get_logger("listeners")


class Listener:
    """One bound address.

    The socket is bound before anything is served, so that a port that is taken is an
    error at start, and a port of 0 is known at once.

    Parameters
    ----------
    address : settings.Address
        Where to listen.
    tls : settings.Tls or None
        Identity for TLS.
    """

    def __init__(self, address: settings.Address, tls: settings.Tls | None) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((address.host, address.port))
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self._tls = tls

    @property
    def port(self) -> int:
        """TCP port that is bound."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Give the address up without serving."""
        self._socket.close()

    async def serve(
        self, app: App, stop: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Serve `app` until `stop` returns; requests under way are finished."""
        config = hypercorn.config.Config()
        config.bind = [f"fd://{self._socket.detach()}"]
        config.accesslog = None
        config.errorlog = None
        config.keep_alive_timeout = KEEP_ALIVE
        # hypercorn would close a connection after a thousand requests, which a caller
        # that has just sent the next one sees as a reset.
        config.keep_alive_max_requests = MOST_REQUESTS
        config.h11_max_incomplete_size = HEAD_LIMIT
        config.graceful_timeout = GRACE
        config.include_server_header = False
        config.include_date_header = False
        if self._tls is not None:
            config.certfile = self._tls.certificate
            config.keyfile = self._tls.key
        ended = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_serve_shielded, app, config, ended)
            try:
                await stop()
            finally:
                ended.set()


def log_loop_errors() -> None:
    """Send what goes wrong in callbacks of the running loop to the log, as JSON.

    A connection that is cut while its request runs makes Python 3.11's stream callback
    ask a cancelled task for its exception; that says nothing, and is dropped.
    """

    def _handle(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        if isinstance(context.get("exception"), asyncio.CancelledError):
            return
        _logger.error(str(context.get("message")), extra={"cause": str(context)})

    asyncio.get_running_loop().set_exception_handler(_handle)


async def _serve_shielded(
    app: App, config: hypercorn.config.Config, ended: anyio.Event
) -> None:
    """Serve until `ended`, whatever is cancelled around it.

    hypercorn fails when it is cancelled in the midst of closing; told to stop, it
    closes its connections in order and returns.
    """
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=ended.wait)
