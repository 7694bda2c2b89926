"""Accepts connections, and continues after a failed accept."""

from __future__ import annotations

import collections.abc

import anyio
import anyio.abc

ACCEPT_RETRY_DELAY_S = 0.1
"""Seconds between a failed accept and the next. When the process is out of file
descriptors, each accept fails at once; retrying without a delay would take CPU time
from the requests that have to finish to free some."""

Serve = collections.abc.Callable[
    [anyio.abc.SocketStream], collections.abc.Coroutine[object, object, None]
]
ReportError = collections.abc.Callable[[BaseException], None]


async def accept_all(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    serve: Serve,
    report_error: ReportError,
    scopes: list[anyio.CancelScope] | None = None,
) -> None:
    """Serve each connection of a listener in its own task, until cancelled.

    An accept that fails, for lack of a file descriptor for instance, is reported and
    tried again. The accept loop of anyio would end with it, and cancel the tasks of all
    accepted connections.

    Parameters
    ----------
    listener : anyio.abc.Listener
        The listener.
    serve : callable
        Serves one connection.
    report_error : callable
        Called with the error of each failed accept.
    scopes : list of anyio.CancelScope, optional
        Scopes are added to it; when they are cancelled, the listener is closed and the
        connections that were accepted continue.
    """
    async with anyio.create_task_group() as group:
        for socket_listener in getattr(listener, "listeners", [listener]):
            scope = anyio.CancelScope()
            if scopes is not None:
                scopes.append(scope)
            group.start_soon(
                _accept_from, socket_listener, serve, report_error, group, scope
            )


async def _accept_from(
    listener: anyio.abc.SocketListener,
    serve: Serve,
    report_error: ReportError,
    group: anyio.abc.TaskGroup,
    scope: anyio.CancelScope,
) -> None:
    with scope:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                report_error(error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            group.start_soon(serve, stream)
    await listener.aclose()
