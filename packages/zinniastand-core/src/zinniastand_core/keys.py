"""Idempotency keys: age, digest, and the slice of the log that holds their records.

A key is a UUID version 7, whose timestamp gives its age without a store. The log may
have dropped the records of a key older than the window, so such a key is refused and
its work is never run.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import uuid

import expression

KEY_DIGEST_BYTES = 16
UUID_VERSION = 7
TIMESTAMP_SHIFT = 80
MS_PER_S = 1000.0


class KeyFault(enum.StrEnum):
    """Why a key is not accepted."""

    MISSING = "missing"
    """No key was given, but at-most-once work requires one."""

    MALFORMED = "malformed"
    """The key is not a UUID version 7."""

    TOO_OLD = "too-old"
    """The key was made before the window; its records may have expired."""

    FROM_THE_FUTURE = "from-the-future"
    """The key's time is further ahead than clock error explains.

    It would be accepted for longer than the log keeps its records.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The ages at which a key is accepted."""

    length: float
    """Maximum age in seconds.

    Must be below the log's retention less twice the clock error.
    """

    clock_error: float
    """Maximum difference between two clocks, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Identifies one piece of at-most-once work."""

    digest: bytes
    """Digest of the account, the service and the UUID's bytes."""

    made_at: float
    """Unix seconds from the UUID: when the caller made the key."""


def read_key(
    text: str | None, account: str, service: str, window: Window, now: float
) -> expression.Result[Key, KeyFault]:
    """Parse the value of an ``Idempotency-Key`` header.

    Parameters
    ----------
    text : str | None
        The value, quoted or not, or None without the header.
    account : str
        Account of the caller; accounts don't share keys.
    service : str
        Name of the service; services don't share keys.
    window : Window
        The ages at which a key is accepted.
    now : float
        Unix seconds.

    Returns
    -------
    expression.Result[Key, KeyFault]
        The key, or why it is not accepted.
    """
    if not text:
        return expression.Error(KeyFault.MISSING)
    try:
        parsed = uuid.UUID(text.strip().strip('"'))
    except ValueError:
        return expression.Error(KeyFault.MALFORMED)
    if parsed.version != UUID_VERSION:
        return expression.Error(KeyFault.MALFORMED)
    made_at = (parsed.int >> TIMESTAMP_SHIFT) / MS_PER_S
    if made_at < now - window.length:
        return expression.Error(KeyFault.TOO_OLD)
    if made_at > now + window.clock_error:
        return expression.Error(KeyFault.FROM_THE_FUTURE)
    parts = [account.encode(), service.encode(), parsed.bytes]
    content = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    digest = hashlib.blake2b(content, digest_size=KEY_DIGEST_BYTES).digest()
    return expression.Ok(Key(digest, made_at))


def find_slice(digest: bytes, slices: int) -> int:
    """Return the number of a key's slice, from 0 to `slices` - 1."""
    return int.from_bytes(digest[:4], "big") % slices
