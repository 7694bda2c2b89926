"""Limits the retries of a service to a share of its requests in a sliding window.

The bound holds for the service as a whole and for every window of time. The retries in
a window are at most a share of the requests of the busiest of three windows (that one,
the one before it, and the one halfway between them), plus a fixed number, the slack.

A service may have several dispatchers, one after the other or side by side. Each counts
the requests it receives and the retries it grants, and receives the counts of the
others, so that counts outlive the VM that made them. Where a service has too many
dispatchers for that, one VM counts for all of them and tells each what is left
(`Allowance`).
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import itertools
import math

RESERVE_SHARE = 0.5
"""Share of all retries. While fewer are left, trials of targets become more expensive,
so that the rest remains for requests that fail unexpectedly."""

BUCKETS_PER_WINDOW = 100
"""Buckets of a window in which requests and retries are counted together."""

HALF_WINDOW_BUCKETS = BUCKETS_PER_WINDOW // 2

KEPT_BUCKETS = 2 * BUCKETS_PER_WINDOW
"""Buckets that are kept: retries of a window are allowed by requests of the one
before."""

RECENT_BUCKETS = 16
"""Newest buckets in an update of recent counts; earlier updates contained the rest."""

MIN_SENT_REQUESTS = 10
"""Requests from which the counts of a counter without any retry are sent. Fewer are not
worth a datagram: the retries that they allow are forgone, and the counts of every VM
that once dispatched for itself are not sent."""


class CountScope(enum.Enum):
    """Whose counts a retry window uses to allow retries."""

    ALL = enum.auto()
    """Counts made here and counts received from others."""

    OWN = enum.auto()
    """Only counts made here: this counter decides for its own VM alone, and others may
    grant what the counts of all VMs allow."""

    NONE = enum.auto()
    """No counts of requests, so that only the slack is left: retries may have been
    granted that are not known here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Requests and retries counted in one time slice of a window."""

    number: int
    """Number of the time slice, as its counter numbers them."""

    ago: float
    """Seconds since the time slice began."""

    requests: int
    """Requests received."""

    retries: int
    """Retries granted."""


EMPTY_BUCKET = Bucket(0, 0.0, 0, 0)

ALLOWANCE_LIFETIME_S = 1.0
"""Seconds for which an allowance is used. Requests that no longer count by then lower
the limit, which its receiver does not see."""

ALLOWANCE_DELAY_S = 0.6
"""Seconds that pass at most until a retry is part of the allowances received."""


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """Retries left to all dispatchers of a service together."""

    remaining: float
    """Retries that may still be granted."""

    spent: int
    """Retries granted within the window."""

    receiver_count: int
    """Number of dispatchers that receive it."""

    is_complete: bool
    """Whether its sender knows all retries granted within the window."""


CounterHistory = tuple[str, tuple[Bucket, ...]]
"""Name of a counter and its buckets."""


class RetryWindow:
    """Counts requests and retries of a service over a sliding window.

    Retries of many VMs together amplify an overload: each failed attempt adds another.
    The dispatcher that receives the slot requests of a service counts them, so that
    retries stay a fixed share of requests whatever fails.

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
        self._first_number_to_send = 0
        self._requests = [0] * KEPT_BUCKETS
        self._retries = [0] * KEPT_BUCKETS
        self._reserved = 0
        self._others: dict[str, dict[int, tuple[float, Bucket]]] = {}
        self._received = ([0] * KEPT_BUCKETS, [0] * KEPT_BUCKETS)
        self._headroom: float | None = None
        self._count_scope = CountScope.ALL
        self._spent = 0
        self._allowance: Allowance | None = None
        self._allowed_at = -math.inf
        self._used_allowance = 0
        self.unsent_retries = 0
        """Retries granted since counts were last sent to the others."""
        self.requests = 0
        """Requests counted here."""
        self.retries = 0
        """Retries granted here, without those that were refunded."""
        self.resent = 0
        """Retries granted here that were sent without a reservation."""
        self.refunded = 0
        """Retries that were refunded."""

    @property
    def known_retries(self) -> int:
        """Retries within the window when it was last asked how many are left."""
        return self._spent

    def set_bounds(self, ratio: float, span: float, now: float) -> None:
        """Change the bounds; counts are kept."""
        if span != self._span:
            own = self._list_buckets(now, KEPT_BUCKETS)
            counted = [
                timed_bucket
                for timed_buckets in self._others.values()
                for timed_bucket in timed_buckets.values()
            ]
            self._span = span
            self._newest = self._find_bucket_number(now)
            self._requests, self._retries = self._sum_by_bucket(
                [(now - bucket.ago, bucket) for bucket in own]
            )
            self._received = self._sum_by_bucket(counted)
            # Other VMs have received the counts up to now under bucket numbers of the
            # former window, so these buckets are not sent again.
            self._first_number_to_send = self._newest + 1
        self._ratio = ratio
        self._headroom = None

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._advance_to(now)
        self._requests[-1] += 1
        self.requests += 1

    def reserve(self, now: float) -> bool:
        """Reserve a retry for a waiting request; return whether there was one left."""
        if self.find_remaining(now) < 1.0 or self._is_allowance_used_up(now):
            return False
        self._reserved += 1
        self._used_allowance += 1
        return True

    def release(self) -> None:
        """Release the reservation of a request that gets no target."""
        self._reserved -= 1
        self._used_allowance = max(0, self._used_allowance - 1)

    def spend(self, now: float) -> None:
        """Count a reserved retry as it is sent."""
        self._reserved -= 1
        self._count_retry(now)

    def charge(self, now: float) -> None:
        """Count a retry that was sent without a reservation, whatever is left."""
        self.resent += 1
        self._used_allowance += 1
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
        """Undo the count of a retry counted at `spent_at` that reached no target."""
        self._advance_to(now)
        index = self._find_bucket_number(spent_at) - self._newest - 1
        if index >= -KEPT_BUCKETS and self._retries[index] > 0:
            self._retries[index] -= 1
            self.retries -= 1
            self.refunded += 1
            self._headroom = None

    def use_allowance(self, allowance: Allowance, now: float) -> None:
        """Limit retries by what is left to all dispatchers, for a short time.

        A VM that has just started may take itself for the aggregator, and knows few of
        the retries that were granted before.
        """
        if self._is_allowance_valid(now) and self._is_better_informed(allowance):
            return
        self._allowance = allowance
        self._allowed_at = now
        self._used_allowance = 0

    def export_counts(
        self,
        now: float,
        is_whole: bool,
        min_requests: int = MIN_SENT_REQUESTS,
    ) -> list[CounterHistory]:
        """Return counts to send: recent ones made here or, if `is_whole`, all of every
        counter.

        Counters without retries are left out below `min_requests`.
        """
        self._advance_to(now)
        self._remove_old(now)
        self.unsent_retries = 0
        if not is_whole:
            return _select_worth_sending(
                [(self._counter, self._list_sent_buckets(now, RECENT_BUCKETS))],
                min_requests,
            )
        others = [
            (
                counter,
                [dataclasses.replace(bucket, ago=now - at) for at, bucket in kept],
            )
            for counter, timed_buckets in self._others.items()
            if (kept := timed_buckets.values())
        ]
        return _select_worth_sending(
            [(self._counter, self._list_sent_buckets(now, KEPT_BUCKETS)), *others],
            min_requests,
        )

    def merge_counts(self, count: CounterHistory, now: float) -> None:
        """Merge the counts of another counter, received from it or from another VM.

        Buckets keep the number that their counter gave them. A bucket received again,
        or from another VM, counts once, with the highest counts received.
        """
        counter, buckets = count
        if counter == self._counter:
            return
        self._advance_to(now)
        kept = self._others.setdefault(counter, {})
        for bucket in buckets:
            at, before = kept.get(bucket.number, (now - bucket.ago, EMPTY_BUCKET))
            requests = max(before.requests, bucket.requests)
            retries = max(before.retries, bucket.retries)
            kept[bucket.number] = (at, Bucket(bucket.number, 0.0, requests, retries))
            self._add(at, requests - before.requests, retries - before.retries)
        self._headroom = None

    def make_allowance(self, now: float, receiver_count: int) -> Allowance:
        """Return what is left to this number of dispatchers together."""
        remaining = round(self.find_remaining(now), 1)
        is_complete = self._read_count_scope() is CountScope.ALL
        return Allowance(remaining, self._spent, receiver_count, is_complete)

    def find_availability(self, now: float) -> float:
        """Return the availability of retries: 1 with plenty left, 0 with none left."""
        remaining = self.find_remaining(now)
        if remaining < 1.0:
            return 0.0
        return min(
            1.0,
            remaining / (RESERVE_SHARE * (remaining + self._spent + self._reserved)),
        )

    def find_remaining(self, now: float) -> float:
        """Return how many retries are left.

        The sums are cached until the next bucket begins, since this is called several
        times for each request. Requests of the newest bucket count from then on.
        """
        self._advance_to(now)
        if self._allowance is not None and self._is_allowance_valid(now):
            self._spent = self._allowance.spent
            unannounced = self._count_own_retries(self._allowed_at - ALLOWANCE_DELAY_S)
            return self._allowance.remaining - unannounced - self._reserved
        scope = self._read_count_scope()
        if self._headroom is None or self._count_scope is not scope:
            self._count_scope = scope
            requests, retries = self._requests, self._retries
            if scope is not CountScope.OWN:
                requests = _add_counts(requests, self._received[0])
                retries = _add_counts(retries, self._received[1])
            if scope is CountScope.NONE:
                requests = [0] * KEPT_BUCKETS
            self._spent = sum(retries[-BUCKETS_PER_WINDOW:])
            self._headroom = self._find_headroom(requests, retries)
        return self._headroom + self._read_slack() - self._reserved

    def _is_allowance_valid(self, now: float) -> bool:
        return now - self._allowed_at < ALLOWANCE_LIFETIME_S

    def _is_better_informed(self, other: Allowance) -> bool:
        """Return whether the allowance in use is from a VM that knows more retries."""
        own = self._allowance
        if own is None or other.is_complete:
            return False
        return own.is_complete or own.remaining < other.remaining

    def _is_allowance_used_up(self, now: float) -> bool:
        """Return whether this dispatcher has used its share of the allowance.

        Without a share, each dispatcher of a service with many would grant all that is
        left, before any of them learns of the others' grants.
        """
        if self._allowance is None or not self._is_allowance_valid(now):
            return False
        equal_share = self._allowance.remaining / self._allowance.receiver_count
        return self._used_allowance >= max(1.0, equal_share)

    def _count_own_retries(self, since: float) -> int:
        """Return the retries counted here since the bucket of a time began."""
        count = self._newest - self._find_bucket_number(since) + 1
        return sum(self._retries[-min(count, KEPT_BUCKETS) :])

    def _find_headroom(self, requests: list[int], retries: list[int]) -> float:
        """Return how many more retries the requests allow.

        A retry sent now falls into every window that began within the last window's
        length, and must not exceed the bound of any of them: after a burst, a window
        that began in the middle of it allows less than those before and after. A bucket
        in which a window may begin or end counts with all its retries and none of its
        requests.
        """
        request_sums = list(itertools.accumulate(requests, initial=0))
        retry_sums = list(itertools.accumulate(retries, initial=0))
        return min(
            self._ratio
            * max(
                request_sums[begin] - request_sums[begin - BUCKETS_PER_WINDOW + 1],
                request_sums[min(begin + HALF_WINDOW_BUCKETS, KEPT_BUCKETS)]
                - request_sums[begin - HALF_WINDOW_BUCKETS + 1],
                request_sums[-1] - request_sums[begin + 1],
            )
            - (retry_sums[-1] - retry_sums[begin])
            for begin in range(BUCKETS_PER_WINDOW - 1, KEPT_BUCKETS)
        )

    def _remove_old(self, now: float) -> None:
        """Remove buckets of other counters that are too old to count."""
        oldest = now - 2 * self._span
        for counter, timed_buckets in list(self._others.items()):
            recent = {
                number: timed_bucket
                for number, timed_bucket in timed_buckets.items()
                if timed_bucket[0] > oldest
            }
            if recent:
                self._others[counter] = recent
            else:
                del self._others[counter]

    def _sum_by_bucket(
        self, counted: collections.abc.Iterable[tuple[float, Bucket]]
    ) -> tuple[list[int], list[int]]:
        """Return the sums of requests and retries by bucket of this window.

        `counted` holds buckets, each with the time at which it began.
        """
        before, self._received = (
            self._received,
            ([0] * KEPT_BUCKETS, [0] * KEPT_BUCKETS),
        )
        for at, bucket in counted:
            self._add(at, bucket.requests, bucket.retries)
        sums, self._received = self._received, before
        return sums

    def _add(self, at: float, requests: int, retries: int) -> None:
        """Add the counts of a bucket of another counter that began at `at`.

        It overlaps two buckets of this window. Its retries count in the later one, and
        thus for each window that may contain them.
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
        """Return the newest buckets that were not sent under other numbers before."""
        buckets = self._list_buckets(now, count)
        return [
            bucket for bucket in buckets if bucket.number >= self._first_number_to_send
        ]

    def _find_bucket_number(self, at: float) -> int:
        return math.floor(at * BUCKETS_PER_WINDOW / self._span)

    def _advance_to(self, now: float) -> None:
        """Start the buckets that have begun since the last call."""
        elapsed_buckets = self._find_bucket_number(now) - self._newest
        if elapsed_buckets <= 0:
            return
        self._newest += elapsed_buckets
        self._headroom = None
        self._requests = _shift(self._requests, elapsed_buckets)
        self._retries = _shift(self._retries, elapsed_buckets)
        requests, retries = self._received
        self._received = (
            _shift(requests, elapsed_buckets),
            _shift(retries, elapsed_buckets),
        )


def _add_counts(counts: list[int], others: list[int]) -> list[int]:
    """Return the sums of two counts by bucket."""
    return [first + second for first, second in zip(counts, others, strict=True)]


def _shift(counts: list[int], elapsed_buckets: int) -> list[int]:
    """Return bucket counts as they stand `elapsed_buckets` buckets later."""
    elapsed_buckets = min(elapsed_buckets, KEPT_BUCKETS)
    return [*counts[elapsed_buckets:], *[0] * elapsed_buckets]


def _select_worth_sending(
    counts: list[tuple[str, list[Bucket]]], min_requests: int
) -> list[CounterHistory]:
    """Return the counters with retries or at least `min_requests` requests."""
    return [
        (counter, tuple(buckets))
        for counter, buckets in counts
        if any(bucket.retries for bucket in buckets)
        or sum(bucket.requests for bucket in buckets) >= min_requests
    ]
