"""Places the requests of one shard: who goes where, who waits, who is refused.

One VM does this for a whole shard, since many VMs that share a few slots and each see
a few requests a second can neither count slots in use nor tell a failing target. Every
VM can do it: the one that does is only a matter of rank, and a VM that reaches nobody
places its own requests by the same rules. Two dispatchers of one shard therefore
cost some efficiency, never a promise: slots may be given twice, and targets turn away
what they cannot take.

Waiting. Requests wait here and not at targets: a queue at a target is fixed once sent,
and work that waits behind a target that turns bad is lost with it. Rank is by priority,
then by arrival.

Refusing. A request whose turn would come too late is refused on arrival, because a
later refusal costs its caller the wait and frees nothing; see `waiting`.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import random

from ..deployment import targets
from . import (
    mechanisms,
    messages,
    pool,
    rate_limit,
    retry_window,
    service_level,
    waiting,
    work_times,
)

LOST_REPORT_GRACE_S = 0.3
"""Seconds after a request's deadline at which its slot is taken back when no report has
come: reports travel in datagrams, and one may be lost."""

RETURN_PAUSE = 0.25
"""Least seconds that a refused caller is asked to stay away."""

LEAST_MEAN = 0.001
"""Least seconds that a kind of work is taken to last, as a divisor."""

SHORT_BACKLOG = 0.06
"""Seconds of work in the queue up to which a second attempt goes one rank up: ten
requests of 0.2 s before 35 proven slots."""

LEAST_WORK = 0.5
"""Times the mean time of work below which a waiting request is refused before its
deadline: hardly any work ends sooner, and its caller may still come back in time."""

SLOW_AFTER = 2.5
"""Times the expected time after which work under way tells that its target is slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A slot in use."""

    ask: messages.SlotRequest
    target_id: str
    started_at: float
    expected: float
    is_retry: bool
    """Whether a retry was spent on it here."""


UNSENT = frozenset({messages.Outcome.UNUSED, messages.Outcome.UNREACHABLE})
"""Outcomes of attempts that reached no target."""


class Dispatcher:
    """The dispatcher of one shard.

    Parameters
    ----------
    kinds : work_times.KindTimes
        How long work takes.
    retries : retry_window.RetryWindow
        Bounds attempts after the first.
    rng : random.Random
        Spreads the times at which refused callers come back.
    policy : mechanisms.Mechanisms, optional
        Which parts of the policy are at work.
    read_share : callable, optional
        Returns which part of a target's rate limit this dispatcher may use.
    """

    def __init__(
        self,
        kinds: work_times.KindTimes,
        retries: retry_window.RetryWindow,
        rng: random.Random,
        policy: mechanisms.Mechanisms = mechanisms.ALL,
        read_share: collections.abc.Callable[[], float] = lambda: 1.0,
    ) -> None:
        self.pool = pool.Pool(kinds, policy)
        self._policy = policy
        self._kinds = kinds
        self._retries = retries
        self._rng = rng
        self._read_share = read_share
        self._grants: dict[str, _Grant] = {}
        self._line = waiting.WaitingLine(self.pool, kinds, policy)
        self._level = service_level.ServiceLevel()

    @property
    def queue_length(self) -> int:
        """Requests that wait."""
        return len(self._line)

    @property
    def in_flight(self) -> int:
        """Slots in use."""
        return len(self._grants)

    def update_targets(
        self, entries: collections.abc.Iterable[targets.Entry], now: float
    ) -> list[messages.Decision]:
        """Use these targets from now on."""
        self.pool.update(entries, now)
        return self._serve_queue(now)

    def request_slot(
        self, ask: messages.SlotRequest, now: float
    ) -> list[messages.Decision]:
        """Take in a request; an ask that came before gets its first answer again."""
        if ask.is_first:
            # Also one that is refused: it is a request for the service all the same.
            self._retries.add_request(now)
        granted = self._grants.get(ask.ticket)
        if granted is not None:
            return [self._repeat(granted, now)]
        if self._line.holds(ask.ticket):
            return [messages.Wait(ask.ticket)]
        if self.pool.is_empty():
            return [self._refuse(ask, messages.RefusalReason.NO_TARGET, now)]
        if ask.attempt > 1 and not self._retries.reserve(now):
            return [self._refuse(ask, messages.RefusalReason.RETRY_BUDGET, now)]
        entry = waiting.Waiting(self._find_rank(ask, now), now, ask.ticket, ask)
        if not self._line.enter(entry, now):
            self._take_back(entry)
            return [self._refuse(ask, messages.RefusalReason.OVERLOADED, now)]
        decisions = self._serve_queue(now)
        if any(one.ticket == ask.ticket for one in decisions):
            return decisions
        return [*decisions, messages.Wait(ask.ticket)]

    def handle_report(
        self, report: messages.Report, now: float
    ) -> list[messages.Decision]:
        """Take in how an attempt went; its slot is free again.

        An ask that still waits is forgotten: its caller has left or was answered.
        """
        granted = self._grants.pop(report.ticket, None)
        withdrawn = self._line.remove(report.ticket) if granted is None else None
        if withdrawn is not None:
            self._take_back(withdrawn)
        if granted is not None and granted.is_retry and report.outcome in UNSENT:
            self._retries.refund(granted.started_at, now)
        if report.is_resent and granted is not None:
            self._retries.charge(now)
        target_id = granted.target_id if granted is not None else report.target_id
        state = self.pool.find(target_id)
        if state is not None:
            state.tickets.discard(report.ticket)
            self._learn_limit(state, granted, report.rate_limit, now)
            self._learn(state, granted, report, now)
        return self._serve_queue(now)

    def adopt_slot(self, held: messages.HeldSlot, now: float) -> None:
        """Take over a slot that another dispatcher gave."""
        state = self.pool.find(held.target_id)
        if state is not None and held.slot_request.ticket not in self._grants:
            self._start(held.slot_request, state, now, is_retry=False)

    def wake(self, now: float) -> list[messages.Decision]:
        """Act on the time: notice slow targets, take lost slots back, end waits."""
        for ticket, granted in list(self._grants.items()):
            state = self.pool.find(granted.target_id)
            elapsed = now - granted.started_at
            if state is not None and elapsed > SLOW_AFTER * granted.expected:
                state.note_overdue(elapsed / granted.expected, now)
            if now > granted.ask.deadline_at + LOST_REPORT_GRACE_S:
                del self._grants[ticket]
                if state is not None:
                    state.tickets.discard(ticket)
        return self._serve_queue(now)

    def _serve_queue(self, now: float) -> list[messages.Decision]:
        """Place those that wait, in their order.

        Requests of a kind differ only in their age. When one of them finds no target,
        those behind it find none either, and are not looked at: with a hundred that
        wait, each event would otherwise cost a hundred searches over all targets.
        """
        decisions: list[messages.Decision] = []
        left: list[waiting.Waiting] = []
        without: set[tuple[str, bool]] = set()
        has_free = len(self._line) > 0 and self.pool.has_free(now)
        for one in self._line:
            ask = one.ask
            group = (ask.kind, ask.may_retry)
            decision: messages.Decision | None = None
            least = LEAST_WORK * self._kinds.find_mean(ask.kind)
            if now + least >= ask.deadline_at:
                self._take_back(one)
                decision = self._refuse(ask, messages.RefusalReason.TOO_LATE, now)
            elif has_free and (group not in without or ask.excluded):
                decision = self._place(one, now)
            if decision is None:
                without.add(group)
                left.append(one)
            else:
                decisions.append(decision)
        self._line.keep(left)
        return decisions

    def _place(self, one: waiting.Waiting, now: float) -> messages.Decision | None:
        ask = one.ask
        ease = self._find_ease(now)
        offer = self.pool.find_best(ask, ease, now, self._level.find_unserved(now))
        if offer is None or self._line.is_better_late(one, offer, ease, now):
            return None
        state = self.pool.find(offer.target_id)
        if state is None:
            return None
        if ask.may_retry and offer.failure_probability > 0:
            state.note_trial(now)
        granted = self._start(ask, state, now, is_retry=ask.attempt > 1)
        if granted.is_retry:
            self._retries.spend(now)
        if state.limit is not None:
            state.limit.record_request(self._read_share(), now)
        return messages.Grant(
            ask.ticket,
            offer.target_id,
            offer.failure_probability,
            granted.expected,
            self._find_pressure(now),
        )

    def _find_ease(self, now: float) -> float:
        """Return how freely retries may be spent, from 0 for none to 1."""
        ease = self._retries.find_ease(now)
        if not self._policy.scarcity:
            return 1.0 if ease > 0.0 else 0.0
        return ease

    def _start(
        self,
        ask: messages.SlotRequest,
        state: pool.TargetState,
        now: float,
        is_retry: bool,
    ) -> _Grant:
        expected = self._kinds.find_mean(ask.kind) * state.find_slowness(now)
        state.note_granted(ask.ticket, now)
        granted = _Grant(ask, state.entry.target_id, now, expected, is_retry)
        self._grants[ask.ticket] = granted
        return granted

    def _learn(
        self,
        state: pool.TargetState,
        granted: _Grant | None,
        report: messages.Report,
        now: float,
    ) -> None:
        match report.outcome:
            case messages.Outcome.GOOD:
                state.note_outcome(failed=False, now=now)
                self._level.add(is_served=True, now=now)
                if granted is not None:
                    self._learn_time(state, granted.ask.kind, report.took, now)
            case messages.Outcome.FAILED | messages.Outcome.SILENT:
                state.note_outcome(failed=True, now=now)
                if granted is None or not granted.ask.may_retry:
                    self._level.add(is_served=False, now=now)
            case messages.Outcome.SHED:
                state.note_shed(now)
            case messages.Outcome.UNREACHABLE:
                state.note_unreachable(report.vm, now)
            case messages.Outcome.MISPLACED:
                state.note_misplaced(now)
            case messages.Outcome.ABANDONED | messages.Outcome.UNUSED:
                pass

    def _learn_limit(
        self,
        state: pool.TargetState,
        granted: _Grant | None,
        rate: float | None,
        now: float,
    ) -> None:
        """Learn how many requests a target takes, if its answer tells."""
        if rate is None:
            return
        if math.isinf(rate):
            if granted is not None:
                state.lift_limit(granted.started_at)
        elif state.limit is None:
            share = self._read_share()
            state.limit = rate_limit.start_rate_limit(rate, now, share, self._rng, now)
        else:
            state.limit.set_rate(rate, now)

    def _learn_time(
        self, state: pool.TargetState, kind: str, took: float, now: float
    ) -> None:
        """Learn how long a kind of work takes apart from how slow its target is.

        Fast first answers of a new kind say nothing of their target: short work, held
        against the first guess, makes targets look far faster than usual, and other
        work there is then broken off as overdue.
        """
        slowness = state.find_slowness(now)
        mean = max(self._kinds.find_mean(kind), LEAST_MEAN)
        if took > mean or self._kinds.is_known(kind):
            state.note_slowness(took / mean, now)
        self._kinds.add(kind, took / max(1.0, slowness))

    def _refuse(
        self, ask: messages.SlotRequest, reason: messages.RefusalReason, now: float
    ) -> messages.Refuse:
        """Refuse, and spread the returns over the time that the queue needs."""
        self._level.add(is_served=False, now=now)
        pause = max(RETURN_PAUSE, self._line.find_backlog(now))
        return messages.Refuse(
            ask.ticket,
            reason,
            now + pause * (1 + self._rng.random()),
            self._find_pressure(now),
        )

    def _take_back(self, one: waiting.Waiting) -> None:
        """Give back the retry of a request that gets no target.

        Load pattern: targets turn work away, and more second attempts are asked for
        than may be sent. Those that are refused would use up what others may have.
        """
        if one.ask.attempt > 1:
            self._retries.release()

    def _find_rank(self, ask: messages.SlotRequest, now: float) -> int:
        """Return the rank of a request in the queue.

        Load pattern: high load, a third of the targets failing. Idempotent work finds
        out about them for all others, and its second attempt would then wait behind
        work that has not failed. So it goes one rank up while the queue is short. In a
        long queue it keeps its rank, or it would crowd out work that may run only once.
        """
        goes_up = ask.attempt > 1 and self._policy.second_rank
        if goes_up and self._line.find_backlog(now) < SHORT_BACKLOG:
            return ask.priority - 1
        return ask.priority

    def _find_pressure(self, now: float) -> float:
        """Return the requests here for each slot of a target that is little in doubt.

        One request more is counted, so that a shard without any proven slot does not
        look idle.
        """
        slots = self.pool.count_proven_slots(now)
        return (len(self._grants) + len(self._line) + 1) / max(
            waiting.LEAST_SLOTS, slots
        )

    def _repeat(self, granted: _Grant, now: float) -> messages.Grant:
        """Return a grant again, since its first telling may have been lost."""
        return messages.Grant(
            granted.ask.ticket,
            granted.target_id,
            0.0,
            granted.expected,
            self._find_pressure(now),
        )
