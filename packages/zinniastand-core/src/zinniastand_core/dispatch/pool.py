"""The targets of one shard as their dispatcher sees them, and the cost of each.

The cost of a target for a request is the expected loss from choosing it, in units of
one failed request. It sums the probability that the target fails the request, the
weighted probability that the answer is late, and smaller terms for load, distance and a
new connection. A single figure thus compares failures, slowness and load.

Load pattern: some targets fail most requests for seconds and answer them faster than
any other, so they look idle. A policy that chooses the least busy target sends most
requests to them. The cheapest target for work that may run only once is one of the few
that are proven healthy, as long as they have slots. Idempotent work, which can be
retried, also goes to targets that may be failing, and so tests them.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from ..deployment import targets
from . import (
    failure_estimates,
    locality,
    mechanisms,
    messages,
    reachability,
    target_state,
    work_times,
)

LATE_COST = 0.2
"""Cost of a late answer relative to a failed one. A late answer still serves its
caller: operators grant it a tenth to a third of the credit, and none for a failed
one."""

RETRY_COST = 0.12
"""Cost of a failed attempt at idempotent work while plenty of retries are left: the
duration of the attempt and one retry of the service's budget. It rises to the cost of a
failed request as the budget runs out."""

LOAD_COST = 0.04
"""Cost of a full target relative to an idle one: targets slow down when nearly full."""

CONNECTION_COST = 0.03
"""Cost of a new connection relative to reusing an idle one. Opening it takes a round
trip and part of a slot, and targets accept a limited number from all VMs."""

DISTANCE_COST = 0.02
"""Cost of a target in another data centre: a few kilobytes of traffic between data
centres and half a millisecond."""

TRIAL_GAIN = 0.08
"""Value of a trial, by idempotent work, of a target that is equally likely to be
failing or healthy. Weighed against the cost of a retry, it lets a failing target be
tried again once its failing probability has decayed to about two thirds."""

MIN_UNSERVED_SHARE = 0.04
"""Share of requests not served from which idle targets that are probably healthy get
some work. Otherwise all work would stay on the few targets that were proven healthy
last, and other healthy targets would be idle while callers get failures."""

IDLE_GAIN = 0.25
"""Value of learning about an idle target while too many requests are not served; it
lowers the cost of the target."""

MIN_FAILING_SERVICE_SHARE = 0.06
"""Share of requests not served from which targets in doubt are kept from being idle,
too: many of them have recovered, and only real requests show it."""

MAX_IDLE_SHARE = 0.1
"""Share of the targets that may be idle meanwhile."""

MAX_IDLE_S = 1.5
"""Seconds for which such a target stays idle until it gets work that may run only once.
Idempotent work goes there earlier, since it can be retried."""

MAX_HEALTHY_FAILURE_PROBABILITY = 0.3
"""Failure probability of a request above which a target does not count as proven
healthy. Work that may run only once then waits for a better target, while a better one
is busy and the wait still leaves an answer on time."""

SUMMARY_CACHE_S = 0.05
"""Seconds for which sums over all targets are cached. They change slowly, and computing
them for each slot request would take much of a busy dispatcher's processor time."""

ON_TIME_SHARE = 0.6
"""Mean duration of work, as a share of the time left to the objective, up to which an
answer counts as certainly on time; from twice that share on, it counts as certainly
late. Durations spread by a factor of about two around their mean."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A target that a request could go to now."""

    target_id: str
    """The target."""

    cost: float
    """Expected loss from choosing it; 1 is a failed request."""

    failure_probability: float
    """Probability that it fails the request."""

    is_trial: bool = False
    """Whether the request would be a trial of the target."""

    is_idle_work: bool = False
    """Whether the target was chosen because too many targets are idle."""

    is_remote: bool = False
    """Whether it is in another data centre than the request."""

    @property
    def is_sound(self) -> bool:
        """Whether the target counts as proven healthy."""
        return self.failure_probability <= MAX_HEALTHY_FAILURE_PROBABILITY


class Pool:
    """The targets of one shard.

    Parameters
    ----------
    kinds : work_times.KindTimes
        Mean durations of work.
    policy : mechanisms.Mechanisms, optional
        Which parts of the policy are enabled.
    """

    def __init__(
        self,
        kinds: work_times.KindTimes,
        policy: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self._policy = policy
        self.rates = failure_estimates.FailureRates()
        self._kinds = kinds
        self._states: dict[str, target_state.TargetState] = {}
        self._reachability = reachability.Reachability()
        self._sums_valid_until = 0.0
        self._capacity = 0.0
        self._proven_slots = 0.0
        self._data_centres: frozenset[str] = frozenset()
        self._proven_slots_in: dict[str, float] = collections.defaultdict(float)
        self._reserved: collections.abc.Collection[str] = ()

    def update(
        self, entries: collections.abc.Iterable[targets.Entry], now: float
    ) -> None:
        """Replace the set of targets."""
        states: dict[str, target_state.TargetState] = {}
        # The first targets of a new dispatcher are not new processes. The estimate for
        # new processes would send its first requests to many targets instead of the few
        # that have answered.
        failing = (
            failure_estimates.NEW_TARGET_FAILING_PROBABILITY
            if self._states
            else self.rates.usual_failing_share
        )
        for entry in entries:
            state = self._states.get(entry.target_id)
            if state is None or state.entry.born != entry.born:
                state = target_state.TargetState(
                    entry, self.rates, now, failing, self._policy.silence
                )
            state.entry = entry
            states[entry.target_id] = state
        self._states = states
        self._data_centres = frozenset(
            state.entry.data_centre for state in states.values()
        )
        self._reachability.keep_only(set(states))
        self._sums_valid_until = 0.0

    def record_unreachable(
        self, state: target_state.TargetState, vm: str, now: float
    ) -> None:
        """Record that a VM could not connect to a target."""
        if self._reachability.record_failure(state.entry.target_id, vm, now):
            state.record_unreachable(now)

    def record_contact(self, state: target_state.TargetState, vm: str) -> None:
        """Record that a VM got an answer of a target."""
        self._reachability.record_contact(state.entry.target_id, vm)
        state.record_contact()

    def find(self, target_id: str) -> target_state.TargetState | None:
        """Return the state of a target, or None if it is not in the pool."""
        return self._states.get(target_id)

    def list_states(self) -> list[target_state.TargetState]:
        """Return the states of all targets."""
        return list(self._states.values())

    def find_best(
        self,
        slot_request: messages.SlotRequest,
        retry_availability: float,
        now: float,
        unserved: float = 0.0,
    ) -> Offer | None:
        """Return the cheapest target with a free slot, or None if there is none.

        Parameters
        ----------
        slot_request : messages.SlotRequest
            The request.
        retry_availability : float
            Availability of retries, from 0 for none left to 1 for plenty.
        now : float
            Seconds of a monotonic clock.
        unserved : float
            Share of recent requests that were not served.
        """
        if (
            unserved >= MIN_FAILING_SERVICE_SHARE
            and slot_request.attempt == 1
            and not slot_request.is_guest
        ):
            idle = self._find_idle(slot_request, retry_availability, now)
            if idle is not None:
                return idle
        has_many_unserved = unserved >= MIN_UNSERVED_SHARE and self._policy.idle_work
        if self.prefers_local(slot_request):
            return self._find_best_local_first(
                slot_request, retry_availability, now, has_many_unserved
            )
        best: Offer | None = None
        for state in self._states.values():
            if not state.is_free(now) or state.entry.target_id in slot_request.excluded:
                continue
            offer = self._make_offer(state, slot_request, retry_availability, now)
            if (
                has_many_unserved
                and offer.failure_probability <= MAX_HEALTHY_FAILURE_PROBABILITY
                and state.is_idle(now)
            ):
                cost = offer.cost - IDLE_GAIN
                offer = dataclasses.replace(offer, cost=cost)
            if best is None or offer.cost < best.cost:
                best = offer
        return best

    def prefers_local(self, slot_request: messages.SlotRequest) -> bool:
        """Return whether local targets go first: the shard spans data centres, and that
        of the request is one of them.
        """
        return (
            self._policy.local_first
            and len(self._data_centres) > 1
            and slot_request.data_centre in self._data_centres
        )

    def reserve(self, data_centres: collections.abc.Collection[str]) -> None:
        """Keep the slots of data centres where work waits for that work."""
        self._reserved = data_centres

    def _find_best_local_first(
        self,
        slot_request: messages.SlotRequest,
        retry_availability: float,
        now: float,
        has_many_unserved: bool,
    ) -> Offer | None:
        """Return the cheapest sound local target, or the cheapest one if that is
        clearly better.
        """
        mean = self._kinds.find_mean(slot_request.kind)
        is_urgent = locality.is_urgent(slot_request.objective_at - now, mean)
        reserved = () if is_urgent else self._reserved
        best: Offer | None = None
        best_local: Offer | None = None
        for state in self._states.values():
            if not state.is_free(now) or state.entry.target_id in slot_request.excluded:
                continue
            offer = self._make_offer(state, slot_request, retry_availability, now)
            if offer.is_remote and state.entry.data_centre in reserved:
                continue
            # Remote targets are first left to the work of their own data centre.
            idle_after = MAX_IDLE_S if offer.is_remote else target_state.IDLE_AFTER_S
            if has_many_unserved and offer.is_sound and state.is_idle(now, idle_after):
                offer = dataclasses.replace(
                    offer, cost=offer.cost - IDLE_GAIN, is_idle_work=True
                )
            if best is None or offer.cost < best.cost:
                best = offer
            if offer.is_remote or not offer.is_sound:
                continue
            if best_local is None or offer.cost < best_local.cost:
                best_local = offer
        if best is None or not best.is_remote:
            return best
        return locality.choose_target(best, best_local)

    def _find_idle(
        self,
        slot_request: messages.SlotRequest,
        retry_availability: float,
        now: float,
    ) -> Offer | None:
        """Return the idle target least likely to fail, if too many targets are idle.

        Load pattern: targets fail for some seconds and recover. A service without
        idempotent work never tries them again while a few proven ones have slots, and
        loses their capacity when it needs it most.
        """
        if not self._policy.idle_work:
            return None
        after = target_state.IDLE_AFTER_S if slot_request.may_retry else MAX_IDLE_S
        usable = [state for state in self._states.values() if state.is_usable(now)]
        idle = [state for state in usable if state.is_idle(now, after)]
        if len(idle) <= MAX_IDLE_SHARE * len(usable):
            return None
        offers = [
            self._make_offer(state, slot_request, retry_availability, now)
            for state in idle
            if state.is_free(now) and state.entry.target_id not in slot_request.excluded
        ]
        if not offers:
            return None
        least = min(offers, key=lambda offer: offer.failure_probability)
        if self.prefers_local(slot_request):
            local = [offer for offer in offers if not offer.is_remote]
            least = locality.choose_idle(
                least,
                min(local, key=lambda offer: offer.failure_probability, default=None),
            )
        return dataclasses.replace(least, is_idle_work=True)

    def has_free(self, now: float) -> bool:
        """Return whether any target has a free slot."""
        return any(state.is_free(now) for state in self._states.values())

    def count_free(self, now: float) -> int:
        """Return the number of targets that have a free slot."""
        return sum(1 for state in self._states.values() if state.is_free(now))

    def count_paused(self, now: float) -> int:
        """Return the number of targets that get no work for some time."""
        return sum(1 for state in self._states.values() if not state.is_usable(now))

    def excludes_all(self, excluded: collections.abc.Collection[str]) -> bool:
        """Return whether no target is left for a request that excludes these."""
        return all(target_id in excluded for target_id in self._states)

    def count_proven_slots(self, now: float) -> float:
        """Return the slots of targets that are proven healthy."""
        self._update_sums(now)
        return self._proven_slots

    def count_proven_slots_in(self, data_centre: str, now: float) -> float:
        """Return the slots of targets of a data centre that are proven healthy.

        In a shard that spans data centres, they are counted only where local targets
        go first.
        """
        self._update_sums(now)
        if len(self._data_centres) > 1:
            return self._proven_slots_in[data_centre]
        return self._proven_slots if data_centre in self._data_centres else 0.0

    def find_capacity(self, now: float) -> float:
        """Return the working slots, each weighted by its target's speed and success.

        Targets that are not proven healthy count only if no others have capacity: work
        waits for proven healthy targets, so only these shorten the queue.
        """
        self._update_sums(now)
        return self._capacity

    def _update_sums(self, now: float) -> None:
        if now < self._sums_valid_until:
            return
        self._sums_valid_until = now + SUMMARY_CACHE_S
        proven, unproven = 0.0, 0.0
        mean = self._kinds.find_overall_mean()
        self._proven_slots = 0.0
        self._proven_slots_in.clear()
        for state in self._states.values():
            if not state.is_usable(now):
                continue
            failure_probability = state.find_request_failure_probability(now)
            slots = state.count_working_slots(mean)
            working = (
                slots * (1 - failure_probability) / max(1.0, state.find_slowness(now))
            )
            if failure_probability < MAX_HEALTHY_FAILURE_PROBABILITY:
                self._proven_slots += slots
                if self._policy.local_first and len(self._data_centres) > 1:
                    self._proven_slots_in[state.entry.data_centre] += slots
                proven += working
            else:
                unproven += working
        self._capacity = proven or unproven

    def _is_left_to_others(
        self,
        state: target_state.TargetState,
        slot_request: messages.SlotRequest,
        now: float,
    ) -> bool:
        """Return whether trials of a remote target are left to work that is local to
        it.
        """
        if slot_request.is_guest:
            return True
        return self.prefers_local(slot_request) and not state.is_idle(now)

    def _make_offer(
        self,
        state: target_state.TargetState,
        slot_request: messages.SlotRequest,
        retry_availability: float,
        now: float,
    ) -> Offer:
        failure_probability = state.find_request_failure_probability(now)
        expected = self._kinds.find_mean(slot_request.kind) * state.find_slowness(now)
        load = state.in_flight / max(1, state.entry.slots)
        cost = LATE_COST * _find_lateness(expected, slot_request.objective_at - now)
        cost += LOAD_COST * load * load * self._policy.load_price
        is_remote = state.entry.data_centre != slot_request.data_centre
        if is_remote:
            cost += DISTANCE_COST
        if state.entry.target_id not in slot_request.connected_targets:
            cost += CONNECTION_COST * self._policy.connection_price
        if not slot_request.may_retry or retry_availability <= 0.0:
            return Offer(
                state.entry.target_id,
                cost + failure_probability,
                failure_probability,
                is_remote=is_remote,
            )
        cost += (1.0 - (1.0 - RETRY_COST) * retry_availability) * failure_probability
        if (
            slot_request.attempt == 1
            and state.may_be_tried(now)
            and self._policy.trials
            and not (is_remote and self._is_left_to_others(state, slot_request, now))
        ):
            failing = state.find_failing_probability(now)
            cost -= TRIAL_GAIN * retry_availability * 4 * failing * (1 - failing)
            return Offer(
                state.entry.target_id,
                cost,
                failure_probability,
                is_trial=True,
                is_remote=is_remote,
            )
        return Offer(
            state.entry.target_id, cost, failure_probability, is_remote=is_remote
        )


def _find_lateness(expected: float, time_left: float) -> float:
    """Return the probability that work is late.

    `expected` is its mean duration and `time_left` the time to its objective, both in
    seconds.
    """
    if time_left <= 0:
        return 1.0
    return min(1.0, max(0.0, expected / (ON_TIME_SHARE * time_left) - 1.0))
