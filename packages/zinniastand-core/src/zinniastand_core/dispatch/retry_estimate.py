"""Estimates how many retries of a service are left, by what one dispatcher counts.

The VMs that send retries limit them, each by its own `retry_ledger`. A dispatcher
refuses none, but sends requests to uncertain targets only while enough retries are left
for those that fail there.
"""

from __future__ import annotations

from . import retry_ledger

RESERVE_SHARE = 0.5
"""Share of all retries. While fewer are left, trials of targets become more expensive,
so that the rest remains for requests that fail unexpectedly."""


class RetryEstimate:
    """Counts the requests and retries that a dispatcher receives.

    Parameters
    ----------
    ledger : retry_ledger.RetryLedger
        Empty ledger in which they are counted.
    """

    def __init__(self, ledger: retry_ledger.RetryLedger) -> None:
        self._ledger = ledger
        self._waiting = 0
        self.requests = 0
        """Requests counted here."""
        self.sent = 0
        """Retries sent, without those that reached no target."""
        self.resent = 0
        """Of `sent`, requests sent once more on a new connection, without a slot."""
        self.returned = 0
        """Retries that reached no target."""

    def set_bounds(self, ratio: float, span: float, now: float) -> None:
        """Change the bounds on retries; counts are kept."""
        self._ledger.set_bounds(ratio, span, now)

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._ledger.add_request(now)
        self.requests += 1

    def add_waiting(self) -> None:
        """Count a retry that waits for a slot."""
        self._waiting += 1

    def remove_waiting(self) -> None:
        """Undo the count of a waiting retry that gets no slot."""
        self._waiting -= 1

    def add_sent(self, now: float) -> None:
        """Count a waiting retry as sent."""
        self._waiting -= 1
        self._ledger.charge(now)
        self.sent += 1

    def add_resent(self, now: float) -> None:
        """Count a request that was sent once more without a slot."""
        self._ledger.charge(now)
        self.sent += 1
        self.resent += 1

    def refund(self, sent_at: float, now: float) -> None:
        """Undo the count of a retry sent at `sent_at` that reached no target."""
        self._ledger.refund(1.0, sent_at, now)
        self.sent -= 1
        self.returned += 1

    def find_remaining(self, now: float) -> float:
        """Return how many retries are left."""
        return self._ledger.find_remaining(now) - self._waiting

    def find_availability(self, now: float) -> float:
        """Return the availability of retries: 1 with plenty left, 0 with none left."""
        remaining = self.find_remaining(now)
        if remaining < 1.0:
            return 0.0
        used = self._ledger.count_retries(now) + self._waiting
        return min(1.0, remaining / (RESERVE_SHARE * (remaining + used)))
