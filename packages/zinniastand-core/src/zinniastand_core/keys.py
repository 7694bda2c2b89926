"""Idempotency keys: their age, their digest and the slice of the log they fall in.

A key is a UUID of version 7, so its age is known without any store. A key older than
the window may have records that the log no longer keeps; it is refused, never run.
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
    """Why a key cannot name work."""

    MISSING = "missing"
    """At-most-once work needs a key."""

    MALFORMED = "malformed"
    """Not a UUID of version 7."""

    TOO_OLD = "too-old"
    """Made before the window: its records may have expired."""

    FROM_THE_FUTURE = "from-the-future"
    """Made later than any clock error explains: it would outlive the window."""


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """How old a key may be."""

    length: float
    """Seconds; below the log's retention less twice the clock error."""

    clock_error: float
    """Seconds by which two clocks may differ."""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """The name of one piece of at-most-once work."""

    digest: bytes
    """Digest of account, service and key text."""

    made_at: float
    """Unix seconds at which the caller made it."""


def read_key(
    text: str | None, account: str, service: str, window: Window, now: float
) -> expression.Result[Key, KeyFault]:
    """Return the key in an ``Idempotency-Key`` header, or why it cannot be taken."""
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
    """Return the slice of a key, from 0 to `slices` - 1."""
    return int.from_bytes(digest[:4], "big") % slices
