"""Hands what one VM knows to another that knows nothing or less.

A VM that starts gets configuration and targets from a peer, and a VM that lacks a
version gets it where the store turns it away. The peer tells how long ago it last heard
of the store, so that nobody routes by what was not checked within its bound.
"""

from __future__ import annotations

import collections.abc
import dataclasses

import anyio
import anyio.abc

from zinniastand_core.deployment import configuration, targets

from . import configuration_codec, datagrams

FETCH_TIMEOUT = 0.6
"""Seconds for one fetch. Another peer, or the store, is asked after it."""

MOST_BYTES = 16 << 20
"""Most that is taken from a peer, packed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What a VM knows."""

    current: configuration.Configuration | None
    """The configuration in force there."""

    position: int
    """Up to where the targets' entries were read; negative where none were."""

    heard_at: float
    """When that VM last read them or heard of them, in the clock of the receiver."""

    entries: tuple[targets.Entry, ...]
    """The targets."""


async def serve(
    host: str, port: int, take: collections.abc.Callable[[], Snapshot]
) -> None:
    """Serve what this VM knows until cancelled."""

    async def _answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with anyio.move_on_after(FETCH_TIMEOUT):
                try:
                    await stream.send(encode(take(), anyio.current_time()))
                except anyio.BrokenResourceError:
                    return  # The peer gave up; it will ask somebody else.

    async with await anyio.create_tcp_listener(
        local_host=host, local_port=port
    ) as listener:
        await listener.serve(_answer)


async def fetch(host: str, port: int) -> Snapshot | None:
    """Return what a peer knows, or None where it tells nothing in time."""
    data = b""
    asked_at = anyio.current_time()
    try:
        with anyio.fail_after(FETCH_TIMEOUT):
            async with await anyio.connect_tcp(host, port) as stream:
                async for part in stream:
                    data += part
                    if len(data) > MOST_BYTES:
                        return None
        # By the time of asking: the way of the answer counts as age.
        return decode(data, asked_at)
    except (OSError, TimeoutError, anyio.BrokenResourceError, ValueError):
        return None


def encode(snapshot: Snapshot, now: float) -> bytes:
    """Return a snapshot as packed bytes."""
    current = snapshot.current
    return configuration_codec.pack(
        [
            configuration_codec.encode(current) if current is not None else None,
            snapshot.position,
            now - snapshot.heard_at,
            [datagrams.pack_change(one, now) for one in snapshot.entries],
        ]
    )


def decode(data: bytes, now: float) -> Snapshot:
    """Return the snapshot in packed bytes.

    Raises
    ------
    ValueError
        If there is none.
    """
    try:
        current, position, age, rows = configuration_codec.unpack(data)  # type: ignore[misc]
        entries = [datagrams.unpack_change(row, now) for row in rows]
        return Snapshot(
            configuration_codec.decode(current) if current is not None else None,
            int(position),
            now - max(0.0, float(age)),
            tuple(one for one in entries if isinstance(one, targets.Entry)),
        )
    except (TypeError, IndexError) as error:
        raise ValueError(f"no snapshot: {error!r}") from error
