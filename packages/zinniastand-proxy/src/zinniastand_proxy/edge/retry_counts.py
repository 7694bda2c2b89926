"""What this VM counts of the retries of each service, and what others have told it."""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools

import anyio

from zinniastand_core.dispatch import retry_window

from . import datagrams, members

SHARE_OF_SLACK = 0.65
"""Share of the slack of retries that the dispatchers of a service give out. What is
left is for what they have not told each other yet, and for retries that take long to
arrive."""

FIRST_SHARE = 0.25
"""The same for one that has not counted for a whole window and was not told what others
have: the one before it may have given out its own share just now."""

MOST_UNTOLD = 0.1
"""Share of the slack of retries that is given out until the other dispatchers are told
at once: so much of what one has given out is unknown to the next at most."""

MOST_PARTS = 1_500
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
class Counted:
    """What a VM has counted of the retries of a service."""

    requests: int
    """Requests that it was the first to be asked for."""

    retries: int
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
    """

    def __init__(
        self, fleet: members.Members, budget: RetryBudget, is_alone: IsAlone
    ) -> None:
        self._fleet = fleet
        self._budget = budget
        self._is_alone = is_alone
        self._windows: dict[str, retry_window.RetryWindow] = {}
        self._counting_since: dict[str, float] = {}
        self._numbers = itertools.count()
        self._counter = self._name_counter()
        self._announce: Announce = _announce_nothing

    def use_announcer(self, announce: Announce) -> None:
        """Call this with a service of whose retries other dispatchers shall hear."""
        self._announce = announce

    def use_budget(self, budget: RetryBudget, now: float) -> None:
        """Give out retries by this budget from now on."""
        self._budget = budget
        for window in self._windows.values():
            window.use(budget.ratio, budget.window, now)

    def open(self, service: str, now: float) -> retry_window.RetryWindow:
        """Return the counts of a service: those of all its shards together."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = retry_window.RetryWindow(
                self._budget.ratio,
                lambda: self._find_slack(service),
                self._budget.window,
                self._counter,
                lambda: self._is_alone(service),
            )
            self._counting_since[service] = now
        return window

    def announce_untold(self, service: str) -> None:
        """Let the others hear at once where much has been given out."""
        untold = self._windows[service].untold
        if untold and untold >= MOST_UNTOLD * self._budget.slack:
            self._announce(service)

    def tell(self, service: str, now: float, is_whole: bool) -> list[datagrams.Retries]:
        """Return what was counted here lately of a service, or all that is known.

        Where many VMs decide alone, it does not fit one datagram.
        """
        told: list[datagrams.Retries] = []
        counts: list[retry_window.Count] = []
        for count in self.open(service, now).tell(now, is_whole):
            counts.append(count)
            if sum(len(parts) for _, parts in counts) >= MOST_PARTS:
                told.append(datagrams.Retries(service, tuple(counts)))
                counts = []
        if counts:
            told.append(datagrams.Retries(service, tuple(counts)))
        return told

    def take(self, told: datagrams.Retries, now: float) -> None:
        """Take in what another VM knows."""
        window = self.open(told.service, now)
        for count in told.counts:
            window.take(count, now)

    def find_counted(self, service: str, now: float) -> Counted:
        """Return what was counted here of a service since this VM counts for it."""
        window = self.open(service, now)
        left = max(0.0, window.find_left(now))
        return Counted(
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

    def forget(self) -> None:
        """Begin a new count, as a process that starts does."""
        self._windows.clear()
        self._counting_since.clear()
        self._counter = self._name_counter()

    def forget_gone(self, services: collections.abc.Container[str]) -> None:
        """Forget all services but these."""
        for service in [one for one in self._windows if one not in services]:
            del self._windows[service]
            del self._counting_since[service]

    def _find_slack(self, service: str) -> float:
        """Return the retries that the dispatchers may give out beyond the share.

        VMs that reach no common dispatcher each decide alone. With the whole slack
        for each, a fleet of them would go beyond it many times over.
        """
        now = anyio.current_time()
        is_new = now - self._counting_since[service] < self._budget.window
        is_ignorant = is_new and not self._windows[service].has_heard
        share = FIRST_SHARE if is_ignorant else SHARE_OF_SLACK
        if self._is_alone(service):
            share /= self._fleet.count()
        return share * self._budget.slack

    def _name_counter(self) -> str:
        """Return a name for what is counted here from now on."""
        own = self._fleet.own
        return f"{own.vm}:{own.incarnation}:{next(self._numbers)}"


def _announce_nothing(service: str) -> None:
    """Leave it to the regular telling."""
