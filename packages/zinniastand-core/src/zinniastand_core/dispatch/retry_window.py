"""Limits the retries of a service to a share of its requests in a sliding window.

The bound holds for the service as a whole and for every window of time: a share of the
requests of the busiest of three windows (that one, the one before it, and the one
halfway between them), plus a fixed number. A service may have several dispatchers, one
after the other or side by side. Each counts the requests it receives and the retries it
grants, and receives the counts of the others, so that counts outlive the VM that made
them.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import itertools
import math

RESERVE_SHARE = 0.5
"""Share of all retries from which on retries become more expensive: those left are for
requests that fail unexpectedly, not for trials of targets."""

BUCKETS_PER_WINDOW = 100
"""Buckets of a window in which requests and retries are counted together."""

HALF_WINDOW_BUCKETS = BUCKETS_PER_WINDOW // 2
KEPT_BUCKETS = 2 * BUCKETS_PER_WINDOW
"""Buckets that are kept: retries of a window are allowed by requests of the one
before."""

RECENT_BUCKETS = 16
"""Newest buckets that a short update contains; other VMs have received the rest
before."""

MIN_SENT_REQUESTS = 10
"""Requests without any retry from which on a counter's buckets are sent. Omitting fewer
forgoes the retries that they allow, and avoids sending the counts of every VM that
once dispatched for itself."""


class CountScope(enum.Enum):
    """Which counts allow retries."""

    ALL = enum.auto()
    """Counts made here and counts received from others."""

    OWN = enum.auto()
    """Counts made here: this counter decides for its own VM only, and others may grant
    what the counts of all allow."""

    NONE = enum.auto()
    """No counts: retries may have been granted here that no other VM knows of. Only the
    slack is left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Requests and retries counted in one time slice of a window."""

    number: int
    """Sequence number, meaningful only to its counter."""

    ago: float
    """Seconds since its start."""

    requests: int
    """Requests received."""

    retries: int
    """Retries granted."""


EMPTY_BUCKET = Bucket(0, 0.0, 0, 0)

CounterHistory = tuple[str, tuple[Bucket, ...]]
"""Name of a counter and its buckets."""


class RetryWindow:
    """Counts requests and retries of a service over a sliding window.

    Retries of many VMs together amplify an overload: each failed attempt adds another.
    Counted where all slot requests of a service arrive, they stay a fixed share of its
    requests whatever fails.

    Parameters
    ----------
    ratio : float
        Maximum retries per request.
    read_slack : callable
        Returns how many retries are currently allowed beyond that.
    span : float
        Length of the window in seconds.
    counter : str, optional
        Name of this counter among all counters of the service.
    read_count_scope : callable, optional
        Returns which counts currently allow retries.
    """

    def __init__(
        self,
        ratio: float,
        read_slack: collections.abc.Callable[[], float],
        span: float,
        counter: str = "",
        read_count_scope: collections.abc.Callable[[], CountScope] = lambda: (
            CountScope.ALL
        ),
    ) -> None:
        self._ratio = ratio
        self._read_slack = read_slack
        self._read_count_scope = read_count_scope
        self._span = span
        self._counter = counter
        self._newest = 0
        self._first_sent_number = 0
        self._requests = [0] * KEPT_BUCKETS
        self._retries = [0] * KEPT_BUCKETS
        self._reserved = 0
        self._others: dict[str, dict[int, tuple[float, Bucket]]] = {}
        self._received = ([0] * KEPT_BUCKETS, [0] * KEPT_BUCKETS)
        self._headroom: float | None = None
        self._count_scope = CountScope.ALL
        self._spent = 0
        self.unsent_retries = 0
        """Retries granted since counts were last sent to the others."""
        self.requests = 0
        """Requests counted here."""
        self.retries = 0
        """Retries granted here, without those that were refunded."""
        self.resent = 0
        """Of these, retries that were sent without a reservation."""
        self.refunded = 0
        """Retries that were refunded."""

    def set_bounds(self, ratio: float, span: float, now: float) -> None:
        """Use other bounds from now on; counts are kept."""
        if span != self._span:
            own = self._list_buckets(now, KEPT_BUCKETS)
            told = [one for parts in self._others.values() for one in parts.values()]
            self._span = span
            self._newest = self._find_bucket_number(now)
            self._requests, self._retries = self._sum_by_bucket(
                [(now - part.ago, part) for part in own]
            )
            self._received = self._sum_by_bucket(told)
            # Other VMs have these counts under the bucket numbers of the former window.
            self._first_sent_number = self._newest + 1
        self._ratio = ratio
        self._headroom = None

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._advance_to(now)
        self._requests[-1] += 1
        self.requests += 1

    def reserve(self, now: float) -> bool:
        """Reserve a retry for a request that waits; return whether one was left."""
        if self.find_remaining(now) < 1.0:
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Release the reservation of a request that gets no target."""
        self._reserved -= 1

    def spend(self, now: float) -> None:
        """Count a reserved retry as it is sent."""
        self._reserved -= 1
        self._count_retry(now)

    def charge(self, now: float) -> None:
        """Count a retry that was sent without a reservation, whatever is left."""
        self.resent += 1
        self._count_retry(now)

    def _count_retry(self, now: float) -> None:
        self._advance_to(now)
        self._retries[-1] += 1
        self._spent += 1
        if self._headroom is not None:
            self._headroom -= 1.0
        self.unsent_retries += 1
        self.retries += 1

    def refund(self, spent_at: float, now: float) -> None:
        """Uncount a retry that was counted at `spent_at` and reached no target."""
        self._advance_to(now)
        index = self._find_bucket_number(spent_at) - self._newest - 1
        if index >= -KEPT_BUCKETS and self._retries[index] > 0:
            self._retries[index] -= 1
            self.retries -= 1
            self.refunded += 1
            self._headroom = None

    def export_counts(self, now: float, is_whole: bool) -> list[CounterHistory]:
        """Return the recent counts made here, or all known counts of every counter."""
        self._advance_to(now)
        self._remove_old(now)
        self.unsent_retries = 0
        if not is_whole:
            return _select_worth_sending(
                [(self._counter, self._list_sent_buckets(now, RECENT_BUCKETS))]
            )
        others = [
            (counter, [dataclasses.replace(part, ago=now - at) for at, part in known])
            for counter, parts in self._others.items()
            if (known := parts.values())
        ]
        return _select_worth_sending(
            [(self._counter, self._list_sent_buckets(now, KEPT_BUCKETS)), *others]
        )

    def merge_counts(self, count: CounterHistory, now: float) -> None:
        """Merge the counts of another counter, from it or from a VM that knows them.

        Buckets keep the number that their counter gave them. A bucket received again,
        or from another VM, counts once, with the highest counts received.
        """
        counter, parts = count
        if counter == self._counter:
            return
        self._advance_to(now)
        known = self._others.setdefault(counter, {})
        for part in parts:
            at, before = known.get(part.number, (now - part.ago, EMPTY_BUCKET))
            requests = max(before.requests, part.requests)
            retries = max(before.retries, part.retries)
            known[part.number] = (at, Bucket(part.number, 0.0, requests, retries))
            self._add(at, requests - before.requests, retries - before.retries)
        self._headroom = None

    def find_ease(self, now: float) -> float:
        """Return how freely retries may be spent: 1 for freely, 0 for none left."""
        left = self.find_remaining(now)
        if left < 1.0:
            return 0.0
        return min(1.0, left / (RESERVE_SHARE * (left + self._spent + self._reserved)))

    def find_remaining(self, now: float) -> float:
        """Return how many retries are left.

        Called several times for each request, it sums again only once per bucket.
        Requests of the newest bucket count from the next one on.
        """
        self._advance_to(now)
        scope = self._read_count_scope()
        if self._headroom is None or self._count_scope is not scope:
            self._count_scope = scope
            requests, retries = self._requests, self._retries
            if scope is not CountScope.OWN:
                requests = _add_up(requests, self._received[0])
                retries = _add_up(retries, self._received[1])
            if scope is CountScope.NONE:
                requests = [0] * KEPT_BUCKETS
            self._spent = sum(retries[-BUCKETS_PER_WINDOW:])
            self._headroom = self._find_headroom(requests, retries)
        return self._headroom + self._read_slack() - self._reserved

    def _find_headroom(self, requests: list[int], retries: list[int]) -> float:
        """Return how many more retries the requests allow.

        Each window that began within the last one may contain them, and must keep to
        what its requests allow as known now: after a burst, a window that began in the
        middle of it is allowed less than those before and after. A bucket in which a
        window may begin or end counts with all its retries and none of its requests.
        """
        asked = list(itertools.accumulate(requests, initial=0))
        spent = list(itertools.accumulate(retries, initial=0))
        return min(
            self._ratio
            * max(
                asked[part] - asked[part - BUCKETS_PER_WINDOW + 1],
                asked[min(part + HALF_WINDOW_BUCKETS, KEPT_BUCKETS)]
                - asked[part - HALF_WINDOW_BUCKETS + 1],
                asked[-1] - asked[part + 1],
            )
            - (spent[-1] - spent[part])
            for part in range(BUCKETS_PER_WINDOW - 1, KEPT_BUCKETS)
        )

    def _remove_old(self, now: float) -> None:
        """Remove buckets of other counters that are too old to count."""
        oldest = now - 2 * self._span
        for counter, parts in list(self._others.items()):
            recent = {number: one for number, one in parts.items() if one[0] > oldest}
            if recent:
                self._others[counter] = recent
            else:
                del self._others[counter]

    def _sum_by_bucket(
        self, told: collections.abc.Iterable[tuple[float, Bucket]]
    ) -> tuple[list[int], list[int]]:
        """Return the sums of requests and retries by bucket of this window.

        `told` holds buckets, each with the time of its start.
        """
        before, self._received = (
            self._received,
            ([0] * KEPT_BUCKETS, [0] * KEPT_BUCKETS),
        )
        for at, part in told:
            self._add(at, part.requests, part.retries)
        arranged, self._received = self._received, before
        return arranged

    def _add(self, at: float, requests: int, retries: int) -> None:
        """Add the counts of a bucket of another counter that began at `at`.

        It overlaps two buckets here. Its retries go to the later one, and so count for
        each window that may contain them.
        """
        index = self._find_bucket_number(at) - self._newest + KEPT_BUCKETS - 1
        if 0 <= index < KEPT_BUCKETS:
            self._received[0][index] += requests
        if -1 <= index < KEPT_BUCKETS:
            self._received[1][min(index + 1, KEPT_BUCKETS - 1)] += retries

    def _list_buckets(self, now: float, count: int) -> list[Bucket]:
        """Return the newest buckets with any counts."""
        length = self._span / BUCKETS_PER_WINDOW
        numbers = range(self._newest - count + 1, self._newest + 1)
        return [
            Bucket(number, now - number * length, requests, retries)
            for number, requests, retries in zip(
                numbers, self._requests[-count:], self._retries[-count:], strict=True
            )
            if requests or retries
        ]

    def _list_sent_buckets(self, now: float, count: int) -> list[Bucket]:
        """Return the newest buckets that others know by their present numbers."""
        parts = self._list_buckets(now, count)
        return [part for part in parts if part.number >= self._first_sent_number]

    def _find_bucket_number(self, at: float) -> int:
        return math.floor(at * BUCKETS_PER_WINDOW / self._span)

    def _advance_to(self, now: float) -> None:
        """Start the buckets that have begun since the last call."""
        passed = self._find_bucket_number(now) - self._newest
        if passed <= 0:
            return
        self._newest += passed
        self._headroom = None
        self._requests = _shift(self._requests, passed)
        self._retries = _shift(self._retries, passed)
        requests, retries = self._received
        self._received = _shift(requests, passed), _shift(retries, passed)


def _add_up(counts: list[int], others: list[int]) -> list[int]:
    """Return the sums of two counts by bucket."""
    return [one + other for one, other in zip(counts, others, strict=True)]


def _shift(counts: list[int], passed: int) -> list[int]:
    """Return bucket counts as they stand `passed` buckets later."""
    passed = min(passed, KEPT_BUCKETS)
    return [*counts[passed:], *[0] * passed]


def _select_worth_sending(
    counts: list[tuple[str, list[Bucket]]],
) -> list[CounterHistory]:
    """Return the counts that are worth sending."""
    return [
        (counter, tuple(parts))
        for counter, parts in counts
        if any(part.retries for part in parts)
        or sum(part.requests for part in parts) >= MIN_SENT_REQUESTS
    ]
