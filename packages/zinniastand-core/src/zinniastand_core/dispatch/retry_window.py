"""The retries that a service may get, as a share of its requests in a sliding time.

The bound holds for the service as a whole, over every span of time: a share of the
requests of the busiest of three spans (that one, the one before it, and the one between
them), and a fixed number beyond. A service may have several dispatchers, one after the
other and side by side. Each counts what it is asked and what it gives out, and is told
what the others have counted, so that counts outlive the VM that made them.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import itertools
import math

RESERVE_SHARE = 0.5
"""Share of all retries from which on they become dearer: those left are for requests
that fail by surprise, and not for finding out about targets."""

BUCKETS_PER_WINDOW = 100
"""Parts of a span in which requests and retries are counted together."""

HALF_WINDOW_BUCKETS = BUCKETS_PER_WINDOW // 2
KEPT_BUCKETS = 2 * BUCKETS_PER_WINDOW
"""Parts that are kept: retries of a span are allowed by requests of the one before."""

RECENT_BUCKETS = 16
"""Latest parts that are told in short; others have heard the rest before."""

MIN_SENT_REQUESTS = 10
"""Requests without any retry from which on a count is told. Leaving out fewer gives up
the retries that they allow, and spares telling of each VM that once decided alone."""


class Basis(enum.Enum):
    """Which counts allow retries."""

    ALL = enum.auto()
    """What was counted here and what others have told."""

    OWN = enum.auto()
    """What was counted here: this counter decides for its own VM only, and others may
    give out what all have counted."""

    NONE = enum.auto()
    """Nothing: retries may have been given out here that nobody has told. Only the
    slack is left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """What was counted in a part of a span."""

    number: int
    """Its number, which only its counter gives a meaning."""

    ago: float
    """Seconds since its begin."""

    requests: int
    """Requests that were asked for."""

    retries: int
    """Retries that were given out."""


EMPTY_BUCKET = Bucket(0, 0.0, 0, 0)

CounterHistory = tuple[str, tuple[Bucket, ...]]
"""What a counter has counted, with the name of the counter."""


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
    counter : str, optional
        Names what is counted here among all that count for the service.
    read_basis : callable, optional
        Returns which counts allow retries now.
    """

    def __init__(
        self,
        ratio: float,
        read_slack: collections.abc.Callable[[], float],
        span: float,
        counter: str = "",
        read_basis: collections.abc.Callable[[], Basis] = lambda: Basis.ALL,
    ) -> None:
        self._ratio = ratio
        self._read_slack = read_slack
        self._read_basis = read_basis
        self._span = span
        self._counter = counter
        self._newest = 0
        self._told_from = 0
        self._requests = [0] * KEPT_BUCKETS
        self._retries = [0] * KEPT_BUCKETS
        self._reserved = 0
        self._others: dict[str, dict[int, tuple[float, Bucket]]] = {}
        self._heard = ([0] * KEPT_BUCKETS, [0] * KEPT_BUCKETS)
        self._room: float | None = None
        self._basis = Basis.ALL
        self._spent = 0
        self.unsent_retries = 0
        """Retries that were given out since the others were told."""
        self.requests = 0
        """Requests that were counted here."""
        self.retries = 0
        """Retries that were given out here, without those that were given back."""
        self.resent = 0
        """Of these, the ones that were sent without being held."""
        self.returned = 0
        """Retries that were given back."""

    def set_bounds(self, ratio: float, span: float, now: float) -> None:
        """Use other bounds from now on; what was counted is kept."""
        if span != self._span:
            own = self._list_parts(now, KEPT_BUCKETS)
            told = [one for parts in self._others.values() for one in parts.values()]
            self._span = span
            self._newest = self._find_part(now)
            self._requests, self._retries = self._arrange(
                [(now - part.ago, part) for part in own]
            )
            self._heard = self._arrange(told)
            # The others have these counts under the numbers of the former span.
            self._told_from = self._newest + 1
        self._ratio = ratio
        self._room = None

    def add_request(self, now: float) -> None:
        """Count a request."""
        self._move_to(now)
        self._requests[-1] += 1
        self.requests += 1

    def reserve(self, now: float) -> bool:
        """Hold a retry for a request that waits, if there is room for one."""
        if self.find_remaining(now) < 1.0:
            return False
        self._reserved += 1
        return True

    def release(self) -> None:
        """Give back a retry that was held: its request gets no target."""
        self._reserved -= 1

    def spend(self, now: float) -> None:
        """Count a retry that was held, since it is sent now."""
        self._reserved -= 1
        self._count_retry(now)

    def charge(self, now: float) -> None:
        """Count a retry that was sent without being held, whatever is left."""
        self.resent += 1
        self._count_retry(now)

    def _count_retry(self, now: float) -> None:
        self._move_to(now)
        self._retries[-1] += 1
        self._spent += 1
        if self._room is not None:
            self._room -= 1.0
        self.unsent_retries += 1
        self.retries += 1

    def refund(self, spent_at: float, now: float) -> None:
        """Take back a retry that was spent then and reached no target."""
        self._move_to(now)
        index = self._find_part(spent_at) - self._newest - 1
        if index >= -KEPT_BUCKETS and self._retries[index] > 0:
            self._retries[index] -= 1
            self.retries -= 1
            self.returned += 1
            self._room = None

    def export_counts(self, now: float, is_whole: bool) -> list[CounterHistory]:
        """Return what was counted here lately, or all that is known of any counter."""
        self._move_to(now)
        self._forget_old(now)
        self.unsent_retries = 0
        if not is_whole:
            return _choose([(self._counter, self._list_told(now, RECENT_BUCKETS))])
        others = [
            (counter, [dataclasses.replace(part, ago=now - at) for at, part in known])
            for counter, parts in self._others.items()
            if (known := parts.values())
        ]
        return _choose([(self._counter, self._list_told(now, KEPT_BUCKETS)), *others])

    def merge_counts(self, count: CounterHistory, now: float) -> None:
        """Take in what another counter has counted, from it or from one that knows.

        Parts have the number that their counter gave them. Told again, or by another,
        a part counts once, with the most that was told of it.
        """
        counter, parts = count
        if counter == self._counter:
            return
        self._move_to(now)
        known = self._others.setdefault(counter, {})
        for part in parts:
            at, before = known.get(part.number, (now - part.ago, EMPTY_BUCKET))
            requests = max(before.requests, part.requests)
            retries = max(before.retries, part.retries)
            known[part.number] = (at, Bucket(part.number, 0.0, requests, retries))
            self._add(at, requests - before.requests, retries - before.retries)
        self._room = None

    def find_ease(self, now: float) -> float:
        """Return how freely retries may be spent: 1 for freely, 0 for none left."""
        left = self.find_remaining(now)
        if left < 1.0:
            return 0.0
        return min(1.0, left / (RESERVE_SHARE * (left + self._spent + self._reserved)))

    def find_remaining(self, now: float) -> float:
        """Return how many retries there is room for.

        Asked several times for each request, it adds up anew in each part only.
        Requests of the latest part count from the next one on.
        """
        self._move_to(now)
        basis = self._read_basis()
        if self._room is None or self._basis is not basis:
            self._basis = basis
            requests, retries = self._requests, self._retries
            if basis is not Basis.OWN:
                requests = _add_up(requests, self._heard[0])
                retries = _add_up(retries, self._heard[1])
            if basis is Basis.NONE:
                requests = [0] * KEPT_BUCKETS
            self._spent = sum(retries[-BUCKETS_PER_WINDOW:])
            self._room = self._find_room(requests, retries)
        return self._room + self._read_slack() - self._reserved

    def _find_room(self, requests: list[int], retries: list[int]) -> float:
        """Return how many more retries the requests allow.

        Each span that began within the last one may hold them, and must keep to what
        its requests allow by what is known now: after a burst, one that began in the
        midst of it is allowed less than those before and after. A part in which a span
        may begin or end counts with all its retries and none of its requests.
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

    def _forget_old(self, now: float) -> None:
        """Forget what lies too far back to count."""
        oldest = now - 2 * self._span
        for counter, parts in list(self._others.items()):
            recent = {number: one for number, one in parts.items() if one[0] > oldest}
            if recent:
                self._others[counter] = recent
            else:
                del self._others[counter]

    def _arrange(
        self, told: collections.abc.Iterable[tuple[float, Bucket]]
    ) -> tuple[list[int], list[int]]:
        """Return parts, each with its begin, added up by the parts of this span."""
        before, self._heard = self._heard, ([0] * KEPT_BUCKETS, [0] * KEPT_BUCKETS)
        for at, part in told:
            self._add(at, part.requests, part.retries)
        arranged, self._heard = self._heard, before
        return arranged

    def _add(self, at: float, requests: int, retries: int) -> None:
        """Add what another counter has counted in a part that began at a time.

        It lies in two parts here. Its retries go to the later one, and so count for
        each span that may hold them.
        """
        index = self._find_part(at) - self._newest + KEPT_BUCKETS - 1
        if 0 <= index < KEPT_BUCKETS:
            self._heard[0][index] += requests
        if -1 <= index < KEPT_BUCKETS:
            self._heard[1][min(index + 1, KEPT_BUCKETS - 1)] += retries

    def _list_parts(self, now: float, count: int) -> list[Bucket]:
        """Return the latest parts in which anything was counted."""
        length = self._span / BUCKETS_PER_WINDOW
        numbers = range(self._newest - count + 1, self._newest + 1)
        return [
            Bucket(number, now - number * length, requests, retries)
            for number, requests, retries in zip(
                numbers, self._requests[-count:], self._retries[-count:], strict=True
            )
            if requests or retries
        ]

    def _list_told(self, now: float, count: int) -> list[Bucket]:
        """Return the latest parts that others know by their present numbers."""
        parts = self._list_parts(now, count)
        return [part for part in parts if part.number >= self._told_from]

    def _find_part(self, at: float) -> int:
        return math.floor(at * BUCKETS_PER_WINDOW / self._span)

    def _move_to(self, now: float) -> None:
        """Begin the parts that have come since the last use."""
        passed = self._find_part(now) - self._newest
        if passed <= 0:
            return
        self._newest += passed
        self._room = None
        self._requests = _shift(self._requests, passed)
        self._retries = _shift(self._retries, passed)
        requests, retries = self._heard
        self._heard = _shift(requests, passed), _shift(retries, passed)


def _add_up(counts: list[int], others: list[int]) -> list[int]:
    """Return the sums of two counts by part."""
    return [one + other for one, other in zip(counts, others, strict=True)]


def _shift(counts: list[int], passed: int) -> list[int]:
    """Return counts of parts as they stand some parts later."""
    passed = min(passed, KEPT_BUCKETS)
    return [*counts[passed:], *[0] * passed]


def _choose(counts: list[tuple[str, list[Bucket]]]) -> list[CounterHistory]:
    """Return the counts that are worth telling."""
    return [
        (counter, tuple(parts))
        for counter, parts in counts
        if any(part.retries for part in parts)
        or sum(part.requests for part in parts) >= MIN_SENT_REQUESTS
    ]
