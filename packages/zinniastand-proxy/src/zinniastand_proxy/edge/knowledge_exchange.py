"""Transfers a snapshot of what one VM knows to another VM.

A VM that starts gets configuration and targets from a peer. A VM that lacks a version
of the configuration gets it from a peer if the store refuses its calls. The snapshot
states how long ago the peer last had data from the store, so that no VM routes by data
that was not checked within its time limit.
"""

from __future__ import annotations

import dataclasses
import math
import operator

import anyio
import anyio.abc

from zinniastand_core.deployment import configuration, targets

from . import configuration_codec, datagrams, input_bounds

FETCH_TIMEOUT_S = 0.6
"""Seconds for one fetch, after which another peer or the store is asked."""

MAX_SNAPSHOT_BYTES = 4 << 20
"""Largest compressed snapshot that is accepted from a peer: no more than it may have
once decompressed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What a VM knows."""

    current: configuration.Configuration | None
    """The configuration in force on that VM; None if it has none."""

    position: int
    """Position up to which the targets' entries were read; negative if none were."""

    received_at: float
    """When that VM last read or received target entries, by the receiver's clock."""

    entries: tuple[targets.Entry, ...]
    """The targets."""

    proven_at: float = -math.inf
    """When the configuration was last proven to be the newest, by the receiver's
    clock."""


async def send_snapshot(stream: anyio.abc.ByteStream, snapshot: Snapshot) -> None:
    """Send a snapshot to a VM that asked for it."""
    with anyio.move_on_after(FETCH_TIMEOUT_S):
        try:
            await stream.send(encode(snapshot, anyio.current_time()))
        except anyio.BrokenResourceError:
            return  # The peer closed the connection; it will ask another VM.


async def fetch(
    host: str, port: int, record_bound: input_bounds.RecordBound = input_bounds.ignore
) -> Snapshot | None:
    """Return the snapshot of a peer.

    Parameters
    ----------
    host, port : str, int
        Address of the peer.
    record_bound : callable, optional
        Called if the snapshot is longer than `MAX_SNAPSHOT_BYTES`.

    Returns
    -------
    Snapshot or None
        None if the peer can't be reached, does not answer in time, or sends a malformed
        or too large snapshot.
    """
    data = bytearray()
    requested_at = anyio.current_time()
    try:
        with anyio.fail_after(FETCH_TIMEOUT_S):
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send_eof()
                async for chunk in stream:
                    data += chunk
                    if len(data) > MAX_SNAPSHOT_BYTES:
                        record_bound("snapshot too long", len(data), f"{host}:{port}")
                        return None
        # Ages count from the request, so that the time in transit is included.
        return decode(bytes(data), requested_at)
    except (OSError, TimeoutError, anyio.BrokenResourceError, ValueError):
        return None


def encode(snapshot: Snapshot, now: float) -> bytes:
    """Encode a snapshot as compressed bytes; `now` is the current time in seconds."""
    current = snapshot.current
    return configuration_codec.compress_values(
        [
            configuration_codec.pack_configuration(current)
            if current is not None
            else None,
            snapshot.position,
            now - snapshot.received_at,
            [datagrams.pack_change(entry, now) for entry in snapshot.entries],
            now - snapshot.proven_at,
        ]
    )


def decode(data: bytes, now: float) -> Snapshot:
    """Decode a snapshot from compressed bytes.

    Parameters
    ----------
    data : bytes
        Result of `encode`.
    now : float
        Time in seconds from which the ages in the snapshot count back.

    Raises
    ------
    ValueError
        If the data is truncated or malformed.
    """
    try:
        current, position, age, rows, proof_age = configuration_codec.decompress_values(
            data
        )  # type: ignore[misc]
        if not proof_age >= 0.0:
            raise ValueError(f"expected an age of at least 0 s, got {proof_age!r:.20}")
        changes = [datagrams.unpack_change(row, now) for row in rows]
        return Snapshot(
            configuration_codec.unpack_configuration(current)
            if current is not None
            else None,
            operator.index(position),
            now - max(0.0, float(age)),
            tuple(change for change in changes if isinstance(change, targets.Entry)),
            now - float(proof_age),
        )
    except (TypeError, IndexError) as error:
        raise ValueError(f"malformed snapshot: {error!r}") from error
