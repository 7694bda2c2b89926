"""HTTP listeners, served by hypercorn."""

from __future__ import annotations

import asyncio
import collections.abc
import socket
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from . import logs, settings

KEEP_ALIVE_S = 75.0
MAX_REQUESTS_PER_CONNECTION = 2**62
ACCEPT_BACKLOG = 1024
CLOSE_GRACE_S = 2.0
"""Time that open requests have to finish once the listener stops."""

MAX_HEADER_BYTES = 32 * 1024

App = typing.Any

_logger = logs.get_logger("listeners")


class Listener:
    """A bound address that serves one ASGI application.

    The socket is bound on construction, before anything is served. A port already in
    use is therefore an error at start, and the port that the system chose for port 0
    is known at once.

    Parameters
    ----------
    address : settings.Address
        IP address and port to bind.
    tls : settings.Tls or None
        Server certificate and key; None serves plain HTTP.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    def __init__(self, address: settings.Address, tls: settings.Tls | None) -> None:
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((address.host, address.port))
        self._socket.listen(ACCEPT_BACKLOG)
        self._socket.setblocking(False)
        self._tls = tls

    @property
    def port(self) -> int:
        """TCP port that is bound."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Close the socket of a listener that was never served."""
        self._socket.close()

    async def serve(
        self, app: App, stop: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Serve until stopped; open requests then have `CLOSE_GRACE_S` to finish.

        Parameters
        ----------
        app : App
            ASGI application.
        stop : callable
            Awaited; the listener closes when it returns.
        """
        config = hypercorn.config.Config()
        config.bind = [f"fd://{self._socket.detach()}"]
        config.accesslog = None
        config.errorlog = None
        config.keep_alive_timeout = KEEP_ALIVE_S
        # By default hypercorn closes a connection after 1000 requests. A caller that
        # has just sent the next request on it sees a connection reset.
        config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
        config.h11_max_incomplete_size = MAX_HEADER_BYTES
        config.graceful_timeout = CLOSE_GRACE_S
        config.include_server_header = False
        config.include_date_header = False
        if self._tls is not None:
            config.certfile = self._tls.certificate
            config.keyfile = self._tls.key
        should_stop = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_serve_shielded, app, config, should_stop)
            try:
                await stop()
            finally:
                should_stop.set()


def log_loop_errors() -> None:
    """Log unhandled errors in callbacks of the running event loop, as JSON.

    When a connection breaks during a request, the stream callback of Python 3.11 asks
    a cancelled task for its exception. The resulting `CancelledError` is harmless and
    is ignored.
    """

    def _handle_error(
        loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        if isinstance(context.get("exception"), asyncio.CancelledError):
            return
        _logger.error(str(context.get("message")), extra={"cause": str(context)})

    asyncio.get_running_loop().set_exception_handler(_handle_error)


async def _serve_shielded(
    app: App, config: hypercorn.config.Config, should_stop: anyio.Event
) -> None:
    """Serve until `should_stop` is set, shielded from cancellation.

    hypercorn raises errors when it is cancelled while it closes connections. With a
    shutdown trigger it closes them and returns without an error.
    """
    with anyio.CancelScope(shield=True):
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=should_stop.wait)
