"""Counts of requests and retries as plain values."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from zinniastand_core.dispatch import retry_window


def pack(counts: collections.abc.Iterable[retry_window.CounterHistory]) -> list[object]:
    """Return counts as plain values."""
    return [
        [counter, [list(dataclasses.astuple(part)) for part in parts]]
        for counter, parts in counts
    ]


def unpack(values: list) -> tuple[retry_window.CounterHistory, ...]:
    """Return the counts in plain values.

    Raises
    ------
    ValueError
        If they hold none.
    """
    return tuple((str(counter), _unpack_parts(parts)) for counter, parts in values)


def _unpack_parts(value: object) -> tuple[retry_window.Bucket, ...]:
    """Return what was counted; counts below zero would allow retries."""
    if not isinstance(value, list) or len(value) > retry_window.KEPT_BUCKETS:
        raise ValueError("no list of counts")
    parts: list[retry_window.Bucket] = []
    for number, ago, requests, retries in value:
        counts = (number, requests, retries)
        if not all(type(one) is int and one >= 0 for one in counts):
            raise ValueError("counts that are none")
        if not 0.0 <= ago < math.inf:
            raise ValueError("a time that is none")
        parts.append(retry_window.Bucket(number, float(ago), requests, retries))
    return tuple(parts)
