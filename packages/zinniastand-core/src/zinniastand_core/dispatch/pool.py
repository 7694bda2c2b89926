"""The targets of one shard as their dispatcher sees them, and what each would cost.

The price of a target for a request is what is expected to be lost by choosing it, in
units of one failed request: the chance that it fails, the chance that it answers late,
and a little for how full it is. So doubt, slowness and load are weighed against each
other from the first slot on.

Load pattern: some targets fail most requests for seconds and answer them faster than
any other, so they look idle. Choosing the least busy target feeds them. Choosing the
least doubtful keeps work that may run only once on a few proven targets, and only as
much of it as they have slots for; idempotent work, which can be tried again, goes to
the targets in doubt and finds out about them.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from ..deployment import targets
from . import failure_estimates, mechanisms, messages, rate_limit, work_times

LATE_PRICE = 0.2
"""Price of a late answer against a failed one. A late answer still serves its caller;
operators grant it a tenth to a third of the credit, a failed one none."""

RETRY_PRICE = 0.12
"""Price of a failed attempt at idempotent work, which is tried again: the time that
the attempt took, and one retry of the service's budget while there are plenty. It rises
to that of a failed request as the budget runs out."""

LOAD_PRICE = 0.04
"""Price of a full target against an idle one: targets slow down when nearly full."""

CONNECTION_PRICE = 0.03
"""Price of a new connection against an idle one. Opening it takes a round trip and
some of a slot, and targets take a bounded number from all VMs."""

DISTANCE_PRICE = 0.02
"""Price of another data centre: a few kilobytes between them and half a millisecond."""

TRIAL_GAIN = 0.08
"""Worth of learning, by idempotent work, about a target in full doubt. Against the
price of a retry it lets a failing target be tried again once its belief has drifted to
about two thirds."""

TRIAL_SHARE = 0.06
"""Share of the time for which targets usually fail that passes between two trials of
one target in doubt: more trials cost retries and tell nothing new."""

LEAST_TRIAL_PAUSE = 0.15
"""Least seconds between two trials of a target."""

MOST_TRIAL_PAUSE = 1.0
"""Most seconds between two trials of a target."""

POOR_SERVICE = 0.04
"""Share of requests not served from which targets that are idle and in little doubt are
given some work. Kept on the few proved last, work leaves sound targets idle while its
callers are failed."""

IDLE_AFTER = 1.0
"""Seconds without new work after which a target counts as idle."""

IDLE_GAIN = 0.25
"""Worth of finding out about an idle target while the service is poor."""

COLD_SLOWNESS = 2.0
"""How much slower a target is taken to be until it says that it has warmed up."""

MAX_HEALTHY_FAILURE_PROBABILITY = 0.3
"""Doubt above which work that may run only once waits for a better target, while a
better one is busy and the wait still leaves an answer in time."""

SHED_PAUSE = 0.1
"""Seconds for which a target that turned work away gets none: about the time in which
one of its slots comes free."""

UNREACHABLE_PAUSE = 1.0
"""Seconds for which a target that several VMs cannot reach gets nothing."""

MISPLACED_PAUSE = 3.0
"""Seconds for which a target whose address another one has gets nothing; by then its
own entry has gone, or it has said where it is."""

WITNESSES = 2
"""VMs that must fail to connect before a target counts as unreachable for all. One VM
alone may itself be cut off."""

SUMMARY_FOR = 0.05
"""Seconds for which sums over all targets are kept. They move slowly, and summing anew
for each ask would take much of a busy dispatcher's processor."""

ESTIMATE_FOR = 0.05
"""Seconds for which the doubt and slowness of a target are kept while nothing is heard
of it; both drift by less than a hundredth in that time."""

IN_TIME_SHARE = 0.6
"""Share of the time left to the objective below which the mean time of work makes an
answer surely in time; beyond twice that share it is surely late. Times of work spread
by a factor of about two around their mean."""


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A target that a request could go to now."""

    target_id: str
    """The target."""

    price: float
    """What choosing it is expected to lose; 1 is a failed request."""

    failure_probability: float
    """Probability that it fails the request."""

    is_trial: bool = False
    """Whether the request finds out about it for others."""


class TargetState:
    """What the dispatcher knows of one target.

    Parameters
    ----------
    entry : targets.Entry
        As the target registered itself.
    rates : beliefs.Rates
        Rates of its service.
    now : float
        Seconds.
    failing : float
        Belief that it is failing, to begin with.
    """

    def __init__(
        self,
        entry: targets.Entry,
        rates: failure_estimates.FailureRates,
        now: float,
        failing: float = failure_estimates.NEW_TARGET_FAILING_PROBABILITY,
    ) -> None:
        self.entry = entry
        self.failure_estimate = failure_estimates.FailureEstimate(rates, now, failing)
        self.slowness = work_times.Slowness(now)
        self.tickets: set[str] = set()
        self.limit: rate_limit.RateLimit | None = None
        self._unlimited_at = -math.inf
        self._granted_at = now
        self._paused_until = 0.0
        self._trial_at = 0.0
        self._unreachable_for: dict[str, float] = {}
        self._estimated_until = 0.0
        self._doubt = 0.0
        self._failing = 0.0
        self._slowness = 1.0

    def is_free(self, now: float) -> bool:
        """Return whether it has a slot for one more request."""
        if self.limit is not None and not self.limit.allows_request(now):
            return False
        return len(self.tickets) < self.entry.slots and now >= self._paused_until

    def lift_limit(self, sent_at: float) -> None:
        """Take in that the answer to a request that was sent then names no limit.

        Answers come from many VMs and may be heard in another order. So a limit lifts
        only by a request that was sent after it was last named.
        """
        if self.limit is None or sent_at >= self.limit.announced_at:
            self.limit = None
            self._unlimited_at = max(self._unlimited_at, sent_at)

    def may_have_limit(self, named_at: float) -> bool:
        """Return whether a limit that was named then may still hold."""
        return self.limit is None and named_at > self._unlimited_at

    def count_working_slots(self, mean: float) -> float:
        """Return the slots that it can use, for work that takes so long on average."""
        if self.limit is None:
            return self.entry.slots
        return min(self.entry.slots, self.limit.rate * mean)

    def is_usable(self, now: float) -> bool:
        """Return whether it can be expected to take work at all."""
        return now >= self._paused_until or self._paused_until - now <= SHED_PAUSE

    def find_request_failure_probability(self, now: float) -> float:
        """Return the probability that it fails a request sent now."""
        self._estimate(now)
        return self._doubt

    def find_failing_probability(self, now: float) -> float:
        """Return the probability that it is failing."""
        self._estimate(now)
        return self._failing

    def find_slowness(self, now: float) -> float:
        """Return how many times longer than usual it takes."""
        self._estimate(now)
        return self._slowness

    def note_outcome(self, failed: bool, now: float) -> None:
        """Move the belief by one outcome."""
        self.failure_estimate.record_outcome(failed, now)
        self._estimated_until = 0.0

    def note_slowness(self, ratio: float, now: float) -> None:
        """Take in that work took `ratio` times the usual."""
        self.slowness.add(ratio, now)
        self._estimated_until = 0.0

    def note_overdue(self, ratio: float, now: float) -> None:
        """Take in that work under way takes at least `ratio` times the usual."""
        self.slowness.raise_to(ratio, now)
        self._estimated_until = 0.0

    def set_estimates(self, failing: float, slowness: float, now: float) -> None:
        """Take over what another dispatcher thinks."""
        self.failure_estimate.set_failing_probability(failing, now)
        self.slowness.set(slowness, now)
        self._estimated_until = 0.0

    def _estimate(self, now: float) -> None:
        if now < self._estimated_until:
            return
        self._estimated_until = now + ESTIMATE_FOR
        self._failing = self.failure_estimate.find_failing_probability(now)
        self._doubt = self.failure_estimate.find_request_failure_probability(now)
        self._slowness = self.slowness.find(now)
        if now < self.entry.cold_until:
            self._slowness *= COLD_SLOWNESS

    def note_granted(self, ticket: str, now: float) -> None:
        """Take in that a slot was given to a request."""
        self.tickets.add(ticket)
        self._granted_at = now

    def is_idle(self, now: float) -> bool:
        """Return whether it has had nothing new to do for a while."""
        return now - self._granted_at > IDLE_AFTER

    def may_try(self, now: float) -> bool:
        """Return whether another trial of it would tell something."""
        return now >= self._trial_at

    def note_trial(self, now: float) -> None:
        """Take in that work was sent to find out about it."""
        pause = TRIAL_SHARE * self.failure_estimate.failing_time
        self._trial_at = now + min(MOST_TRIAL_PAUSE, max(LEAST_TRIAL_PAUSE, pause))

    def note_shed(self, now: float) -> None:
        """Take in that it turned work away."""
        self._paused_until = max(self._paused_until, now + SHED_PAUSE)

    def note_misplaced(self, now: float) -> None:
        """Take in that another target answers at its address."""
        self._paused_until = max(self._paused_until, now + MISPLACED_PAUSE)

    def note_unreachable(self, vm: str, now: float) -> None:
        """Take in that a VM could not connect to it."""
        self._unreachable_for[vm] = now + UNREACHABLE_PAUSE
        recent = [one for one, at in self._unreachable_for.items() if at > now]
        if len(recent) >= WITNESSES:
            self._paused_until = now + UNREACHABLE_PAUSE
            self._unreachable_for.clear()


class Pool:
    """The targets of one shard.

    Parameters
    ----------
    kinds : work_times.KindTimes
        How long work takes.
    policy : mechanisms.Mechanisms, optional
        Which parts of the policy are at work.
    """

    def __init__(
        self,
        kinds: work_times.KindTimes,
        policy: mechanisms.Mechanisms = mechanisms.ALL,
    ) -> None:
        self._policy = policy
        self.rates = failure_estimates.FailureRates()
        self._kinds = kinds
        self._states: dict[str, TargetState] = {}
        self._summed_until = 0.0
        self._capacity = 0.0
        self._proved_slots = 0.0

    def update(
        self, entries: collections.abc.Iterable[targets.Entry], now: float
    ) -> None:
        """Use these targets from now on."""
        fresh: dict[str, TargetState] = {}
        # A dispatcher that begins knows nothing of any target. Taking them all for
        # fresh would send its first requests to many instead of the few that answered.
        failing = (
            failure_estimates.NEW_TARGET_FAILING_PROBABILITY
            if self._states
            else self.rates.usual_failing_share
        )
        for entry in entries:
            state = self._states.get(entry.target_id)
            if state is None or state.entry.born != entry.born:
                state = TargetState(entry, self.rates, now, failing)
            state.entry = entry
            fresh[entry.target_id] = state
        self._states = fresh
        self._summed_until = 0.0

    def find(self, target_id: str) -> TargetState | None:
        """Return the state of a target, if it is in use."""
        return self._states.get(target_id)

    def list_states(self) -> list[TargetState]:
        """Return the states of all targets."""
        return list(self._states.values())

    def is_empty(self) -> bool:
        """Return whether there is no target at all."""
        return not self._states

    def find_best(
        self, ask: messages.SlotRequest, ease: float, now: float, unserved: float = 0.0
    ) -> Offer | None:
        """Return the cheapest target with a free slot, if there is one.

        Parameters
        ----------
        ask : messages.Ask
            The request.
        ease : float
            How freely retries may be spent, from 0 for none to 1.
        now : float
            Seconds.
        unserved : float
            Share of requests that was not served lately.
        """
        is_poor = unserved >= POOR_SERVICE and self._policy.idle_work
        best: Offer | None = None
        for state in self._states.values():
            if not state.is_free(now) or state.entry.target_id in ask.excluded:
                continue
            offer = self._price(state, ask, ease, now)
            if (
                is_poor
                and offer.failure_probability <= MAX_HEALTHY_FAILURE_PROBABILITY
                and state.is_idle(now)
            ):
                price = offer.price - IDLE_GAIN
                offer = dataclasses.replace(offer, price=price)
            if best is None or offer.price < best.price:
                best = offer
        return best

    def has_free(self, now: float) -> bool:
        """Return whether any target has a free slot."""
        return any(state.is_free(now) for state in self._states.values())

    def count_proven_slots(self, now: float) -> float:
        """Return the slots of targets that are little in doubt."""
        self._sum(now)
        return self._proved_slots

    def find_capacity(self, now: float) -> float:
        """Return the slots that do work, each counted by its speed.

        Targets in doubt count only where there are no others: work waits for those
        that are proved, so that only they empty the queue.
        """
        self._sum(now)
        return self._capacity

    def _sum(self, now: float) -> None:
        if now < self._summed_until:
            return
        self._summed_until = now + SUMMARY_FOR
        proved, doubtful = 0.0, 0.0
        mean = self._kinds.find_overall_mean()
        self._proved_slots = 0.0
        for state in self._states.values():
            if not state.is_usable(now):
                continue
            doubt = state.find_request_failure_probability(now)
            slots = state.count_working_slots(mean)
            working = slots * (1 - doubt) / max(1.0, state.find_slowness(now))
            if doubt < MAX_HEALTHY_FAILURE_PROBABILITY:
                self._proved_slots += slots
                proved += working
            else:
                doubtful += working
        self._capacity = proved or doubtful

    def _price(
        self, state: TargetState, ask: messages.SlotRequest, ease: float, now: float
    ) -> Offer:
        doubt = state.find_request_failure_probability(now)
        expected = self._kinds.find_mean(ask.kind) * state.find_slowness(now)
        load = len(state.tickets) / max(1, state.entry.slots)
        price = LATE_PRICE * _find_lateness(expected, ask.objective_at - now)
        price += LOAD_PRICE * load * load * self._policy.load_price
        if state.entry.data_centre != ask.data_centre:
            price += DISTANCE_PRICE
        if state.entry.target_id not in ask.connected_targets:
            price += CONNECTION_PRICE * self._policy.connection_price
        if not ask.may_retry or ease <= 0.0:
            return Offer(state.entry.target_id, price + doubt, doubt)
        price += (1.0 - (1.0 - RETRY_PRICE) * ease) * doubt
        if ask.attempt == 1 and state.may_try(now) and self._policy.trials:
            failing = state.find_failing_probability(now)
            price -= TRIAL_GAIN * ease * 4 * failing * (1 - failing)
            return Offer(state.entry.target_id, price, doubt, is_trial=True)
        return Offer(state.entry.target_id, price, doubt)


def _find_lateness(expected: float, left: float) -> float:
    """Return the chance that work is late, by its mean time and the time left."""
    if left <= 0:
        return 1.0
    return min(1.0, max(0.0, expected / (IN_TIME_SHARE * left) - 1.0))
