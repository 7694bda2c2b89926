"""The dispatchers that this VM runs, for itself and for those who ask it.

There is one for each shard that somebody asks about here. What other dispatchers think
of targets is kept beside them, so that a new one does not begin without knowledge.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import itertools
import random

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import (
    dispatcher,
    messages,
    pool,
    rate_limit,
    retry_window,
    shards,
    work_times,
)

from . import datagrams, members, named_limits

Deliver = collections.abc.Callable[[str, messages.Decision], None]
Announce = collections.abc.Callable[[str], None]

SHARE_OF_SLACK = 0.65
"""Share of the slack of retries that the dispatchers of a service give out. What is
left is for what they have not told each other yet, and for retries that take long to
arrive."""

FIRST_SHARE = 0.25
"""The same for one that has not counted for a whole window and was not told what others
have: the one before it may have given out its own share just now."""

ALONE_AFTER = 10.0
"""Seconds after the last ask of another VM from which a dispatcher counts as one that
decides for its own VM alone."""

MOST_UNTOLD = 0.1
"""Share of the slack of retries that is given out until the other dispatchers are told
at once: so much of what one has given out is unknown to the next at most."""

KEEP_IDLE = 30.0
"""Seconds after which a dispatcher that nobody asks is dropped: longer than retries are
counted, so that dropping one gives no new ones."""

KEEP_OPINIONS = 5.0
"""Seconds for which the opinions of another dispatcher are used. Targets change in
seconds; older ones tell no more than what is usual."""

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
    """Dispatchers of all shards that were asked about here.

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
        self._dispatchers: dict[shards.Shard, dispatcher.Dispatcher] = {}
        self._windows: dict[str, retry_window.RetryWindow] = {}
        self._used_at: dict[shards.Shard, float] = {}
        self._counting_since: dict[str, float] = {}
        self._counters = itertools.count()
        self._counter = self._name_counter()
        self._announce: Announce = _announce_nothing
        self._times: dict[str, work_times.KindTimes] = {}
        self._askers: dict[str, tuple[str, float]] = {}
        self._alone_at: dict[shards.Shard, float] = {}
        self._limits = named_limits.NamedLimits(registry)
        self._heard: dict[str, tuple[datagrams.Opinion, float]] = {}
        self._divisions: dict[str, tuple[shards.Shard, ...]] = {}

    def use_announcer(self, announce: Announce) -> None:
        """Call this with a service of whose retries other dispatchers shall hear."""
        self._announce = announce

    def list_services(self) -> list[str]:
        """Return the services that a dispatcher here counts for."""
        return sorted({shard.service for shard in self._dispatchers})

    def list_busy(self) -> list[shards.Shard]:
        """Return the shards that have slots in use by a dispatcher here."""
        return [shard for shard, one in self._dispatchers.items() if one.in_flight]

    def list_shards(self, service: str) -> tuple[shards.Shard, ...]:
        """Return the shards into which a service is divided now."""
        return self._divisions.get(service) or (shards.Shard(service),)

    def covers(self, shard: shards.Shard, target_id: str) -> bool:
        """Return whether a target of the service belongs to a shard of it."""
        if shard.is_whole:
            return True
        entry = self._registry.find(target_id)
        return entry is not None and shard.covers(entry)

    def has_targets(self, shard: shards.Shard, now: float) -> bool:
        """Return whether any target of a shard may get work, as far as known."""
        return bool(self._list_targets(shard, now))

    def use_budget(self, budget: RetryBudget) -> None:
        """Give out retries by this budget from now on."""
        self._budget = budget
        now = anyio.current_time()
        for window in self._windows.values():
            window.use(budget.ratio, budget.window, now)

    def ask(self, vm: str, ask: messages.Ask, now: float) -> None:
        """Take in an ask of a VM; decisions go out through `deliver`."""
        self._askers[ask.ticket] = (vm, now + KEEP_ASKER)
        self._used_at[ask.shard] = now
        known = self._open(ask.shard, now)
        if vm != self._fleet.own.vm:
            if self._find_share(ask.shard) < 1.0:
                _use_whole_limits(known, now)
            self._alone_at[ask.shard] = now + ALONE_AFTER
        self._send(known.ask(ask, now))
        self._announce_untold(ask.shard.service)

    def report(self, report: messages.Report, now: float) -> None:
        """Take in how an attempt went."""
        self._askers.pop(report.ticket, None)
        self._send(self._open(report.shard, now).report(report, now))
        self._announce_untold(report.shard.service)

    def adopt(self, vm: str, held: messages.Held, now: float) -> None:
        """Take over a slot that another dispatcher gave to a VM."""
        self._askers[held.ask.ticket] = (vm, now + KEEP_ASKER)
        self._open(held.ask.shard, now).adopt(held, now)

    def update_targets(self, now: float) -> None:
        """Use the targets that the registry knows now."""
        by_service: dict[str, list[targets.Entry]] = collections.defaultdict(list)
        for entry in self._registry.list_entries():
            by_service[entry.service].append(entry)
        self._divisions = {
            service: shards.divide(service, entries)
            for service, entries in by_service.items()
        }
        self._limits.forget_gone(now)
        for shard, known in self._dispatchers.items():
            self._send(known.update_targets(self._list_targets(shard, now), now))

    def forget(self) -> None:
        """Forget all slots, waits and beliefs, as a process that starts does.

        After a suspension other VMs have long placed these requests.
        """
        self._dispatchers.clear()
        self._windows.clear()
        self._counter = self._name_counter()
        self._askers.clear()
        self._heard.clear()

    def wake(self, now: float) -> None:
        """Act on the time."""
        for known in self._dispatchers.values():
            self._send(known.wake(now))
        for ticket in [one for one, (_, at) in self._askers.items() if at <= now]:
            del self._askers[ticket]
        for shard, known in list(self._dispatchers.items()):
            is_idle = not known.in_flight and not known.queue_length
            if is_idle and self._used_at.get(shard, now) < now - KEEP_IDLE:
                del self._dispatchers[shard]

    def summarize(self, shard: shards.Shard, now: float) -> datagrams.Opinions:
        """Return what the dispatcher of a shard thinks of its targets."""
        known = self._dispatchers.get(shard)
        states = known.pool.list_states() if known is not None else []
        items = tuple(_make_opinion(state, now) for state in states)
        times = self._times.get(shard.service)
        means = tuple(times.means.items()) if times is not None else ()
        return datagrams.Opinions(shard, items, means, self._fleet.own.vm)

    def take_opinions(self, opinions: datagrams.Opinions, now: float) -> None:
        """Take in what another dispatcher thinks.

        One that is at work here knows better by what it sees itself.
        """
        shard = opinions.shard
        for one in opinions.items:
            self._heard[one.target_id] = (one, now)
            self._take_limit(one, opinions.vm, now)
        known = self._dispatchers.get(shard)
        if known is not None and known.in_flight:
            return
        times = self._times.setdefault(shard.service, work_times.KindTimes())
        for kind, seconds in opinions.times:
            times.set(kind, seconds)
        if known is not None:
            self._tell_heard(known, shard, now)

    def count_requests(self, service: str) -> int:
        """Return the requests of a service that were counted here."""
        window = self._windows.get(service)
        return window.requests if window is not None else 0

    def count_retries(
        self, service: str, now: float, is_whole: bool
    ) -> datagrams.Retries:
        """Return what was counted here lately of a service, or all that is known."""
        counts = self._open_window(service, now).tell(now, is_whole)
        return datagrams.Retries(service, tuple(counts))

    def take_retries(self, told: datagrams.Retries, now: float) -> None:
        """Take in what another VM has counted of a service that is known."""
        if told.service in self._divisions:
            window = self._open_window(told.service, now)
            for count in told.counts:
                window.take(count, now)

    def note_limit(self, target_id: str, rate: float, now: float) -> None:
        """Take in which limit an answer to this VM has named, infinite for none."""
        self._limits.note(target_id, rate, now, now)

    def _take_limit(self, opinion: datagrams.Opinion, vm: str, now: float) -> None:
        """Take in the limit that another dispatcher knows of.

        One that dispatches here as well shares it. Only an answer lifts a limit here:
        another dispatcher may not have heard of it yet.
        """
        if opinion.rate_limit is None:
            return
        due_at = now + opinion.due_in
        named_at = now - opinion.named_ago
        self._limits.note(opinion.target_id, opinion.rate_limit, due_at, named_at)
        for shard, known in self._dispatchers.items():
            state = known.pool.find(opinion.target_id)
            if state is not None:
                self._give_limit(state, shard, now)
                if state.limit is not None and known.in_flight:
                    state.limit.note_other(vm, now)

    def _give_limit(
        self, state: pool.TargetState, shard: shards.Shard, now: float
    ) -> None:
        """Let a dispatcher know of a limit that it has not heard of by itself.

        Not where an answer to it has named none since.
        """
        limit = self._limits.find(state.entry, now)
        if limit is None or not state.may_have_limit(limit.named_at):
            return
        share = self._find_share(shard)
        if share < 1.0:
            state.limit = rate_limit.begin(
                limit.rate, now, share, self._rng, limit.named_at
            )
        else:
            state.limit = rate_limit.RateLimit(limit.rate, limit.due_at, limit.named_at)

    def _open(self, shard: shards.Shard, now: float) -> dispatcher.Dispatcher:
        known = self._dispatchers.get(shard)
        if known is None:
            times = self._times.setdefault(shard.service, work_times.KindTimes())
            window = self._open_window(shard.service, now)
            known = dispatcher.Dispatcher(
                times,
                window,
                self._rng,
                read_share=lambda: self._find_share(shard),
            )
            self._dispatchers[shard] = known
            self._used_at[shard] = now
            known.update_targets(self._list_targets(shard, now), now)
            self._tell_heard(known, shard, now)
        return known

    def _open_window(self, service: str, now: float) -> retry_window.RetryWindow:
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

    def _name_counter(self) -> str:
        """Return a name for what is counted here from now on."""
        own = self._fleet.own
        return f"{own.vm}:{own.incarnation}:{next(self._counters)}"

    def _announce_untold(self, service: str) -> None:
        untold = self._windows[service].untold
        if untold and untold >= MOST_UNTOLD * self._budget.slack:
            self._announce(service)

    def _list_targets(self, shard: shards.Shard, now: float) -> list[targets.Entry]:
        usable = self._registry.list_usable(shard.service, now)
        return [entry for entry in usable if shard.covers(entry)]

    def _tell_heard(
        self, known: dispatcher.Dispatcher, shard: shards.Shard, now: float
    ) -> None:
        """Let a dispatcher begin with what others thought of its targets."""
        self._heard = {
            name: (one, at)
            for name, (one, at) in self._heard.items()
            if at > now - KEEP_OPINIONS
        }
        for state in known.pool.list_states():
            self._give_limit(state, shard, now)
            heard = self._heard.get(state.entry.target_id)
            if heard is not None:
                state.set_opinion(heard[0].failing, heard[0].slowness, heard[1])

    def _find_slack(self, service: str) -> float:
        """Return the retries that the dispatchers may give out beyond the share.

        VMs that reach no common dispatcher each decide alone. With the whole slack
        for each, a fleet of them would go beyond it many times over.
        """
        now = anyio.current_time()
        is_new = now - self._counting_since.get(service, now) < self._budget.window
        is_ignorant = is_new and not self._windows[service].has_heard
        share = FIRST_SHARE if is_ignorant else SHARE_OF_SLACK
        if self._is_alone(service):
            share /= self._fleet.count()
        return share * self._budget.slack

    def _is_alone(self, service: str) -> bool:
        """Return whether no other VM asks here for targets of a service."""
        now = anyio.current_time()
        return all(
            at <= now
            for shard, at in self._alone_at.items()
            if shard.service == service
        )

    def _find_share(self, shard: shards.Shard) -> float:
        """Return this dispatcher's part of what the fleet may do.

        One that no other VM asks decides for its own VM alone, and so may all others.
        """
        if self._alone_at.get(shard, 0.0) > anyio.current_time():
            return 1.0
        return 1.0 / self._fleet.count()

    def _send(self, decisions: list[messages.Decision]) -> None:
        for decision in decisions:
            asker = self._askers.get(decision.ticket)
            if asker is not None:
                self._deliver(asker[0], decision)


def _announce_nothing(service: str) -> None:
    """Leave it to the regular telling."""


def _use_whole_limits(known: dispatcher.Dispatcher, now: float) -> None:
    """Let a dispatcher that decides for others as well use what its targets take."""
    for state in known.pool.list_states():
        if state.limit is not None:
            state.limit.use_whole(now)


def _make_opinion(state: pool.TargetState, now: float) -> datagrams.Opinion:
    """Return what a dispatcher thinks of a target."""
    opinion = datagrams.Opinion(
        state.entry.target_id,
        round(state.belief.find_failing(now), 3),
        round(state.slowness.find(now), 2),
    )
    if state.limit is None:
        return opinion
    return dataclasses.replace(
        opinion,
        rate_limit=state.limit.rate,
        due_in=round(max(0.0, state.limit.due_at - now), 2),
        named_ago=round(max(0.0, now - state.limit.named_at), 2),
    )
