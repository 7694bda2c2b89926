"""Counts the retries of each service, including the counts received from other VMs."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math

import anyio

from zinniastand_core.dispatch import retry_window

from . import datagrams, members

SLACK_SHARE = 0.65
"""Share of the retry slack that the dispatchers of a service grant. The rest covers
grants that they have not announced to each other yet, and retries that take long to
arrive."""

INITIAL_SLACK_SHARE = 0.25
"""Share of the retry slack that a dispatcher grants while it does not know what others
have granted: its predecessor may just have granted `SLACK_SHARE`."""

MAX_GAP_S = 2.5
"""Seconds without slot requests or updates for a service after which a VM starts
counting again: every VM that may become its dispatcher receives full counts each
second."""

MAX_UNSENT_SHARE = 0.1
"""Share of the retry slack that may be granted and not yet announced before an update
is sent at once, ahead of its regular time. It limits the grants that the next
dispatcher does not know about."""

NEW_FLEET_DURATION_S = 1.0
"""Seconds after the first request of a service during which a VM of a new fleet assumes
that no retry has been granted: all VMs see their first requests at about the same
time."""

KEPT_WINDOWS = 3
"""Number of budget windows for which the counts of a service without targets are
kept."""

MAX_BUCKETS_PER_DATAGRAM = 1_500
"""Number of buckets from which no further counter is added to a datagram. The last
counter may exceed it."""

MAX_DIRECT_SHARDS = 12
"""Shards of a service up to which its dispatchers send their counts to each other. What
they send grows with the square of the shards; above this number, they send them to the
VM that aggregates them."""

AGGREGATION_TIMEOUT_S = 1.5
"""Seconds without counts of other VMs after which a VM no longer aggregates."""

Announce = collections.abc.Callable[[str], None]
IsAlone = collections.abc.Callable[[str], bool]
CountShards = collections.abc.Callable[[str], int]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Limit on the retries of a service."""

    ratio: float
    """Retries allowed per request."""

    slack: float
    """Additional retries allowed in each window."""

    window: float
    """Length in seconds of the window over which both are counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTotals:
    """Totals counted by this VM for a service."""

    requests: int
    """Requests whose first slot request came to this VM."""

    spent: int
    """Retries granted, without those that were returned."""

    resent: int
    """Of `spent`, requests resent on a second connection without a slot request."""

    returned: int
    """Retries returned because they reached no target."""

    left: float
    """Retries that may still be granted now."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetrySummary:
    """What this VM knows of the retries of a service when it grants one."""

    scope: str
    """Whose counts allow retries; a name of `retry_window.CountScope`."""

    slack: float
    """Retries that may be granted beyond the ratio of requests."""

    own: int
    """Retries granted here since the start."""

    known: int
    """Retries within the window that are known here, with those of others."""

    left: float
    """Retries that may still be granted now."""


class RetryCounts:
    """Counts for all services that this VM dispatches or may have to dispatch.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    budget : RetryBudget
        Limit on the retries of each service.
    is_alone : callable
        Returns whether no other VM requests slots of a service here.
    count_shards : callable
        Returns the number of shards of a service.
    is_new_fleet : bool, optional
        Whether this VM starts together with the whole fleet, so that no retry was
        granted before.
    """

    def __init__(
        self,
        fleet: members.Members,
        budget: RetryBudget,
        is_alone: IsAlone,
        count_shards: CountShards,
        is_new_fleet: bool = False,
    ) -> None:
        self._fleet = fleet
        self._budget = budget
        self._has_no_other_callers = is_alone
        self._count_shards = count_shards
        self._heard_at: dict[str, float] = {}
        self._allowed_at: dict[str, float] = {}
        self._windows: dict[str, retry_window.RetryWindow] = {}
        self._is_new_fleet = is_new_fleet
        self._first_seen: dict[str, float] = {}
        self._counting_since: dict[str, float] = {}
        self._active_at: dict[str, float] = {}
        self._fully_informed: set[str] = set()
        self._numbers = itertools.count()
        self._counter = self._make_counter_name()
        self._announce: Announce = _announce_nothing

    def use_announcer(self, announce: Announce) -> None:
        """Set the callback that sends a service's counts to other dispatchers."""
        self._announce = announce

    def use_budget(self, budget: RetryBudget, now: float) -> None:
        """Replace the budget, also for the windows that are open."""
        self._budget = budget
        for window in self._windows.values():
            window.set_bounds(budget.ratio, budget.window, now)

    def open(self, service: str, now: float) -> retry_window.RetryWindow:
        """Return the retry window of a service, shared by all its shards."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = retry_window.RetryWindow(
                self._budget.ratio,
                lambda: self._find_slack(service),
                self._budget.window,
                self._counter,
                lambda: self._choose_count_scope(service),
            )
        return window

    def record_request(self, service: str, now: float) -> None:
        """Record that this VM received a request for a service."""
        self._first_seen.setdefault(service, now)

    def record_activity(self, service: str, now: float) -> None:
        """Record that this VM dispatches a service, or received counts of it.

        Dispatching a service with an aggregator shows nothing of the other shards.
        """
        gap = now - self._active_at.get(service, -math.inf)
        if gap > MAX_GAP_S or self._is_one_of_many(service, now):
            self._counting_since[service] = now
            self._fully_informed.discard(service)
            first_seen = self._first_seen.setdefault(service, now)
            if self._is_new_fleet and now <= first_seen + NEW_FLEET_DURATION_S:
                self._fully_informed.add(service)
        self._active_at[service] = now

    def announce_unsent(self, service: str) -> None:
        """Announce the counts at once if many granted retries are unsent."""
        unsent = self._windows[service].unsent_retries
        if unsent and unsent >= MAX_UNSENT_SHARE * self._budget.slack:
            self._announce(service)

    def make_updates(
        self, service: str, now: float, is_whole: bool
    ) -> list[datagrams.RetryUsage]:
        """Return messages with the recent counts of this VM, or with all known counts.

        If many VMs decide alone, the counts do not fit into one datagram.
        """
        is_complete = is_whole and self._is_fully_informed(service, now)
        min_requests = retry_window.MIN_SENT_REQUESTS
        if self.has_aggregator(service):
            min_requests = 1  # Without any counts, there would be no allowances either.
        updates: list[datagrams.RetryUsage] = []
        counts: list[retry_window.CounterHistory] = []
        window = self.open(service, now)
        for history in window.export_counts(now, is_whole, min_requests):
            counts.append(history)
            if sum(len(buckets) for _, buckets in counts) >= MAX_BUCKETS_PER_DATAGRAM:
                updates.append(datagrams.RetryUsage(service, tuple(counts)))
                counts = []
        if counts or (is_complete and updates):
            updates.append(datagrams.RetryUsage(service, tuple(counts), is_complete))
        return updates

    def apply_update(self, update: datagrams.RetryUsage, now: float) -> None:
        """Merge counts received from another VM."""
        window = self.open(update.service, now)
        for history in update.counts:
            window.merge_counts(history, now)
        self._heard_at[update.service] = now
        self.record_activity(update.service, now)
        if update.is_complete:
            self._fully_informed.add(update.service)

    def find_last_allowance(self, service: str) -> float:
        """Return when an allowance last arrived; minus infinity if none did."""
        return self._allowed_at.get(service, -math.inf)

    def has_aggregator(self, service: str) -> bool:
        """Return whether one VM aggregates the counts of a service."""
        return self._count_shards(service) > MAX_DIRECT_SHARDS

    def is_aggregator(self, service: str, now: float) -> bool:
        """Return whether other VMs send the counts of a service here to aggregate."""
        if not self.has_aggregator(service):
            return False
        return now - self._heard_at.get(service, -math.inf) < AGGREGATION_TIMEOUT_S

    def list_aggregated(self, now: float) -> list[str]:
        """Return the services whose counts this VM aggregates."""
        return [
            service for service in self._windows if self.is_aggregator(service, now)
        ]

    def make_allowance(
        self, service: str, receiver_count: int, now: float
    ) -> datagrams.RetryAllowance:
        """Return what is left to the dispatchers of a service, counted here."""
        allowance = self.open(service, now).make_allowance(now, receiver_count)
        return datagrams.RetryAllowance(self._fleet.own.vm, service, allowance)

    def apply_allowance(self, message: datagrams.RetryAllowance, now: float) -> None:
        """Use what the aggregator of a service allows."""
        self._allowed_at[message.service] = now
        if not self.is_aggregator(message.service, now):
            self.open(message.service, now).use_allowance(message.allowance, now)

    def find_totals(self, service: str, now: float) -> RetryTotals:
        """Return the totals of a service since this VM started counting it."""
        window = self.open(service, now)
        left = max(0.0, window.find_remaining(now))
        return RetryTotals(
            window.requests,
            window.retries,
            window.resent,
            window.refunded,
            round(left, 1),
        )

    def summarize(self, service: str, now: float) -> RetrySummary:
        """Return what this VM knows of the retries of a service."""
        window = self.open(service, now)
        left = window.find_remaining(now)
        return RetrySummary(
            self._choose_count_scope(service).name.lower(),
            round(self._find_slack(service), 1),
            window.retries,
            window.known_retries,
            round(left, 1),
        )

    def count_requests(self, service: str) -> int:
        """Return the number of requests of a service counted here."""
        window = self._windows.get(service)
        return window.requests if window is not None else 0

    def reset(self) -> None:
        """Discard all counts and count under a new name, as after a process start."""
        self._windows.clear()
        self._counting_since.clear()
        self._active_at.clear()
        self._heard_at.clear()
        self._allowed_at.clear()
        self._fully_informed.clear()
        self._is_new_fleet = False
        self._counter = self._make_counter_name()

    def remove_gone_services(
        self, services: collections.abc.Container[str], now: float
    ) -> None:
        """Remove services other than `services` once their counts have expired.

        They are kept that long because a service whose targets are all gone may have
        targets again a moment later.
        """
        oldest = now - KEPT_WINDOWS * self._budget.window
        for service in list(self._windows):
            if service in services or self._active_at.get(service, 0.0) > oldest:
                continue
            del self._windows[service]
            self._counting_since.pop(service, None)
            self._heard_at.pop(service, None)
            self._allowed_at.pop(service, None)
            self._fully_informed.discard(service)

    def _find_slack(self, service: str) -> float:
        """Return the retries that dispatchers may grant beyond the ratio of requests.

        VMs that reach no common dispatcher each decide alone. If each used the whole
        slack, the fleet would exceed it many times over.
        """
        now = anyio.current_time()
        share = INITIAL_SLACK_SHARE
        if self._is_alone(service, now):
            share = SLACK_SHARE if self._is_fully_informed(service, now) else share
            share /= self._fleet.count()
        elif self._is_one_of_many(service, now):
            share /= self._count_shards(service)
        elif self._is_fully_informed(service, now):
            share = SLACK_SHARE
        return share * self._budget.slack

    def _choose_count_scope(self, service: str) -> retry_window.CountScope:
        now = anyio.current_time()
        if self._is_alone(service, now):
            return retry_window.CountScope.OWN
        if self._is_one_of_many(service, now):
            return retry_window.CountScope.NONE
        if self._is_fully_informed(service, now):
            return retry_window.CountScope.ALL
        return retry_window.CountScope.NONE

    def _is_alone(self, service: str, now: float) -> bool:
        """Return whether this VM decides for itself alone, as all others may do.

        An aggregator decides for others, though they may request no slots here.
        """
        return self._has_no_other_callers(service) and not self.is_aggregator(
            service, now
        )

    def _is_one_of_many(self, service: str, now: float) -> bool:
        """Return whether this VM depends on the allowances of an aggregator."""
        return self.has_aggregator(service) and not self.is_aggregator(service, now)

    def _is_fully_informed(self, service: str, now: float) -> bool:
        """Return whether this VM knows all retries granted within the window.

        It does if a VM that knows them sent their counts, if it has dispatched or
        received counts for a whole window, or if the first requests of a new fleet
        have just arrived.
        """
        if service in self._fully_informed:
            return True
        since = self._counting_since.get(service, now)
        return now - since >= self._budget.window

    def _make_counter_name(self) -> str:
        """Return a new name for this VM's counter, unique in the fleet."""
        own = self._fleet.own
        return f"{own.vm}:{own.incarnation}:{next(self._numbers)}"


def _announce_nothing(service: str) -> None:
    """Do nothing: the periodic updates contain the counts."""
