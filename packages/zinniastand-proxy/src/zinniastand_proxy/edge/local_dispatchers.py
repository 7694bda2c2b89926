"""The dispatchers that this VM runs, for itself and for those who ask it.

There is one for each shard that somebody asks about here. What other dispatchers think
of targets is kept beside them, so that a new one does not begin without knowledge.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import random

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import (
    dispatcher,
    messages,
    pool,
    rate_limit,
    shards,
    work_times,
)

from . import datagrams, members, named_limits, retry_counts

Deliver = collections.abc.Callable[[str, messages.Decision], None]

ALONE_AFTER = 10.0
"""Seconds after the last ask of another VM from which a dispatcher counts as one that
decides for its own VM alone."""

KEEP_IDLE = 30.0
"""Seconds after which a dispatcher that nobody asks is dropped: longer than retries are
counted, so that dropping one gives no new ones."""

KEEP_OPINIONS = 5.0
"""Seconds for which the opinions of another dispatcher are used. Targets change in
seconds; older ones tell no more than what is usual."""

KEEP_ASKER = 60.0
"""Seconds after which the asker of a ticket is forgotten; longer than any deadline."""


class LocalDispatchers:
    """Dispatchers of all shards that were asked about here.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    registry : targets.Registry
        Targets known.
    budget : retry_counts.RetryBudget
        Retries allowed.
    rng : random.Random
        Spreads returns of refused callers.
    deliver : callable
        Takes the VM that asked and the decision.
    is_new_fleet : bool, optional
        Whether this VM starts together with the whole fleet.
    """

    def __init__(
        self,
        fleet: members.Members,
        registry: targets.Registry,
        budget: retry_counts.RetryBudget,
        rng: random.Random,
        deliver: Deliver,
        is_new_fleet: bool = False,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self.retries = retry_counts.RetryCounts(
            fleet, budget, self._is_alone, is_new_fleet
        )
        self._rng = rng
        self._deliver = deliver
        self._dispatchers: dict[shards.Shard, dispatcher.Dispatcher] = {}
        self._used_at: dict[shards.Shard, float] = {}
        self._times: dict[str, work_times.KindTimes] = {}
        self._askers: dict[str, tuple[str, float]] = {}
        self._alone_at: dict[shards.Shard, float] = {}
        self._limits = named_limits.NamedLimits(registry)
        self._heard: dict[str, tuple[datagrams.TargetEstimate, float]] = {}
        self._divisions: dict[str, tuple[shards.Shard, ...]] = {}

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

    def request_slot(self, vm: str, ask: messages.SlotRequest, now: float) -> None:
        """Take in an ask of a VM; decisions go out through `deliver`."""
        self._askers[ask.ticket] = (vm, now + KEEP_ASKER)
        self._used_at[ask.shard] = now
        known = self._open(ask.shard, now)
        self.retries.record_activity(ask.shard.service, now)
        if vm != self._fleet.own.vm:
            if self._find_share(ask.shard) < 1.0:
                _use_whole_limits(known, now)
            self._alone_at[ask.shard] = now + ALONE_AFTER
        self._send(known.request_slot(ask, now))
        self.retries.announce_unsent(ask.shard.service)

    def report(self, report: messages.Report, now: float) -> None:
        """Take in how an attempt went."""
        self._askers.pop(report.ticket, None)
        self._send(self._open(report.shard, now).handle_report(report, now))
        self.retries.announce_unsent(report.shard.service)

    def adopt(self, vm: str, held: messages.HeldSlot, now: float) -> None:
        """Take over a slot that another dispatcher gave to a VM."""
        self._askers[held.slot_request.ticket] = (vm, now + KEEP_ASKER)
        self._open(held.slot_request.shard, now).adopt_slot(held, now)

    def update_targets(self, now: float) -> None:
        """Use the targets that the registry knows now."""
        by_service: dict[str, list[targets.Entry]] = collections.defaultdict(list)
        for entry in self._registry.list_entries():
            by_service[entry.service].append(entry)
        self._divisions = {
            service: shards.divide(service, entries)
            for service, entries in by_service.items()
        }
        self._limits.remove_expired(now)
        self.retries.remove_gone_services(
            {*self._divisions, *self.list_services()}, now
        )
        for shard, known in self._dispatchers.items():
            self._send(known.update_targets(self._list_targets(shard, now), now))

    def reset(self) -> None:
        """Forget all slots, waits and beliefs, as a process that starts does.

        After a suspension other VMs have long placed these requests.
        """
        self._dispatchers.clear()
        self.retries.reset()
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

    def summarize_estimates(
        self, shard: shards.Shard, now: float
    ) -> datagrams.TargetEstimates:
        """Return what the dispatcher of a shard thinks of its targets."""
        known = self._dispatchers.get(shard)
        states = known.pool.list_states() if known is not None else []
        items = tuple(_make_opinion(state, now) for state in states)
        times = self._times.get(shard.service)
        means = tuple(times.means.items()) if times is not None else ()
        return datagrams.TargetEstimates(shard, items, means, self._fleet.own.vm)

    def apply_estimates(self, opinions: datagrams.TargetEstimates, now: float) -> None:
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
        for kind, seconds in opinions.durations:
            times.set(kind, seconds)
        if known is not None:
            self._tell_heard(known, shard, now)

    def apply_retry_counts(self, told: datagrams.RetryUsage, now: float) -> None:
        """Take in what another VM has counted of a service that is known."""
        if told.service in self._divisions:
            self.retries.apply_update(told, now)

    def record_rate_limit(self, target_id: str, rate: float, now: float) -> None:
        """Take in which limit an answer to this VM has named, infinite for none."""
        self._limits.record(target_id, rate, now, now)

    def _take_limit(
        self, opinion: datagrams.TargetEstimate, vm: str, now: float
    ) -> None:
        """Take in the limit that another dispatcher knows of.

        One that dispatches here as well shares it. Only an answer lifts a limit here:
        another dispatcher may not have heard of it yet.
        """
        if opinion.rate_limit is None:
            return
        due_at = now + opinion.next_request_in
        named_at = now - opinion.rate_limit_age
        self._limits.record(opinion.target_id, opinion.rate_limit, due_at, named_at)
        for shard, known in self._dispatchers.items():
            state = known.pool.find(opinion.target_id)
            if state is not None:
                self._give_limit(state, shard, now)
                if state.limit is not None and known.in_flight:
                    state.limit.record_other_dispatcher(vm, now)

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
            state.limit = rate_limit.start_rate_limit(
                limit.rate, now, share, self._rng, limit.named_at
            )
        else:
            state.limit = rate_limit.RateLimit(limit.rate, limit.due_at, limit.named_at)

    def _open(self, shard: shards.Shard, now: float) -> dispatcher.Dispatcher:
        known = self._dispatchers.get(shard)
        if known is None:
            times = self._times.setdefault(shard.service, work_times.KindTimes())
            window = self.retries.open(shard.service, now)
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
                state.set_estimates(
                    heard[0].failure_probability, heard[0].slowness, heard[1]
                )

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


def _use_whole_limits(known: dispatcher.Dispatcher, now: float) -> None:
    """Let a dispatcher that decides for others as well use what its targets take."""
    for state in known.pool.list_states():
        if state.limit is not None:
            state.limit.claim_full_rate(now)


def _make_opinion(state: pool.TargetState, now: float) -> datagrams.TargetEstimate:
    """Return what a dispatcher thinks of a target."""
    opinion = datagrams.TargetEstimate(
        state.entry.target_id,
        round(state.failure_estimate.find_failing_probability(now), 3),
        round(state.slowness.find(now), 2),
    )
    if state.limit is None:
        return opinion
    return dataclasses.replace(
        opinion,
        rate_limit=state.limit.rate,
        next_request_in=round(max(0.0, state.limit.due_at - now), 2),
        rate_limit_age=round(max(0.0, now - state.limit.announced_at), 2),
    )
