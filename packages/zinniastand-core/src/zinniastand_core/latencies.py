"""Recent latencies of one kind of work, and the limit above which one is slow."""

from __future__ import annotations

import collections

MAX_SAMPLES = 192
"""Number of latest answers that are kept."""

MIN_SAMPLES = 12
"""Answers of other targets below which a target has no limit."""

SAMPLES_PER_REFRESH = 8
"""Answers after which the limits and the median are calculated again."""

SLOW_FACTOR = 1.6
"""Factor on the median below which no answer is slow."""

SLOW_MARGIN_S = 0.002
"""Time added to every limit."""

TYPICAL_QUANTILE = 0.5
"""Quantile of the latencies that counts as typical."""

UPPER_QUANTILE = 0.85
"""Quantile of the latencies below which no answer is slow, up to `MAX_UPPER_FACTOR`."""

MAX_UPPER_FACTOR = 4.0
"""Factor on the median that caps the upper quantile."""


class Latencies:
    """The last latencies of one kind of work, as one VM measured them by target."""

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[str, float]] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._samples_since_refresh = 0
        self._limits: dict[str, float | None] = {}
        self._typical: float | None = None

    def add(self, target: str, latency: float) -> None:
        """Record the latency of one complete answer.

        The limits and the median are worked out again only after every
        `SAMPLES_PER_REFRESH` answers.

        Parameters
        ----------
        target : str
            Name of the target.
        latency : float
            Seconds from sending the request to the end of the answer.
        """
        self._samples.append((target, latency))
        self._samples_since_refresh += 1
        if self._samples_since_refresh >= SAMPLES_PER_REFRESH:
            self._samples_since_refresh = 0
            self._limits.clear()
            self._typical = None

    def find_limit(self, target: str) -> float | None:
        """Return the latency in seconds above which an answer of `target` is slow.

        Only the answers of the other targets count, so that a slow target does not
        raise its own limit. Returns None while there are fewer than `MIN_SAMPLES`.
        """
        if target not in self._limits:
            self._limits[target] = self._calculate_limit(target)
        return self._limits[target]

    def find_typical(self) -> float | None:
        """Return the median latency in seconds, or None before the first answer."""
        if self._typical is None and self._samples:
            values = sorted(latency for _, latency in self._samples)
            self._typical = values[len(values) // 2]
        return self._typical

    def _calculate_limit(self, target: str) -> float | None:
        others = sorted(value for name, value in self._samples if name != target)
        if len(others) < MIN_SAMPLES:
            return None
        typical = others[int(TYPICAL_QUANTILE * len(others))]
        upper = others[int(UPPER_QUANTILE * len(others))]
        # The upper quantile allows for healthy latencies that vary widely. Without the
        # cap, two slow targets among six would raise each other's limit.
        upper = min(upper, MAX_UPPER_FACTOR * typical)
        return max(SLOW_FACTOR * typical, upper) + SLOW_MARGIN_S
