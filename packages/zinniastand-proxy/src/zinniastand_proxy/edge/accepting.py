"""Accepts connections, also where accepting one fails."""

from __future__ import annotations

import collections.abc

import anyio
import anyio.abc

ACCEPT_PAUSE = 0.1
"""Seconds after a failed accept. Without descriptors it fails at once each time, and
would take the processor from the requests that are to free some."""

Serve = collections.abc.Callable[
    [anyio.abc.SocketStream], collections.abc.Coroutine[object, object, None]
]
NoteError = collections.abc.Callable[[BaseException], None]


async def accept_all(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    serve: Serve,
    note_error: NoteError,
) -> None:
    """Serve each connection of a listener in a task of its own, until cancelled.

    The library's own loop ends with the first accept that fails, for want of a
    descriptor for instance, and cuts off every connection that it has accepted.
    """
    async with anyio.create_task_group() as group:
        for one in getattr(listener, "listeners", [listener]):
            group.start_soon(_accept_from, one, serve, note_error, group)


async def _accept_from(
    listener: anyio.abc.SocketListener,
    serve: Serve,
    note_error: NoteError,
    group: anyio.abc.TaskGroup,
) -> None:
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            note_error(error)
            await anyio.sleep(ACCEPT_PAUSE)
            continue
        group.start_soon(serve, stream)
