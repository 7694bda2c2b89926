"""Assigns the requests of one shard to targets, queues them, or refuses them.

One VM dispatches for a whole shard, since many VMs that share a few slots and each see
a few requests a second can neither count the slots in use nor detect a failing target.
Every VM can dispatch: which one does depends only on its rank, and a VM that reaches no
other assigns its own requests by the same rules. Two dispatchers of one shard therefore
cost some efficiency but break no guarantee: slots may be granted twice, and targets
turn away what they cannot accept.

Waiting. Requests wait here and not at targets: a queue at a target cannot be changed
once sent, and work that waits behind a target that starts failing is lost with it. The
order is by priority, then by arrival.

Refusing. A request whose turn would come too late is refused on arrival, because a
later refusal costs its caller the wait and frees nothing; see `waiting`. With fair
queueing over accounts, the same holds for requests that wait; see `fair_queue`.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import random

from ..deployment import targets
from . import (
    fair_queue,
    locality,
    mechanisms,
    messages,
    pool,
    rate_limit,
    retry_estimate,
    service_level,
    target_state,
    waiting,
    work_times,
)

LOST_REPORT_GRACE_S = 0.3
"""Seconds after a request's deadline at which its slot is freed if no report has come.
Reports are sent in datagrams, which may be lost."""

MIN_RETURN_DELAY_S = 0.25
"""Minimum seconds that a refused caller is asked to stay away."""

MIN_MEAN_S = 0.001
"""Minimum in seconds of the mean duration of a kind of work, where it is a divisor."""

SHORT_BACKLOG_S = 0.06
"""Seconds of queued work below which the queue is short, so that a retry is raised one
priority. It corresponds to ten requests of 0.2 s for 35 proven healthy slots."""

MIN_WORK_FACTOR = 0.5
"""Multiple of the mean duration of work. A waiting request with less time before its
deadline is refused: hardly any work ends sooner, and the caller may still try again in
time."""

SLOW_FACTOR = 2.5
"""Multiple of the expected duration after which unfinished work makes its target count
as slow."""


MIN_USUAL_SILENT_SHARE = 0.5
"""Share of silent failures from which long work counts as a failure, not as slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A slot that was granted and is in use."""

    slot_request: messages.SlotRequest
    target_id: str
    started_at: float
    expected: float
    is_retry: bool
    """Whether this dispatcher counted a retry for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSummary:
    """State of a shard's dispatcher at one moment."""

    targets: int
    """Number of targets."""

    free: int
    """Targets with a free slot."""

    paused: int
    """Targets that get no work for some time."""

    in_flight: int
    """Slots in use."""

    queued: int
    """Waiting requests."""

    unservable: int
    """Waiting requests that exclude all targets."""

    retries_sent: int
    """Retries sent, without those that reached no target."""

    retries_left: float
    """Retries that may still be sent, as far as the dispatcher knows."""

    granted_elsewhere: int
    """Slots granted so far to requests of other data centres than the target's."""

    accounts_waiting: int
    """Client accounts that waiting requests name."""

    refused_on_arrival: int
    """Requests refused on arrival, because their turn would come too late."""

    refused_waiting: int
    """Requests refused while they waited, as soon as their turn came too late."""

    refused_too_late: int
    """Requests refused shortly before their deadline."""

    refused_without_target: int
    """Requests refused because they exclude all targets."""


UNSENT_OUTCOMES = frozenset({messages.Outcome.UNUSED, messages.Outcome.UNREACHABLE})
"""Outcomes of attempts that reached no target."""

CONTACT_OUTCOMES = frozenset({messages.Outcome.GOOD, messages.Outcome.SHED})
"""Outcomes that prove that the VM can reach the target."""


class Dispatcher:
    """The dispatcher of one shard.

    Parameters
    ----------
    kinds : work_times.KindTimes
        Mean durations of work.
    retries : retry_estimate.RetryEstimate
        Counts requests and retries.
    rng : random.Random
        Spreads the times at which refused callers come back.
    policy : mechanisms.Mechanisms, optional
        Which parts of the policy are enabled.
    read_share : callable, optional
        Returns the share of a target's rate limit that this dispatcher may use.
    """

    def __init__(
        self,
        kinds: work_times.KindTimes,
        retries: retry_estimate.RetryEstimate,
        rng: random.Random,
        policy: mechanisms.Mechanisms = mechanisms.ALL,
        read_share: collections.abc.Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.pool = pool.Pool(kinds, policy)
        self._policy = policy
        self._kinds = kinds
        self.retries = retries
        """Counts the requests and retries of the shard."""
        self._rng = rng
        self._read_share = read_share
        self._grants: dict[str, _Grant] = {}
        make_queue = (
            fair_queue.FairQueue if policy.fair_accounts else waiting.RequestQueue
        )
        self._queue = make_queue(self.pool, kinds, policy)
        self._service_level = service_level.ServiceLevel()
        self._granted_elsewhere = 0
        self._refused: collections.Counter[messages.RefusalReason] = (
            collections.Counter()
        )
        self._refused_waiting = 0

    @property
    def queue_length(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of slots in use."""
        return len(self._grants)

    def summarize(self, now: float) -> DispatchSummary:
        """Return the state of the dispatcher."""
        return DispatchSummary(
            len(self.pool.list_states()),
            self.pool.count_free(now),
            self.pool.count_paused(now),
            len(self._grants),
            len(self._queue),
            sum(
                1
                for queued in self._queue
                if self.pool.excludes_all(queued.slot_request.excluded)
            ),
            self.retries.sent,
            round(max(0.0, self.retries.find_remaining(now)), 1),
            self._granted_elsewhere,
            len({queued.slot_request.account for queued in self._queue} - {""}),
            self._refused[messages.RefusalReason.OVERLOADED] - self._refused_waiting,
            self._refused_waiting,
            self._refused[messages.RefusalReason.TOO_LATE],
            self._refused[messages.RefusalReason.NO_TARGET],
        )

    def update_targets(
        self, entries: collections.abc.Iterable[targets.Entry], now: float
    ) -> list[messages.Decision]:
        """Replace the targets, and return decisions for waiting requests."""
        self.pool.update(entries, now)
        return [*self._serve_queue(now), *self._decide_late(now)]

    def request_slot(
        self, slot_request: messages.SlotRequest, now: float
    ) -> list[messages.Decision]:
        """Decide on a slot request; one received before gets its current state
        again.
        """
        if slot_request.is_first:
            # Refused requests count too: they are requests for the service.
            self.retries.add_request(now)
        grant = self._grants.get(slot_request.ticket)
        if grant is not None:
            return [self._make_repeated_grant(grant, now)]
        if self._queue.holds(slot_request.ticket):
            return [messages.Wait(slot_request.ticket)]
        if self.pool.excludes_all(slot_request.excluded):
            return [self._refuse(slot_request, messages.RefusalReason.NO_TARGET, now)]
        if slot_request.is_guest and len(self._queue) > 0:
            return [self._refuse(slot_request, messages.RefusalReason.OVERLOADED, now)]
        if slot_request.attempt > 1:
            self.retries.add_waiting()
        entry = waiting.QueuedRequest(
            self._find_effective_priority(slot_request, now),
            0.0,
            now,
            slot_request.ticket,
            slot_request,
        )
        if not self._queue.enter(entry, now):
            return [self._decide_not_entered(entry, now)]
        decisions = [*self._serve_queue(now), *self._decide_late(now, is_new=True)]
        if any(answer.ticket == slot_request.ticket for answer in decisions):
            return decisions
        if slot_request.has_alternative and not self._queue.may_wait_here(entry, now):
            self._queue.remove(slot_request.ticket)
            self._remove_waiting_retry(entry)
            refusal = self._refuse(slot_request, messages.RefusalReason.OVERLOADED, now)
            return [*decisions, refusal]
        return [*decisions, messages.Wait(slot_request.ticket)]

    def handle_report(
        self, report: messages.Report, now: float
    ) -> list[messages.Decision]:
        """Record the outcome of an attempt and free its slot.

        A slot request that is still queued is removed: its caller has left or was
        answered.
        """
        grant = self._grants.pop(report.ticket, None)
        withdrawn = self._queue.remove(report.ticket) if grant is None else None
        if withdrawn is not None:
            self._remove_waiting_retry(withdrawn)
        if grant is not None and grant.is_retry and report.outcome in UNSENT_OUTCOMES:
            self.retries.refund(grant.started_at, now)
        if report.is_resent and grant is not None:
            self.retries.add_resent(now)
        target_id = grant.target_id if grant is not None else report.target_id
        state = self.pool.find(target_id)
        if state is not None:
            state.release(report.ticket)
            self._update_limit(state, grant, report.rate_limit, now)
            self._apply_outcome(state, grant, report, now)
        return self._serve_queue(now)

    def adopt_slot(self, held: messages.HeldSlot, now: float) -> None:
        """Take over a slot that another dispatcher granted."""
        state = self.pool.find(held.target_id)
        if state is not None and held.granted_request.ticket not in self._grants:
            self._start(held.granted_request, state, now, is_retry=False)

    def wake(self, now: float) -> list[messages.Decision]:
        """Detect slow targets, free slots without a report, and serve the queue."""
        for ticket, grant in list(self._grants.items()):
            state = self.pool.find(grant.target_id)
            elapsed = now - grant.started_at
            if (
                state is not None
                and elapsed > SLOW_FACTOR * grant.expected
                and not self._is_silence_usual()
            ):
                state.record_overdue(elapsed / grant.expected, now)
            if now > grant.slot_request.deadline_at + LOST_REPORT_GRACE_S:
                del self._grants[ticket]
                if state is not None:
                    state.release(ticket)
        return [*self._serve_queue(now), *self._decide_late(now)]

    def _is_silence_usual(self) -> bool:
        """Return whether long work rather shows that a target fails than that it is
        slow.

        Its slowness would outlast its failure, and delay the backups of requests.
        """
        is_usual = self.pool.rates.silent_share > MIN_USUAL_SILENT_SHARE
        return is_usual and self._policy.silence

    def _serve_queue(self, now: float) -> list[messages.Decision]:
        """Assign waiting requests to targets, in their order.

        Waiting requests of one kind differ only in their age. If one of them finds no
        target, those behind it would find none either and are skipped. Otherwise, with
        a hundred requests waiting, each event would cost a hundred searches over all
        targets.
        """
        decisions: list[messages.Decision] = []
        still_waiting: list[waiting.QueuedRequest] = []
        unplaceable: set[tuple[str, bool, str]] = set()
        has_free = len(self._queue) > 0 and self.pool.has_free(now)
        for queued in self._queue:
            slot_request = queued.slot_request
            group = (slot_request.kind, slot_request.may_retry, self._group(queued))
            decision: messages.Decision | None = None
            min_work_time = MIN_WORK_FACTOR * self._kinds.find_mean(slot_request.kind)
            if now + min_work_time >= slot_request.deadline_at:
                self._remove_waiting_retry(queued)
                decision = self._refuse(
                    slot_request, messages.RefusalReason.TOO_LATE, now
                )
            elif has_free and (group not in unplaceable or slot_request.excluded):
                decision = self._place(queued, now)
            if decision is None and self._must_pass_on(queued, now):
                unplaceable.add(group)
                self._remove_waiting_retry(queued)
                decision = self._refuse(
                    slot_request, messages.RefusalReason.OVERLOADED, now
                )
            if decision is None:
                unplaceable.add(group)
                still_waiting.append(queued)
            else:
                decisions.append(decision)
        self._queue.keep(still_waiting)
        if self._policy.local_first:
            self.pool.reserve(
                {queued.slot_request.data_centre for queued in still_waiting}
            )
        return decisions

    def _group(self, queued: waiting.QueuedRequest) -> str:
        """Return the data centre of a request if its targets depend on it."""
        return queued.slot_request.data_centre if self._policy.local_first else ""

    def _must_pass_on(self, queued: waiting.QueuedRequest, now: float) -> bool:
        """Return whether a waiting request should ask another shard now."""
        slot_request = queued.slot_request
        if not slot_request.has_alternative:
            return False
        mean = self._kinds.find_mean(slot_request.kind)
        waited = now - queued.arrived_at
        return slot_request.is_guest or waited > locality.MAX_WAIT_WORK * mean

    def _decide_not_entered(
        self, queued: waiting.QueuedRequest, now: float
    ) -> messages.Decision:
        """Return the decision on a request whose turn would come too late.

        With fair queueing, requests are refused more often while targets in doubt have
        free slots. One of these may have recovered, and only work shows it.
        """
        decision = None
        if self._policy.fair_accounts:
            decision = self._place(queued, now, may_wait=False)
        return decision or self._refuse_overloaded(queued, now)

    def _decide_late(self, now: float, is_new: bool = False) -> list[messages.Decision]:
        """Decide on waiting requests whose turn now comes late.

        They get a free slot even of a target that may be failing: it may have
        recovered. Without one, those whose turn comes too late are refused. `is_new`
        says whether only a request was added since this was last decided.
        """
        granted: list[waiting.QueuedRequest] = []
        refused: list[waiting.QueuedRequest] = []
        decisions: list[messages.Decision] = []
        for late in self._queue.list_late(now, is_new):
            decision = self._place(late.queued, now, may_wait=False)
            if decision is not None:
                granted.append(late.queued)
            elif late.is_unservable:
                refused.append(late.queued)
                self._refused_waiting += 1
                decision = self._refuse_overloaded(late.queued, now)
            else:
                continue
            decisions.append(decision)
        if decisions:
            self._queue.drop(granted, refused)
        return decisions

    def _refuse_overloaded(
        self, queued: waiting.QueuedRequest, now: float
    ) -> messages.Refuse:
        self._remove_waiting_retry(queued)
        overloaded = messages.RefusalReason.OVERLOADED
        return self._refuse(queued.slot_request, overloaded, now)

    def _place(
        self, queued: waiting.QueuedRequest, now: float, may_wait: bool = True
    ) -> messages.Decision | None:
        """Return a grant for a request, or None if it is to wait for a target."""
        slot_request = queued.slot_request
        retry_availability = self._find_retry_availability(now)
        offer = self.pool.find_best(
            slot_request,
            retry_availability,
            now,
            self._service_level.find_unserved_share(now),
        )
        if offer is None or (
            may_wait and self._queue.should_wait(queued, offer, retry_availability, now)
        ):
            return None
        state = self.pool.find(offer.target_id)
        if state is None:
            return None
        if slot_request.may_retry and offer.failure_probability > 0:
            state.record_trial(now)
        grant = self._start(slot_request, state, now, is_retry=slot_request.attempt > 1)
        self._queue.record_grant(queued, now)
        if grant.is_retry:
            self.retries.add_sent(now)
        if state.limit is not None:
            state.limit.record_request(self._read_share(), now)
        self._granted_elsewhere += offer.is_remote
        return messages.Grant(
            slot_request.ticket,
            offer.target_id,
            offer.failure_probability,
            grant.expected,
            self._find_pressure(now),
            silent_share=self.pool.rates.silent_share,
        )

    def _find_retry_availability(self, now: float) -> float:
        """Return the availability of retries, from 0 for none left to 1 for plenty."""
        retry_availability = self.retries.find_availability(now)
        if not self._policy.scarcity:
            return 1.0 if retry_availability > 0.0 else 0.0
        return retry_availability

    def _start(
        self,
        slot_request: messages.SlotRequest,
        state: target_state.TargetState,
        now: float,
        is_retry: bool,
    ) -> _Grant:
        expected = self._kinds.find_mean(slot_request.kind) * state.find_slowness(now)
        state.record_grant(slot_request.ticket, expected, now)
        grant = _Grant(slot_request, state.entry.target_id, now, expected, is_retry)
        self._grants[slot_request.ticket] = grant
        return grant

    def _apply_outcome(
        self,
        state: target_state.TargetState,
        grant: _Grant | None,
        report: messages.Report,
        now: float,
    ) -> None:
        if report.outcome in CONTACT_OUTCOMES:
            self.pool.record_contact(state, report.vm)
        match report.outcome:
            case messages.Outcome.GOOD:
                state.update_failure_estimate(failed=False, now=now)
                self._service_level.add(is_served=True, now=now)
                if grant is not None:
                    self._update_durations(
                        state, grant.slot_request.kind, report.duration, now
                    )
            case messages.Outcome.FAILED | messages.Outcome.SILENT:
                is_silent = report.outcome is messages.Outcome.SILENT
                state.update_failure_estimate(True, now, is_silent)
                if grant is None or not grant.slot_request.may_retry:
                    self._service_level.add(is_served=False, now=now)
            case messages.Outcome.SHED:
                state.record_shed(now)
            case messages.Outcome.UNREACHABLE:
                self.pool.record_unreachable(state, report.vm, now)
            case messages.Outcome.MISPLACED:
                state.record_misplaced(now)
            case messages.Outcome.ABANDONED | messages.Outcome.UNUSED:
                pass

    def _update_limit(
        self,
        state: target_state.TargetState,
        grant: _Grant | None,
        rate: float | None,
        now: float,
    ) -> None:
        """Update the target's rate limit if its answer states whether it has one."""
        if rate is None:
            return
        if math.isinf(rate):
            if grant is not None:
                state.lift_limit(grant.started_at)
        elif state.limit is None:
            share = self._read_share()
            state.limit = rate_limit.start_rate_limit(rate, now, share, self._rng, now)
        else:
            state.limit.set_rate(rate, now)

    def _update_durations(
        self, state: target_state.TargetState, kind: str, duration: float, now: float
    ) -> None:
        """Update the mean duration of the kind of work and the slowness of the target.

        The first answers of a kind that are faster than its initial mean reveal nothing
        about their target. They would make it look far faster than usual, and other
        work there would be abandoned as overdue.
        """
        slowness = state.find_slowness(now)
        mean = max(self._kinds.find_mean(kind), MIN_MEAN_S)
        if duration > mean or self._kinds.is_known(kind):
            state.record_slowness(duration / mean, now)
        self._kinds.add(kind, duration / max(1.0, slowness))

    def _refuse(
        self,
        slot_request: messages.SlotRequest,
        reason: messages.RefusalReason,
        now: float,
    ) -> messages.Refuse:
        """Refuse a request; spread the returns of callers over the queue's delay."""
        self._refused[reason] += 1
        if not slot_request.has_alternative:
            self._service_level.add(is_served=False, now=now)
            self._queue.record_refusal(slot_request, now)
        pause = max(MIN_RETURN_DELAY_S, self._queue.find_backlog(now))
        return messages.Refuse(
            slot_request.ticket,
            reason,
            now + pause * (1 + self._rng.random()),
            self._find_pressure(now),
        )

    def _remove_waiting_retry(self, queued: waiting.QueuedRequest) -> None:
        """Stop counting the retry of a request that gets no target.

        Load pattern: targets turn work away, and more retries wait than find a target.
        Those that are refused would seem to leave none for others.
        """
        if queued.slot_request.attempt > 1:
            self.retries.remove_waiting()

    def _find_effective_priority(
        self, slot_request: messages.SlotRequest, now: float
    ) -> int:
        """Return the priority of a request in the queue.

        Load pattern: high load, a third of the targets failing. The first attempt of
        idempotent work may be a trial of a target, and its retry would wait behind work
        that has not failed yet. A retry is therefore raised one priority while the
        queue is short. In a long queue it keeps its priority, since it would displace
        work that may run only once.
        """
        is_raised = slot_request.attempt > 1 and self._policy.second_rank
        if is_raised and self._queue.find_backlog(now) < SHORT_BACKLOG_S:
            return slot_request.priority - 1
        return slot_request.priority

    def _find_pressure(self, now: float) -> float:
        """Return the pressure: requests of the shard for each proven healthy slot.

        One request is added, so that a shard without any proven healthy slot does not
        look idle.
        """
        slots = self.pool.count_proven_slots(now)
        return (len(self._grants) + len(self._queue) + 1) / max(
            waiting.MIN_SLOTS, slots
        )

    def _make_repeated_grant(self, grant: _Grant, now: float) -> messages.Grant:
        """Return a grant again, since the first message may have been lost."""
        return messages.Grant(
            grant.slot_request.ticket,
            grant.target_id,
            0.0,
            grant.expected,
            self._find_pressure(now),
            silent_share=self.pool.rates.silent_share,
        )
