"""The dispatchers that this VM runs, for itself and for those who ask it."""

from __future__ import annotations

import collections.abc
import dataclasses
import random

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import dispatcher, messages, retry_window, work_times

from . import datagrams, members

Deliver = collections.abc.Callable[[str, messages.Decision], None]

SHARE_OF_SLACK = 0.4
"""Share of the slack of retries that one dispatcher gives out. While VMs disagree who
dispatches, two may do so; their sum stays below the whole."""

ALONE_AFTER = 10.0
"""Seconds after the last ask of another VM from which a dispatcher counts as one that
decides for its own VM alone."""

KEEP_ASKER = 60.0
"""Seconds after which the asker of a ticket is forgotten; longer than any deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """The retries that a service may get."""

    ratio: float
    """Retries per request."""

    slack: float
    """Retries beyond that."""

    window: float
    """Seconds over which both are counted."""


class Desk:
    """Dispatchers of all services that were asked about here.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    registry : targets.Registry
        Targets known.
    budget : RetryBudget
        Retries allowed.
    rng : random.Random
        Spreads returns of refused callers.
    deliver : callable
        Takes the VM that asked and the decision.
    """

    def __init__(
        self,
        fleet: members.Members,
        registry: targets.Registry,
        budget: RetryBudget,
        rng: random.Random,
        deliver: Deliver,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._budget = budget
        self._rng = rng
        self._deliver = deliver
        self._dispatchers: dict[str, dispatcher.Dispatcher] = {}
        self._times: dict[str, work_times.KindTimes] = {}
        self._askers: dict[str, tuple[str, float]] = {}
        self._alone_at: dict[str, float] = {}

    @property
    def services(self) -> list[str]:
        """Services that have a dispatcher here."""
        return list(self._dispatchers)

    def find(self, service: str) -> dispatcher.Dispatcher | None:
        """Return the dispatcher of a service, if there is one here."""
        return self._dispatchers.get(service)

    def ask(self, vm: str, ask: messages.Ask, now: float) -> None:
        """Take in an ask of a VM; decisions go out through `deliver`."""
        self._askers[ask.ticket] = (vm, now + KEEP_ASKER)
        if vm != self._fleet.own.vm:
            self._alone_at[ask.service] = now + ALONE_AFTER
        self._send(self._open(ask.service, now).ask(ask, now))

    def report(self, report: messages.Report, now: float) -> None:
        """Take in how an attempt went."""
        self._askers.pop(report.ticket, None)
        self._send(self._open(report.service, now).report(report, now))

    def adopt(self, vm: str, held: messages.Held, now: float) -> None:
        """Take over a slot that another dispatcher gave to a VM."""
        self._askers[held.ask.ticket] = (vm, now + KEEP_ASKER)
        self._open(held.ask.service, now).adopt(held, now)

    def update_targets(self, now: float) -> None:
        """Use the targets that the registry knows now."""
        for service, known in self._dispatchers.items():
            entries = self._registry.list_usable(service, now)
            self._send(known.update_targets(entries, now))

    def wake(self, now: float) -> None:
        """Act on the time."""
        for known in self._dispatchers.values():
            self._send(known.wake(now))
        for ticket in [one for one, (_, at) in self._askers.items() if at <= now]:
            del self._askers[ticket]

    def summarize(self, service: str, now: float) -> datagrams.Opinions:
        """Return what the dispatcher of a service thinks of its targets."""
        known = self._dispatchers.get(service)
        states = known.pool.list_states() if known is not None else []
        items = tuple(
            datagrams.Opinion(
                state.entry.target_id,
                round(state.belief.find_failing(now), 3),
                round(state.slowness.find(now), 2),
            )
            for state in states
        )
        times = self._times.get(service)
        means = tuple(times.means.items()) if times is not None else ()
        return datagrams.Opinions(service, items, means)

    def take_opinions(self, opinions: datagrams.Opinions, now: float) -> None:
        """Take over what another dispatcher thinks."""
        known = self._open(opinions.service, now)
        for one in opinions.items:
            state = known.pool.find(one.target_id)
            if state is not None:
                state.set_opinion(one.failing, one.slowness, now)
        for kind, seconds in opinions.times:
            self._times[opinions.service].set(kind, seconds)

    def _open(self, service: str, now: float) -> dispatcher.Dispatcher:
        known = self._dispatchers.get(service)
        if known is None:
            times = self._times[service] = work_times.KindTimes()
            window = retry_window.RetryWindow(
                self._budget.ratio,
                lambda: self._find_slack(service),
                self._budget.window,
            )
            known = dispatcher.Dispatcher(times, window, self._rng)
            self._dispatchers[service] = known
            known.update_targets(self._registry.list_usable(service, now), now)
        return known

    def _find_slack(self, service: str) -> float:
        """Return the retries that this dispatcher may give out beyond the share.

        VMs that reach no common dispatcher each decide alone. With the whole slack
        for each, a fleet of them would go beyond it many times over.
        """
        if self._alone_at.get(service, 0.0) > anyio.current_time():
            return SHARE_OF_SLACK * self._budget.slack
        return SHARE_OF_SLACK * self._budget.slack / self._fleet.count()

    def _send(self, decisions: list[messages.Decision]) -> None:
        for decision in decisions:
            asker = self._askers.get(decision.ticket)
            if asker is not None:
                self._deliver(asker[0], decision)
