"""Converts counts of requests and retries to and from plain values for datagrams."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from zinniastand_core.dispatch import retry_window


def pack(counts: collections.abc.Iterable[retry_window.CounterHistory]) -> list[object]:
    """Return counts as nested lists of plain values."""
    return [
        [counter, [list(dataclasses.astuple(part)) for part in parts]]
        for counter, parts in counts
    ]


def unpack(values: list) -> tuple[retry_window.CounterHistory, ...]:
    """Return the counts that `pack` made into plain values.

    Raises
    ------
    ValueError
        If the values are not valid counts.
    """
    return tuple((str(counter), _unpack_parts(parts)) for counter, parts in values)


def _unpack_parts(value: object) -> tuple[retry_window.Bucket, ...]:
    """Return the parts of one count.

    Negative counts are rejected, since they would allow extra retries.
    """
    if not isinstance(value, list) or len(value) > retry_window.KEPT_BUCKETS:
        raise ValueError("expected a list of counts that is not too long")
    parts: list[retry_window.Bucket] = []
    for number, age, requests, retries in value:
        counts = (number, requests, retries)
        if not all(type(one) is int and one >= 0 for one in counts):
            raise ValueError(
                f"expected integers of at least 0 as counts, got {counts!r}"
            )
        if not 0.0 <= age < math.inf:
            raise ValueError(f"expected a finite age of at least 0 s, got {age!r}")
        parts.append(retry_window.Bucket(number, float(age), requests, retries))
    return tuple(parts)
