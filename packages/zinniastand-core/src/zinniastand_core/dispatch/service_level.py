"""Measures the share of a shard's recent requests that were not served."""

from __future__ import annotations

import math

DECAY_TIME_S = 2.0
"""Seconds in which the weight of a request decays by a factor of e."""

MIN_REQUESTS = 5.0
"""Sum of weights of requests below which the share counts as 0."""


class ServiceLevel:
    """Counts served and unserved requests, weighting recent ones most."""

    def __init__(self) -> None:
        self._served = 0.0
        self._unserved = 0.0
        self._updated_at = 0.0

    def add(self, is_served: bool, now: float) -> None:
        """Count one request."""
        self._decay(now)
        if is_served:
            self._served += 1.0
        else:
            self._unserved += 1.0

    def find_unserved_share(self, now: float) -> float:
        """Return the share not served; 0 while there are too few requests."""
        self._decay(now)
        total = self._served + self._unserved
        return self._unserved / total if total >= MIN_REQUESTS else 0.0

    def _decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self._updated_at) / DECAY_TIME_S)
        self._served *= decay
        self._unserved *= decay
        self._updated_at = max(self._updated_at, now)
