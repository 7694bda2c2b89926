"""Converts records of suspected requests to and from plain values for datagrams."""

from __future__ import annotations

import collections.abc
import math

from zinniastand_core.quarantine import suspect

FINGERPRINT_LENGTH = 16
"""Number of hexadecimal digits of a fingerprint."""

MAX_TARGET_NAME_LENGTH = 128
"""Limit on the characters of a target's name."""

Item = tuple[str, suspect.Suspect]


def pack(items: collections.abc.Iterable[Item], now: float) -> list[object]:
    """Return records as plain values, with times as ages in seconds.

    Ages are sent because the monotonic clocks of VMs differ.
    """
    return [
        [
            fingerprint,
            _pack_time(suspected.answered_at, now),
            _pack_time(suspected.tried_at, now),
            [
                [crash.target, _find_age(crash.ended_at, now), crash.duration]
                for crash in suspected.crashes
            ],
        ]
        for fingerprint, suspected in items
    ]


def unpack(rows: list, now: float) -> tuple[Item, ...]:
    """Return the records that plain values hold, with ages turned into times.

    Raises
    ------
    ValueError
        If a value is not a record, or an age is negative or infinite.
    """
    return tuple(_unpack(row, now) for row in rows)


def _unpack(row: list, now: float) -> Item:
    fingerprint, answered, tried, crashes = row
    if not isinstance(fingerprint, str) or len(fingerprint) != FINGERPRINT_LENGTH:
        raise ValueError("suspect record: expected a fingerprint of 16 characters")
    int(fingerprint, 16)
    found = [_unpack_crash(packed, now) for packed in crashes[: suspect.MAX_CRASHES]]
    answered_at, tried_at = _unpack_time(answered, now), _unpack_time(tried, now)
    record = suspect.Suspect((), answered_at, tried_at)
    return fingerprint, record.merge(suspect.Suspect(tuple(sorted(found))))


def _unpack_crash(row: list, now: float) -> suspect.Crash:
    target, age, duration_s = row
    if not isinstance(target, str) or len(target) > MAX_TARGET_NAME_LENGTH:
        raise ValueError("suspect record: expected a target name of <= 128 characters")
    if not (0.0 <= age < math.inf and 0.0 <= duration_s < math.inf):
        raise ValueError(
            f"crash: expected age and duration >= 0, got {age} and {duration_s}"
        )
    return suspect.Crash(now - age, duration_s, target)


def _pack_time(at: float, now: float) -> float | None:
    return _find_age(at, now) if at > -math.inf else None


def _find_age(at: float, now: float) -> float:
    return max(0.0, now - at)


def _unpack_time(age: float | None, now: float) -> float:
    if age is None:
        return -math.inf
    if not 0.0 <= age < math.inf:
        raise ValueError(f"suspect record: expected a finite age >= 0, got {age}")
    return now - age
