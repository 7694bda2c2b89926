"""Limits the retries that one VM sends to a service, by what this VM alone has counted.

The limit on the retries of a service holds for the sum over all VMs, whatever they know
of each other. For each window of time that begins at b and lasts w, VM v keeps to

    retries_v[b, b + w) <= ratio * requests_v[b - w/2, b + w/2) + slack_v

and the slack of all VMs together is at most that of the service. Each request and each
retry counts at one VM: the one that received the request from its caller. All VMs count
the same span of requests for a window. If each used the busiest of several spans, their
sum could exceed the busiest one of the service. So adding up these inequalities gives
the limit of the service, however many VMs there are, whichever VM dispatches, and
whatever datagrams are lost or late. A VM that is killed adds only what it had counted
until then.

No request precedes the first one of a new fleet, so that for windows that begin before
it, or soon after it, the requests of the window itself count.

A VM that stops may hand its counts over to another one, which adds them to its own. The
sum over all VMs stays the same, so the limit holds as before.

A VM may lend retries, or parts of one, to another. They count as sent at the lender, at
the end of the time for which they may be used, so that each window that may contain
such a retry contains the count.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math

BUCKETS_PER_WINDOW = 100
"""Buckets of a window in which requests and retries are counted together."""

HALF_WINDOW_BUCKETS = BUCKETS_PER_WINDOW // 2

PAST_BUCKETS = BUCKETS_PER_WINDOW + HALF_WINDOW_BUCKETS + 1
"""Buckets up to now that are kept: the first window that contains now, and the requests
that count for it."""

FUTURE_BUCKETS = 50
"""Buckets after now in which retries that were lent count."""

KEPT_BUCKETS = PAST_BUCKETS + FUTURE_BUCKETS

NOW_INDEX = PAST_BUCKETS - 1
"""Index of the bucket that contains now."""

BEGINS_UNTIL_NOW = range(HALF_WINDOW_BUCKETS, NOW_INDEX + 1)
"""Indices of the buckets in which windows that contain now begin."""

START_SHARE = 0.4
"""Share of a window after the first request of a new fleet in which windows begin that
count their own requests. At its end, both spans hold about the same number."""

TOLERANCE = 1e-6
"""Retries by which sums of parts may differ from a whole one."""

MAX_HANDOVER_BUCKETS = 2
"""Buckets that may pass until counts that were handed over are added."""

HANDOVER_ERROR_BUCKETS = MAX_HANDOVER_BUCKETS + 2
"""Adjacent buckets whose requests a handover may assign to the wrong side of the end of
a window: the buckets of two VMs do not begin at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerContent:
    """The counts of a ledger, by age in buckets; negative ages lie in the future."""

    span: float
    """Length of the window in seconds."""

    requests: tuple[tuple[int, int], ...]
    """Ages and numbers of requests."""

    retries: tuple[tuple[int, float], ...]
    """Ages and amounts of retries."""


class RetryLedger:
    """Counts the requests and retries of a service at one VM.

    Parameters
    ----------
    ratio : float
        Maximum retries per request.
    read_slack : callable
        Returns how many retries this VM may send in each window beyond that.
    span : float
        Length of the window in seconds.
    first_request_at : float, optional
        Time of the first request of a new fleet, in seconds; minus infinity if the
        fleet is not new or the time is unknown.
    """

    def __init__(
        self,
        ratio: float,
        read_slack: collections.abc.Callable[[], float],
        span: float,
        first_request_at: float = -math.inf,
    ) -> None:
        self._ratio = ratio
        self._read_slack = read_slack
        self._span = span
        self._first_request_at = first_request_at
        self._now_number = 0
        self._requests = [0] * KEPT_BUCKETS
        self._retries = [0.0] * KEPT_BUCKETS
        self._reserved = 0.0
        self._headroom: float | None = None

    @property
    def max_loan_s(self) -> float:
        """Longest time in seconds for which a retry may be lent."""
        return (FUTURE_BUCKETS - 1) * self._span / BUCKETS_PER_WINDOW

    def set_bounds(self, ratio: float, span: float, now: float) -> None:
        """Change the bounds; counts are kept.

        With a new span, the times of counts are lost: requests do not count any more,
        and retries count as if they were the latest ones.
        """
        self._advance_to(now)
        if span != self._span:
            self._span = span
            self._now_number = self._find_bucket_number(now)
            self._requests = [0] * KEPT_BUCKETS
            retries = sum(self._retries)
            self._retries = [0.0] * KEPT_BUCKETS
            self._retries[-1] = retries
        self._ratio = ratio
        self._headroom = None

    def add_request(self, now: float) -> None:
        """Count a request that a caller sent to this VM."""
        self._advance_to(now)
        self._requests[NOW_INDEX] += 1

    def discard_requests(self) -> None:
        """Discard the requests, whose times are unknown after a suspension."""
        self._requests = [0] * KEPT_BUCKETS
        self._first_request_at = -math.inf
        self._headroom = None

    def reserve(self, amount: float, now: float) -> bool:
        """Reserve a retry or a part of one; return whether it was left."""
        if self.find_remaining(now) < amount - TOLERANCE:
            return False
        self._reserved += amount
        return True

    def release(self, amount: float) -> None:
        """Release what was reserved."""
        self._reserved -= amount

    def spend(self, amount: float, now: float) -> bool:
        """Count a reserved amount as sent; return whether it may still be sent.

        Requests may have become too old to count while it waited.
        """
        self._reserved -= amount
        if self.find_remaining(now) < amount - TOLERANCE:
            return False
        self._count(NOW_INDEX, amount)
        return True

    def charge(self, now: float) -> None:
        """Count a retry that was sent already, whatever is left."""
        self._advance_to(now)
        self._count(NOW_INDEX, 1.0)

    def refund(self, amount: float, spent_at: float, now: float) -> None:
        """Undo the count of an amount spent at `spent_at` that reached no target."""
        self._advance_to(now)
        index = self._find_bucket_number(spent_at) - self._now_number + NOW_INDEX
        if 0 <= index < KEPT_BUCKETS:
            self._retries[index] = max(0.0, self._retries[index] - amount)
            self._headroom = None

    def lend(self, amount: float, lifetime: float, now: float) -> float:
        """Return how much another VM may send for some time, and count it.

        Parameters
        ----------
        amount : float
            Part of a retry that the other VM needs, 1 for a whole one.
        lifetime : float
            Seconds from now for which the other VM may send it.
        now : float
            Time in seconds.
        """
        remaining = self.find_remaining(now)
        if remaining <= 0.0 or lifetime > self.max_loan_s:
            return 0.0
        index = self._find_bucket_number(now + lifetime) - self._now_number + NOW_INDEX
        later = self._find_headroom(range(NOW_INDEX + 1, index + 1))
        lent = max(0.0, min(amount, remaining, later + self._read_slack()))
        self._count(index, lent)
        return lent

    def find_remaining(self, now: float) -> float:
        """Return how many retries are left.

        The sums are cached until the next bucket begins. Requests of the newest bucket
        count from then on.
        """
        self._advance_to(now)
        if self._headroom is None:
            self._headroom = self._find_headroom(BEGINS_UNTIL_NOW)
        return self._headroom + self._read_slack() - self._reserved

    def remove_content(self, now: float) -> LedgerContent:
        """Remove and return all counts, for another VM."""
        self._advance_to(now)
        content = LedgerContent(
            self._span,
            tuple(
                (NOW_INDEX - index, count)
                for index, count in enumerate(self._requests)
                if count
            ),
            tuple(
                (NOW_INDEX - index, amount)
                for index, amount in enumerate(self._retries)
                if amount > 0.0
            ),
        )
        self._requests = [0] * KEPT_BUCKETS
        self._retries = [0.0] * KEPT_BUCKETS
        self._headroom = None
        return content

    def add_content(self, content: LedgerContent, now: float) -> bool:
        """Add the counts of another VM, removed at most `MAX_HANDOVER_BUCKETS` ago.

        Returns
        -------
        bool
            Whether they were added; those of a window of another length are not.
        """
        if content.span != self._span:
            return False
        self._advance_to(now)
        added = [0] * KEPT_BUCKETS
        for age, count in content.requests:
            if 0 <= NOW_INDEX - age <= NOW_INDEX:
                added[NOW_INDEX - age] += count
        for age, amount in content.retries:
            # Counted as later than they were, so that no window misses them.
            later = NOW_INDEX - age + MAX_HANDOVER_BUCKETS
            if later >= 0:
                self._retries[min(later, KEPT_BUCKETS - 1)] += amount
        self._requests = [
            own + other for own, other in zip(self._requests, added, strict=True)
        ]
        # Counted until no window depends on these requests any more.
        self._retries[-1] += self._ratio * _find_busiest(added, HANDOVER_ERROR_BUCKETS)
        self._headroom = None
        return True

    def count_retries(self, now: float) -> float:
        """Return the retries counted within the window that ends now."""
        self._advance_to(now)
        return sum(self._retries[NOW_INDEX - BUCKETS_PER_WINDOW + 1 :])

    def _count(self, index: int, amount: float) -> None:
        self._retries[index] += amount
        if self._headroom is not None:
            self._headroom -= amount

    def _find_headroom(self, begins: range) -> float:
        """Return how many more retries the requests allow in each of some windows.

        `begins` are the indices of the buckets in which the windows begin. A bucket in
        which a window may begin or end counts with all its retries and none of its
        requests.
        """
        requests = list(itertools.accumulate(self._requests, initial=0))
        retries = list(itertools.accumulate(self._retries, initial=0.0))
        start_end = self._find_start_end()
        return min(
            self._ratio
            * (
                requests[-1] - requests[begin + 1]
                if begin <= start_end
                else requests[min(begin + HALF_WINDOW_BUCKETS, KEPT_BUCKETS)]
                - requests[begin - HALF_WINDOW_BUCKETS + 1]
            )
            - (retries[-1] - retries[begin])
            for begin in begins
        )

    def _find_start_end(self) -> float:
        """Return the index of the last bucket with windows that count their own
        requests.
        """
        if self._first_request_at == -math.inf:
            return -math.inf
        end = self._first_request_at + START_SHARE * self._span
        return self._find_bucket_number(end) - self._now_number + NOW_INDEX

    def _find_bucket_number(self, at: float) -> int:
        return math.floor(at * BUCKETS_PER_WINDOW / self._span)

    def _advance_to(self, now: float) -> None:
        """Start the buckets that have begun since the last call."""
        elapsed = self._find_bucket_number(now) - self._now_number
        if elapsed <= 0:
            return
        self._now_number += elapsed
        self._headroom = None
        del self._requests[:elapsed]
        del self._retries[:elapsed]
        missing = KEPT_BUCKETS - len(self._requests)
        self._requests += [0] * missing
        self._retries += [0.0] * missing


def _find_busiest(counts: list[int], length: int) -> int:
    """Return the largest sum of `length` adjacent counts."""
    sums = list(itertools.accumulate(counts, initial=0))
    return max(
        after - before for before, after in zip(sums, sums[length:], strict=False)
    )
