"""Budgets that refill with time or with work done."""

from __future__ import annotations

RETRY_SHARE = 0.2
RETRY_RESERVE = 10.0
HEDGE_SHARE = 0.05
HEDGE_RESERVE = 3.0


class ShareBudget:
    """A budget that each request feeds by a fixed share.

    It keeps retries from feeding an overload: however many attempts fail, they add no
    more than the share to the load, beyond a small reserve for quiet times.
    """

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._left = reserve

    def record_first_attempt(self) -> None:
        """Take in one first attempt."""
        self._left = min(self._reserve, self._left + self._share)

    def spend(self) -> bool:
        """Spend one, if there is one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class RateBudget:
    """A token bucket.

    Parameters
    ----------
    rate : float
        Tokens per second.
    burst : float
        Most tokens it holds.
    now : float
        Unix seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._left = burst
        self._filled_at = now

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate; tokens already there stay, up to the new burst."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._left = min(self._left, burst)

    def spend(self, now: float) -> bool:
        """Spend one token, if there is one."""
        self._fill(now)
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def find_refill_time(self, now: float) -> float:
        """Return when the next token is there."""
        self._fill(now)
        if self._left >= 1.0 or self._rate <= 0:
            return now
        return now + (1.0 - self._left) / self._rate

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        self._left = min(self._burst, self._left + elapsed * self._rate)
