"""Recent latencies of a kind of work: what is usual among the other targets."""

from __future__ import annotations

import collections

MAX_SAMPLES = 192
MIN_SAMPLES = 12
SAMPLES_PER_REFRESH = 8
SLOW_FACTOR = 1.6
SLOW_MARGIN_S = 0.002
TYPICAL_QUANTILE = 0.5
UPPER_QUANTILE = 0.85
MAX_UPPER_FACTOR = 4.0


class Latencies:
    """The last latencies of one kind of work on one VM, with their targets."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[str, float]] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._age = 0
        self._limits: dict[str, float | None] = {}
        self._typical: float | None = None

    def add(self, target: str, latency: float) -> None:
        """Take in one whole answer."""
        self._samples.append((target, latency))
        self._age += 1
        if self._age >= SAMPLES_PER_REFRESH:
            self._age = 0
            self._limits.clear()
            self._typical = None

    def find_limit(self, target: str) -> float | None:
        """Return the latency in seconds above which an answer of `target` is slow.

        It is set by the answers of the other targets alone, so that a straggler does
        not raise its own bar. None while there are too few of them.
        """
        if target not in self._limits:
            self._limits[target] = self._work_out_limit(target)
        return self._limits[target]

    def find_typical(self) -> float | None:
        """Return the median latency over all targets, or None while unknown."""
        if self._typical is None and self._samples:
            values = sorted(latency for _, latency in self._samples)
            self._typical = values[len(values) // 2]
        return self._typical

    def _work_out_limit(self, target: str) -> float | None:
        others = sorted(value for name, value in self._samples if name != target)
        if len(others) < MIN_SAMPLES:
            return None
        typical = others[int(TYPICAL_QUANTILE * len(others))]
        upper = others[int(UPPER_QUANTILE * len(others))]
        # The upper quantile follows a wide spread of healthy latencies. It is capped,
        # or two stragglers among six targets would hide one another.
        upper = min(upper, MAX_UPPER_FACTOR * typical)
        return max(SLOW_FACTOR * typical, upper) + SLOW_MARGIN_S
