"""Token buckets that refill with time or with each request."""

from __future__ import annotations

RETRY_SHARE = 0.2
"""Retries allowed per request in the long run."""

RETRY_RESERVE = 10.0
"""Retries allowed beyond that in a burst."""

HEDGE_SHARE = 0.05
"""Hedges allowed per request in the long run."""

HEDGE_RESERVE = 3.0
"""Hedges allowed beyond that in a burst."""


class ShareBudget:
    """A token bucket that each request refills by a fixed fraction of a token.

    It keeps retries from amplifying an overload: however many attempts fail, retries
    add no more than this fraction to the load. The reserve, which is also the capacity
    of the bucket, allows a few retries when there are few requests.

    Parameters
    ----------
    share : float
        Tokens that one request adds.
    reserve : float
        Tokens at the start, and the maximum that the bucket holds.
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    def record_first_attempt(self) -> None:
        """Add the share of one request, at its first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def spend(self) -> bool:
        """Spend one token if a whole one is left, and return whether it was."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RateBudget:
    """A token bucket that refills with time.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Maximum number of tokens that the bucket holds.
    now : float
        Unix seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; tokens already earned stay, up to the new burst."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def spend(self, now: float) -> bool:
        """Spend one token if a whole one is left, and return whether it was."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def find_refill_time(self, now: float) -> float:
        """Return the unix time in seconds at which a token is available.

        This is `now` if a token is available already or the bucket never refills.
        """
        self._refill(now)
        if self._tokens >= 1.0 or self._rate <= 0:
            return now
        return now + (1.0 - self._tokens) / self._rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
