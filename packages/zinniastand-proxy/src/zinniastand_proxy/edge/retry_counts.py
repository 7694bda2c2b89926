"""What this VM counts of the retries of each service, and what others have told it."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools
import math

import anyio

from zinniastand_core.dispatch import retry_window

from . import datagrams, members

SLACK_SHARE = 0.65
"""Share of the slack of retries that the dispatchers of a service give out. What is
left is for what they have not told each other yet, and for retries that take long to
arrive."""

INITIAL_SLACK_SHARE = 0.25
"""The same for one that does not know what others have given out: the one before it
may have given out its own share just now."""

MAX_GAP_S = 2.5
"""Seconds without an ask or a word from others after which a VM counts as one that has
just begun: whoever may have to dispatch is told whole counts each second."""

MAX_UNSENT_SHARE = 0.1
"""Share of the slack of retries that is given out until the other dispatchers are told
at once: so much of what one has given out is unknown to the next at most."""

NEW_FLEET_DURATION_S = 1.0
"""Seconds after the first request of a service that a VM of a new fleet sees for which
it knows that nobody has given out any retry: all see their first ones about then."""

KEPT_WINDOWS = 3
"""Spans for which the counts of a service without targets are kept."""

MAX_PARTS_PER_DATAGRAM = 1_500
"""Parts of counts in one datagram, to which those of one count may be added."""

Announce = collections.abc.Callable[[str], None]
IsAlone = collections.abc.Callable[[str], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """The retries that a service may get."""

    ratio: float
    """Retries per request."""

    slack: float
    """Retries beyond that."""

    window: float
    """Seconds over which both are counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTotals:
    """What a VM has counted of the retries of a service."""

    requests: int
    """Requests that it was the first to be asked for."""

    spent: int
    """Retries that it gave out, without those that were returned."""

    resent: int
    """Of these, sendings on a second connection, for which it was not asked."""

    returned: int
    """Retries that reached no target."""

    left: float
    """How many more it may give out now."""


class RetryCounts:
    """Counts of all services that this VM dispatches, or may have to.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    budget : RetryBudget
        Retries allowed.
    is_alone : callable
        Returns whether no other VM asks here for targets of a service.
    is_new_fleet : bool, optional
        Whether this VM starts together with the whole fleet, so that nobody has given
        out any retry before.
    """

    def __init__(
        self,
        fleet: members.Members,
        budget: RetryBudget,
        is_alone: IsAlone,
        is_new_fleet: bool = False,
    ) -> None:
        self._fleet = fleet
        self._budget = budget
        self._is_alone = is_alone
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
        """Call this with a service of whose retries other dispatchers shall hear."""
        self._announce = announce

    def use_budget(self, budget: RetryBudget, now: float) -> None:
        """Give out retries by this budget from now on."""
        self._budget = budget
        for window in self._windows.values():
            window.set_bounds(budget.ratio, budget.window, now)

    def open(self, service: str, now: float) -> retry_window.RetryWindow:
        """Return the counts of a service: those of all its shards together."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = retry_window.RetryWindow(
                self._budget.ratio,
                lambda: self._find_slack(service),
                self._budget.window,
                self._counter,
                lambda: self._choose_basis(service),
            )
        return window

    def record_request(self, service: str, now: float) -> None:
        """Take in that a caller asks this VM for a service."""
        self._first_seen.setdefault(service, now)

    def record_activity(self, service: str, now: float) -> None:
        """Take in that this VM dispatches a service, or is told of those who do."""
        gap = now - self._active_at.get(service, -math.inf)
        if gap > MAX_GAP_S:
            self._counting_since[service] = now
            self._fully_informed.discard(service)
            first_seen = self._first_seen.setdefault(service, now)
            if self._is_new_fleet and now <= first_seen + NEW_FLEET_DURATION_S:
                self._fully_informed.add(service)
        self._active_at[service] = now

    def announce_unsent(self, service: str) -> None:
        """Let the others hear at once where much has been given out."""
        untold = self._windows[service].unsent_retries
        if untold and untold >= MAX_UNSENT_SHARE * self._budget.slack:
            self._announce(service)

    def make_updates(
        self, service: str, now: float, is_whole: bool
    ) -> list[datagrams.RetryUsage]:
        """Return what was counted here lately of a service, or all that is known.

        Where many VMs decide alone, it does not fit one datagram.
        """
        is_sure = is_whole and self._is_fully_informed(service, now)
        told: list[datagrams.RetryUsage] = []
        counts: list[retry_window.CounterHistory] = []
        for count in self.open(service, now).export_counts(now, is_whole):
            counts.append(count)
            if sum(len(parts) for _, parts in counts) >= MAX_PARTS_PER_DATAGRAM:
                told.append(datagrams.RetryUsage(service, tuple(counts)))
                counts = []
        if counts or (is_sure and told):
            told.append(datagrams.RetryUsage(service, tuple(counts), is_sure))
        return told

    def apply_update(self, told: datagrams.RetryUsage, now: float) -> None:
        """Take in what another VM knows."""
        window = self.open(told.service, now)
        for count in told.counts:
            window.merge_counts(count, now)
        self.record_activity(told.service, now)
        if told.is_complete:
            self._fully_informed.add(told.service)

    def find_totals(self, service: str, now: float) -> RetryTotals:
        """Return what was counted here of a service since this VM counts for it."""
        window = self.open(service, now)
        left = max(0.0, window.find_remaining(now))
        return RetryTotals(
            window.requests,
            window.retries,
            window.resent,
            window.returned,
            round(left, 1),
        )

    def count_requests(self, service: str) -> int:
        """Return the requests of a service that were counted here."""
        window = self._windows.get(service)
        return window.requests if window is not None else 0

    def reset(self) -> None:
        """Begin a new count, as a process that starts does."""
        self._windows.clear()
        self._counting_since.clear()
        self._active_at.clear()
        self._fully_informed.clear()
        self._is_new_fleet = False
        self._counter = self._make_counter_name()

    def remove_gone_services(
        self, services: collections.abc.Container[str], now: float
    ) -> None:
        """Forget services other than these, once nothing counted of them matters.

        One whose targets are all gone for a moment may be back in the next.
        """
        oldest = now - KEPT_WINDOWS * self._budget.window
        for service in list(self._windows):
            if service in services or self._active_at.get(service, 0.0) > oldest:
                continue
            del self._windows[service]
            self._counting_since.pop(service, None)
            self._fully_informed.discard(service)

    def _find_slack(self, service: str) -> float:
        """Return the retries that the dispatchers may give out beyond the share.

        VMs that reach no common dispatcher each decide alone. With the whole slack
        for each, a fleet of them would go beyond it many times over.
        """
        is_sure = self._is_fully_informed(service, anyio.current_time())
        share = SLACK_SHARE if is_sure else INITIAL_SLACK_SHARE
        if self._is_alone(service):
            share /= self._fleet.count()
        return share * self._budget.slack

    def _choose_basis(self, service: str) -> retry_window.Basis:
        if self._is_alone(service):
            return retry_window.Basis.OWN
        if self._is_fully_informed(service, anyio.current_time()):
            return retry_window.Basis.ALL
        return retry_window.Basis.NONE

    def _is_fully_informed(self, service: str, now: float) -> bool:
        """Return whether this VM knows of all retries that were given out lately.

        It does where it was told by one that does, where it has dispatched or been told
        for a whole span, and where requests of a new fleet have just begun.
        """
        if service in self._fully_informed:
            return True
        since = self._counting_since.get(service, now)
        return now - since >= self._budget.window

    def _make_counter_name(self) -> str:
        """Return a name for what is counted here from now on."""
        own = self._fleet.own
        return f"{own.vm}:{own.incarnation}:{next(self._numbers)}"


def _announce_nothing(service: str) -> None:
    """Leave it to the regular telling."""
