"""Shares a shard fairly among client accounts and kinds of work.

Load pattern: one account sends seven times its usual load, enrolments arrive at two and
a half times their rate, callers retry immediately, a third of the targets is lost. The
account that sends more than its share must delay only itself, and no kind of work may
starve behind more urgent ones.
"""

from __future__ import annotations

import collections
import dataclasses
import math

RATE_DECAY_TIME_S = 1.0
"""Seconds in which the weight of offered work decays by a factor of e: a surge of an
account counts within a second, and single requests hardly do."""

MIN_RATE = 0.001
"""Offered work, in slots, below which an account is forgotten."""

MIN_AVAILABLE_SHARE = 0.05
"""Minimum share of the capacity that is assumed to be left for any work, where it is a
divisor."""

KIND_DECAY_TIME_S = 2.0
"""Seconds in which the weight of a decision on a kind decays by a factor of e."""

MIN_DECISIONS = 5.0
"""Sum of weights of decisions below which the share of a kind is unknown."""

STARVING_SHARE = 0.6
"""Share of a kind that is served, relative to that of all kinds, below which the kind
is starving. Callers need at least half, and the estimate errs."""


class FairOrder:
    """Start tags of start-time fair queueing, for each priority and account.

    Requests are served in the order of their start tags. A start tag is the finish tag
    of the account's previous request, or the virtual time if that is later, so that an
    account without a backlog is not punished for earlier work.
    """

    def __init__(self) -> None:
        self._virtual_times: dict[int, float] = {}
        self._finish_tags: dict[tuple[int, str], float] = {}

    def find_virtual_time(self, priority: int) -> float:
        """Return the start tag of the last request of a priority that was served."""
        return self._virtual_times.get(priority, 0.0)

    def find_start(self, priority: int, account: str, allowance: float) -> float:
        """Return the start tag of the account's next request.

        `allowance` is the work in seconds by which it may exceed its share before its
        requests wait behind those of others.
        """
        finish = self._finish_tags.get((priority, account), 0.0)
        return max(self.find_virtual_time(priority), finish - allowance)

    def enter(self, priority: int, account: str, cost: float) -> None:
        """Record that a request of `cost` seconds of work waits."""
        finish = self.find_start(priority, account, 0.0) + cost
        self._finish_tags[priority, account] = finish

    def withdraw(self, priority: int, account: str, cost: float) -> None:
        """Record that a waiting request gets no slot."""
        if (priority, account) in self._finish_tags:
            self._finish_tags[priority, account] -= cost

    def serve(self, priority: int, start: float) -> None:
        """Record that the request with this start tag gets a slot."""
        self._virtual_times[priority] = max(self.find_virtual_time(priority), start)

    def forget_served(self) -> None:
        """Forget the accounts without a backlog."""
        self._finish_tags = {
            (priority, account): finish
            for (priority, account), finish in self._finish_tags.items()
            if finish > self.find_virtual_time(priority)
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _Class:
    """Division of the capacity that more urgent work leaves for one priority."""

    more_urgent: float
    """Work of higher priorities that is served, in slots."""

    level: float
    """Work, in slots, above which an account is over its share; infinite if there is
    enough capacity for all."""

    below_level: float
    """Work of all accounts that are within their share, in slots."""


class OfferedWork:
    """Measures the work that accounts offer, and divides the capacity among them.

    Work is measured in slots: seconds of work per second.
    """

    def __init__(self) -> None:
        self._rates: collections.defaultdict[tuple[int, str], float] = (
            collections.defaultdict(float)
        )
        self._updated_at = 0.0
        self._capacity = 0.0
        self._level = math.inf
        self._classes: dict[int, _Class] = {}

    def add(self, priority: int, account: str, work: float) -> None:
        """Count a request of `work` seconds."""
        self._rates[priority, account] += work / RATE_DECAY_TIME_S

    def divide(self, capacity: float, now: float) -> None:
        """Divide the capacity, in slots, among the accounts and priorities."""
        factor = math.exp(-max(0.0, now - self._updated_at) / RATE_DECAY_TIME_S)
        self._updated_at = now
        self._capacity = capacity
        totals: dict[str, float] = collections.defaultdict(float)
        by_priority: dict[int, dict[str, float]] = collections.defaultdict(dict)
        for (priority, account), rate in list(self._rates.items()):
            decayed = rate * factor
            if decayed < MIN_RATE:
                del self._rates[priority, account]
                continue
            self._rates[priority, account] = decayed
            totals[account] += decayed
            by_priority[priority][account] = decayed
        # A single account has no share: there is nobody to share with.
        self._level = math.inf
        if len(totals) > 1:
            self._level, _ = _find_level(list(totals.values()), capacity)
        self._classes = {}
        more_urgent = 0.0
        for priority in sorted(by_priority):
            rates = list(by_priority[priority].values())
            left = max(0.0, capacity - more_urgent)
            level, below = _find_level(rates, left)
            self._classes[priority] = _Class(more_urgent, level, below)
            more_urgent = min(capacity, more_urgent + sum(rates))

    def find_available(self, priority: int, account: str, is_ahead: bool) -> float:
        """Return the slots that serve the work ahead of a waiting request.

        They are the capacity without the work that will arrive later and overtake the
        request: more urgent work, and, if its account is over its share, the work of
        accounts that are not.

        Parameters
        ----------
        priority : int
            Priority of the request.
        account : str
            Its account.
        is_ahead : bool
            Whether its start tag is ahead of the virtual time, so that later requests
            of other accounts may get earlier tags.
        """
        found = self._classes.get(priority)
        overtaking = 0.0
        if found is not None:
            overtaking = found.more_urgent
            is_over = self._rates.get((priority, account), 0.0) > found.level
            if is_over and is_ahead:
                overtaking += found.below_level
        return max(MIN_AVAILABLE_SHARE * self._capacity, self._capacity - overtaking)

    def is_over_share(self, priority: int, account: str) -> bool:
        """Return whether an account offers more than its share of the capacity in work
        of this priority and of more urgent ones.
        """
        if self._level == math.inf:
            return False
        offered = sum(
            self._rates.get((each, account), 0.0)
            for each in self._classes
            if each <= priority
        )
        return offered > self._level


def _find_level(rates: list[float], capacity: float) -> tuple[float, float]:
    """Return the max-min fair level of rates, and the sum of those below it."""
    ordered = sorted(rates)
    below = 0.0
    for index, rate in enumerate(ordered):
        level = (capacity - below) / (len(ordered) - index)
        if rate > level:
            return level, below
        below += rate
    return math.inf, below


class KindShares:
    """Measures how often requests of each kind get a slot."""

    def __init__(self) -> None:
        self._granted: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        self._decided: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        self._priorities: dict[str, int] = {}
        self._updated_at = 0.0

    @property
    def most_urgent(self) -> int:
        """The most urgent priority of all kinds; 0 if there are none."""
        return min(self._priorities.values(), default=0)

    @property
    def least_urgent(self) -> int:
        """The least urgent priority of all kinds; 0 if there are none."""
        return max(self._priorities.values(), default=0)

    def add(self, kind: str, priority: int, is_granted: bool, now: float) -> None:
        """Count the decision on a request of a kind."""
        factor = math.exp(-max(0.0, now - self._updated_at) / KIND_DECAY_TIME_S)
        self._updated_at = max(self._updated_at, now)
        for known in self._decided:
            self._decided[known] *= factor
            self._granted[known] *= factor
        self._priorities[kind] = priority
        self._decided[kind] += 1.0
        self._granted[kind] += is_granted

    def find_relative_share(self, kind: str) -> float:
        """Return the share of a kind relative to that of all kinds; 1 if unknown."""
        decided = self._decided.get(kind, 0.0)
        granted = sum(self._granted.values())
        if decided < MIN_DECISIONS or granted <= 0:
            return 1.0
        mean = granted / sum(self._decided.values())
        return self._granted[kind] / decided / mean

    def is_behind(self, kind: str) -> bool:
        """Return whether a less urgent kind is served more often."""
        priority = self._priorities.get(kind, 0)
        share = self.find_relative_share(kind)
        return any(
            self.find_relative_share(other) > share
            for other, its_priority in self._priorities.items()
            if its_priority > priority
        )

    def is_starving(self, kind: str) -> bool:
        """Return whether a kind is served far less often than all kinds together."""
        return self.find_relative_share(kind) < STARVING_SHARE
