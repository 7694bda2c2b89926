"""The retries that a service may get, as a share of its requests in a sliding time.

The requests are those of the busiest of three spans: the present one, the one before
it, and the one between them. After a burst retries are due that its requests earned.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

RESERVE = 0.5
"""Share of all retries from which on they become dearer: those left are for requests
that fail by surprise, and not for finding out about targets."""


PARTS = 25
"""Parts of a span in which requests are counted together: a dispatcher counts for each
decision, and would otherwise look at thousands of them."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Part:
    """Requests that came close together."""

    start: float
    """When the first came."""

    latest: float
    """When the last came."""

    count: int
    """How many."""


class RetryWindow:
    """Counts requests and retries of a service over the last seconds.

    Retries of many VMs together feed an overload: each failed attempt adds another.
    Counted where all asks of a service come together, they stay a fixed share of its
    requests whatever fails.

    Parameters
    ----------
    ratio : float
        Most retries per request.
    read_slack : callable
        Returns how many retries are allowed beyond that now.
    span : float
        Seconds that count.
    """

    def __init__(
        self, ratio: float, read_slack: collections.abc.Callable[[], float], span: float
    ) -> None:
        self._ratio = ratio
        self._read_slack = read_slack
        self._span = span
        self._firsts: collections.deque[_Part] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def use(self, ratio: float, span: float) -> None:
        """Use other bounds from now on."""
        self._ratio = ratio
        self._span = span

    def add_first(self, now: float) -> None:
        """Count a request."""
        latest = self._firsts[-1] if self._firsts else None
        if latest is None or now >= latest.start + self._span / PARTS:
            self._firsts.append(_Part(now, now, 1))
        else:
            self._firsts[-1] = _Part(latest.start, now, latest.count + 1)

    def refund(self, spent_at: float) -> None:
        """Take back a retry that was spent then and not sent to any target."""
        if spent_at in self._retries:
            self._retries.remove(spent_at)

    def spend(self, now: float) -> bool:
        """Count a retry if there is room for it."""
        if self.find_left(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def find_ease(self, now: float) -> float:
        """Return how freely retries may be spent: 1 for freely, 0 for none left."""
        left = self.find_left(now)
        if left < 1.0:
            return 0.0
        allowed = left + len(self._retries)
        return min(1.0, left / (RESERVE * allowed))

    def find_left(self, now: float) -> float:
        """Return how many retries there is room for."""
        while self._retries and self._retries[0] <= now - self._span:
            self._retries.popleft()
        allowed = self._ratio * self._count_firsts(now) + self._read_slack()
        return allowed - len(self._retries)

    def _count_firsts(self, now: float) -> int:
        """Return the requests of the busiest span.

        A part of a span that is cut by its end is left out, so that never too many
        are counted.
        """
        span = self._span
        while self._firsts and self._firsts[0].start <= now - 2 * span:
            self._firsts.popleft()
        return max(
            self._count_between(now - span, now),
            self._count_between(now - 1.5 * span, now - 0.5 * span),
            self._count_between(now - 2 * span, now - span),
        )

    def _count_between(self, after: float, until: float) -> int:
        return sum(
            part.count
            for part in self._firsts
            if part.start > after and part.latest <= until
        )
