"""Dispatchers that this VM runs for itself and for other VMs.

Each shard for which a slot was requested here has its own dispatcher. Target estimates
of other VMs' dispatchers are stored too, so that a new dispatcher starts with them.
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
    mechanisms,
    messages,
    rate_limit,
    retry_estimate,
    retry_ledger,
    shards,
    target_state,
    work_times,
)

from . import announced_limits, datagrams, members
from .retries import retry_budget

Deliver = collections.abc.Callable[[str, messages.Decision], None]

ALONE_AFTER_S = 10.0
"""Seconds without slot requests of other VMs after which a dispatcher counts as one
that decides for its own VM alone."""

IDLE_RETENTION_S = 30.0
"""Seconds after which an idle dispatcher is removed, with all that it has learned."""

ESTIMATE_RETENTION_S = 5.0
"""Seconds for which estimates of another dispatcher are used. Targets change within
seconds; older estimates are no better than the defaults."""

TICKET_RETENTION_S = 60.0
"""Seconds after which the requesting VM of a ticket is forgotten; longer than any
deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryTotals:
    """Retries of a service that the dispatchers of this VM have counted."""

    requests: int = 0
    """Requests whose first slot request came to this VM."""

    spent: int = 0
    """Retries granted, without those that reached no target."""

    resent: int = 0
    """Of `spent`, requests resent on a second connection without a slot request."""

    returned: int = 0
    """Retries that reached no target."""

    left: float = 0.0
    """Retries that may still be sent, as far as the dispatchers know."""


class LocalDispatchers:
    """Dispatchers of all shards for which slots were requested here.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    registry : targets.Registry
        Targets known to this VM.
    budget : retry_budget.RetryBudget
        Limit on the retries of each service.
    rng : random.Random
        Source of randomness for spreading the retries of refused callers.
    deliver : callable
        Called with each decision and the VM that requested the slot.
    policy : mechanisms.Mechanisms, optional
        Which parts of the policy are enabled.
    """

    def __init__(
        self,
        fleet: members.Members,
        registry: targets.Registry,
        budget: retry_budget.RetryBudget,
        rng: random.Random,
        deliver: Deliver,
        policy: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self._policy = policy
        self._fleet = fleet
        self._registry = registry
        self._budget = budget
        self._rng = rng
        self._deliver = deliver
        self._dispatchers: dict[shards.Shard, dispatcher.Dispatcher] = {}
        self._last_used_at: dict[shards.Shard, float] = {}
        self._times: dict[str, work_times.KindTimes] = {}
        self._requesters: dict[str, tuple[str, float]] = {}
        self._alone_from: dict[shards.Shard, float] = {}
        self._announced_limits = announced_limits.AnnouncedLimits(registry)
        self._received_estimates: dict[str, tuple[datagrams.TargetEstimate, float]] = {}
        self._divisions: dict[str, tuple[shards.Shard, ...]] = {}

    def use_retry_budget(self, budget: retry_budget.RetryBudget, now: float) -> None:
        """Replace the limit on retries, also for the dispatchers in use."""
        self._budget = budget
        for shard_dispatcher in self._dispatchers.values():
            shard_dispatcher.retries.set_bounds(budget.ratio, budget.window, now)

    def list_busy(self) -> list[shards.Shard]:
        """Return the shards whose dispatcher here has slots in use."""
        return [
            shard
            for shard, candidate in self._dispatchers.items()
            if candidate.in_flight
        ]

    def summarize(
        self, now: float
    ) -> list[tuple[shards.Shard, dispatcher.DispatchSummary]]:
        """Return the state of each dispatcher that has slots in use or a queue."""
        return [
            (shard, candidate.summarize(now))
            for shard, candidate in self._dispatchers.items()
            if candidate.in_flight or candidate.queue_length
        ]

    def find_retry_totals(self, now: float) -> dict[str, RetryTotals]:
        """Return the totals of each service that has a dispatcher here."""
        totals: dict[str, RetryTotals] = {}
        for shard, candidate in self._dispatchers.items():
            retries = candidate.retries
            before = totals.get(shard.service, RetryTotals())
            left = max(0.0, retries.find_remaining(now))
            totals[shard.service] = RetryTotals(
                before.requests + retries.requests,
                before.spent + retries.sent,
                before.resent + retries.resent,
                before.returned + retries.returned,
                before.left + left,
            )
        return totals

    def list_shards(self, service: str) -> tuple[shards.Shard, ...]:
        """Return the shards into which a service is currently divided."""
        return self._divisions.get(service) or (shards.Shard(service),)

    def find_mean(self, service: str, kind: str) -> float:
        """Return the mean duration in seconds of a kind of work, as far as known."""
        times = self._times.get(service)
        return times.find_mean(kind) if times else work_times.INITIAL_MEAN_S

    def covers(self, shard: shards.Shard, target_id: str) -> bool:
        """Return whether a target of the service belongs to the shard."""
        if shard.is_undivided:
            return True
        entry = self._registry.find(target_id)
        return entry is not None and shard.covers(entry)

    def has_targets(self, shard: shards.Shard, now: float) -> bool:
        """Return whether this VM knows a usable target of the shard."""
        return bool(self._list_targets(shard, now))

    def request_slot(
        self, vm: str, slot_request: messages.SlotRequest, now: float
    ) -> None:
        """Handle a slot request of a VM; decisions are passed to `deliver`."""
        self._requesters[slot_request.ticket] = (vm, now + TICKET_RETENTION_S)
        self._last_used_at[slot_request.shard] = now
        shard_dispatcher = self._open_dispatcher(slot_request.shard, now)
        if vm != self._fleet.own.vm:
            if self._find_share(slot_request.shard) < 1.0:
                _use_full_limits(shard_dispatcher, now)
            self._alone_from[slot_request.shard] = now + ALONE_AFTER_S
        self._deliver_decisions(shard_dispatcher.request_slot(slot_request, now))

    def report(self, report: messages.Report, now: float) -> None:
        """Release a slot and apply the outcome of its attempt."""
        self._requesters.pop(report.ticket, None)
        self._deliver_decisions(
            self._open_dispatcher(report.shard, now).handle_report(report, now)
        )

    def adopt(self, vm: str, held: messages.HeldSlot, now: float) -> None:
        """Count a slot as in use that another dispatcher granted to a VM."""
        self._requesters[held.granted_request.ticket] = (vm, now + TICKET_RETENTION_S)
        self._open_dispatcher(held.granted_request.shard, now).adopt_slot(held, now)

    def update_targets(self, now: float) -> None:
        """Update all dispatchers to the current targets of the registry."""
        by_service: dict[str, list[targets.Entry]] = collections.defaultdict(list)
        for entry in self._registry.list_entries():
            by_service[entry.service].append(entry)
        self._divisions = {
            service: shards.divide(service, entries)
            for service, entries in by_service.items()
        }
        self._announced_limits.remove_expired(now)
        for shard, shard_dispatcher in self._dispatchers.items():
            self._deliver_decisions(
                shard_dispatcher.update_targets(self._list_targets(shard, now), now)
            )

    def reset(self) -> None:
        """Discard all slots, queues, counts and estimates, as after a process start.

        After a suspension, other VMs have already handled these requests.
        """
        self._dispatchers.clear()
        self._requesters.clear()
        self._received_estimates.clear()

    def wake(self, now: float) -> None:
        """Run the timers of all dispatchers and remove expired state."""
        for shard_dispatcher in self._dispatchers.values():
            self._deliver_decisions(shard_dispatcher.wake(now))
        for ticket in [
            expired for expired, (_, at) in self._requesters.items() if at <= now
        ]:
            del self._requesters[ticket]
        for shard, shard_dispatcher in list(self._dispatchers.items()):
            is_idle = (
                not shard_dispatcher.in_flight and not shard_dispatcher.queue_length
            )
            if is_idle and self._last_used_at.get(shard, now) < now - IDLE_RETENTION_S:
                del self._dispatchers[shard]

    def summarize_estimates(
        self, shard: shards.Shard, now: float
    ) -> datagrams.TargetEstimates:
        """Return the target estimates of a shard's dispatcher."""
        shard_dispatcher = self._dispatchers.get(shard)
        states = (
            shard_dispatcher.pool.list_states() if shard_dispatcher is not None else []
        )
        items = tuple(_make_estimate(state, now) for state in states)
        times = self._times.get(shard.service)
        means = tuple(times.means.items()) if times is not None else ()
        return datagrams.TargetEstimates(shard, items, means, self._fleet.own.vm)

    def apply_estimates(self, estimates: datagrams.TargetEstimates, now: float) -> None:
        """Apply the target estimates of another dispatcher.

        A local dispatcher with slots in use keeps its own, which are more accurate.
        """
        shard = estimates.shard
        for item in estimates.items:
            self._received_estimates[item.target_id] = (item, now)
            self._record_received_limit(item, estimates.vm, now)
        shard_dispatcher = self._dispatchers.get(shard)
        if shard_dispatcher is not None and shard_dispatcher.in_flight:
            return
        times = self._times.setdefault(shard.service, work_times.KindTimes())
        for kind, seconds in estimates.durations:
            times.set(kind, seconds)
        if shard_dispatcher is not None:
            self._apply_received_estimates(shard_dispatcher, shard, now)

    def record_rate_limit(self, target_id: str, rate: float, now: float) -> None:
        """Record a rate limit from a target's answer to this VM, infinite for none."""
        self._announced_limits.record(target_id, rate, now, now)

    def _record_received_limit(
        self, estimate: datagrams.TargetEstimate, vm: str, now: float
    ) -> None:
        """Record the rate limit in another dispatcher's estimate.

        If this VM dispatches the target too, both share the limit. Only an answer of
        the target removes a limit here, since the other dispatcher may not know of the
        limit yet.
        """
        if estimate.rate_limit is None:
            return
        due_at = now + estimate.next_request_in
        last_announced_at = now - estimate.rate_limit_age
        self._announced_limits.record(
            estimate.target_id, estimate.rate_limit, due_at, last_announced_at
        )
        for shard, shard_dispatcher in self._dispatchers.items():
            state = shard_dispatcher.pool.find(estimate.target_id)
            if state is not None:
                self._apply_limit(state, shard, now)
                if state.limit is not None and shard_dispatcher.in_flight:
                    state.limit.record_other_dispatcher(vm, now)

    def _apply_limit(
        self, state: target_state.TargetState, shard: shards.Shard, now: float
    ) -> None:
        """Pass a stored rate limit to a dispatcher that has none for the target.

        The limit is skipped if a later answer to the dispatcher announced none.
        """
        limit = self._announced_limits.find(state.entry, now)
        if limit is None or not state.may_have_limit(limit.last_announced_at):
            return
        share = self._find_share(shard)
        if share < 1.0:
            state.limit = rate_limit.start_rate_limit(
                limit.rate, now, share, self._rng, limit.last_announced_at
            )
        else:
            state.limit = rate_limit.RateLimit(
                limit.rate, limit.due_at, limit.last_announced_at
            )

    def _open_dispatcher(
        self, shard: shards.Shard, now: float
    ) -> dispatcher.Dispatcher:
        shard_dispatcher = self._dispatchers.get(shard)
        if shard_dispatcher is None:
            times = self._times.setdefault(shard.service, work_times.KindTimes())
            shard_dispatcher = dispatcher.Dispatcher(
                times,
                self._make_retry_estimate(shard, now),
                self._rng,
                self._policy,
                read_share=lambda: self._find_share(shard),
            )
            self._dispatchers[shard] = shard_dispatcher
            self._last_used_at[shard] = now
            shard_dispatcher.update_targets(self._list_targets(shard, now), now)
            self._apply_received_estimates(shard_dispatcher, shard, now)
        return shard_dispatcher

    def _make_retry_estimate(
        self, shard: shards.Shard, now: float
    ) -> retry_estimate.RetryEstimate:
        """Return the counts of a new dispatcher, which knows none from before."""
        ledger = retry_ledger.RetryLedger(
            self._budget.ratio,
            lambda: self._find_retry_slack(shard),
            self._budget.window,
            first_request_at=now,
        )
        return retry_estimate.RetryEstimate(ledger)

    def _find_retry_slack(self, shard: shards.Shard) -> float:
        """Return the part of the retry slack that the VMs use in a shard."""
        shard_count = len(self.list_shards(shard.service))
        return self._budget.used_slack * self._find_share(shard) / shard_count

    def _list_targets(self, shard: shards.Shard, now: float) -> list[targets.Entry]:
        usable = self._registry.list_usable(shard.service, now)
        return [entry for entry in usable if shard.covers(entry)]

    def _apply_received_estimates(
        self, shard_dispatcher: dispatcher.Dispatcher, shard: shards.Shard, now: float
    ) -> None:
        """Initialize a dispatcher with recent target estimates of other dispatchers."""
        self._received_estimates = {
            name: (item, at)
            for name, (item, at) in self._received_estimates.items()
            if at > now - ESTIMATE_RETENTION_S
        }
        for state in shard_dispatcher.pool.list_states():
            self._apply_limit(state, shard, now)
            received = self._received_estimates.get(state.entry.target_id)
            if received is not None:
                state.set_estimates(
                    received[0].failure_probability, received[0].slowness, received[1]
                )

    def _find_share(self, shard: shards.Shard) -> float:
        """Return the share of the fleet-wide limits that this dispatcher may use.

        A dispatcher without requests of other VMs decides for its own VM alone, and
        all other VMs may do the same.
        """
        if self._alone_from.get(shard, 0.0) > anyio.current_time():
            return 1.0
        return 1.0 / self._fleet.count()

    def _deliver_decisions(self, decisions: list[messages.Decision]) -> None:
        for decision in decisions:
            requester = self._requesters.get(decision.ticket)
            if requester is not None:
                self._deliver(requester[0], decision)


def _use_full_limits(shard_dispatcher: dispatcher.Dispatcher, now: float) -> None:
    """Let a dispatcher that serves other VMs use its targets' full rate limits."""
    for state in shard_dispatcher.pool.list_states():
        if state.limit is not None:
            state.limit.claim_full_rate(now)


def _make_estimate(
    state: target_state.TargetState, now: float
) -> datagrams.TargetEstimate:
    """Return a dispatcher's estimate of a target."""
    estimate = datagrams.TargetEstimate(
        state.entry.target_id,
        round(state.failure_estimate.find_failing_probability(now), 3),
        round(state.slowness.find(now), 2),
    )
    if state.limit is None:
        return estimate
    return dataclasses.replace(
        estimate,
        rate_limit=state.limit.rate,
        next_request_in=round(max(0.0, state.limit.due_at - now), 2),
        rate_limit_age=round(max(0.0, now - state.limit.announced_at), 2),
    )
