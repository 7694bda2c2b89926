"""The queue of a shard with fair shares for accounts and kinds.

Load pattern: demand above capacity, and capacity that falls while requests wait. A
request whose turn comes too late is refused as soon as that is known, so that its
caller does not wait for nothing.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc
import dataclasses
import math

from . import fair_order, mechanisms, messages, pool, waiting, work_times

DIVISION_INTERVAL_S = 0.05
"""Seconds between two divisions of the capacity among accounts: the capacity is cached
for the same time."""

ENTRY_WAIT_SHARE = 0.25
"""Value of `waiting.WAIT_SHARE` for requests that enter the queue. The rest remains for
errors of the estimate: a request that was admitted is refused only if it is much later
than estimated."""

ALLOWANCE_SHARE = 0.125
"""Share of the time to the objective by which an account may delay others before its
requests wait behind theirs. Callers accept an eighth."""

MIN_CAPACITY_CHANGE = 0.98
"""Factor by which the capacity must fall for waiting requests to be examined anew."""


class FairQueue(waiting.RequestQueue):
    """Requests that wait, by priority, then by fair queueing over accounts.

    Parameters
    ----------
    targets : pool.Pool
        The targets of the shard.
    kinds : work_times.KindTimes
        Mean durations of work.
    policy : mechanisms.Mechanisms
        Which parts of the policy are enabled.
    """

    def __init__(
        self,
        targets: pool.Pool,
        kinds: work_times.KindTimes,
        policy: mechanisms.Mechanisms,
    ) -> None:
        super().__init__(targets, kinds, policy)
        self._order = fair_order.FairOrder()
        self._offered = fair_order.OfferedWork()
        self._shares = fair_order.KindShares()
        self._divided_at = -math.inf
        self._examination = _Examination(-math.inf, 0.0, False, 1.0)
        self._added_work = 0.0
        self._last_wait = 0.0

    @property
    def _wait_share(self) -> float:
        return ENTRY_WAIT_SHARE

    def enter(self, queued: waiting.QueuedRequest, now: float) -> bool:
        """Queue a request unless its turn comes too late; return whether it waits."""
        slot_request = queued.slot_request
        account = slot_request.account
        priority = self._find_priority(queued)
        cost = self._kinds.find_mean(slot_request.kind)
        is_retry = slot_request.attempt > 1
        # A retry has waited before: behind its account's other requests it would be
        # refused after that wait.
        start = (
            self._order.find_virtual_time(priority)
            if is_retry
            else self._order.find_start(priority, account, self._allow(queued, now))
        )
        tagged = dataclasses.replace(queued, priority=priority, start=start)
        self._offered.add(priority, account, cost)
        self._divide(now)
        if not super().enter(tagged, now):
            return False
        self._order.enter(priority, account, cost)
        self._added_work += cost
        slack = slot_request.objective_at - cost - now - self._last_wait
        if now + slack < self._examination.valid_until:
            self._examination = dataclasses.replace(
                self._examination, valid_until=now + slack
            )
        return True

    def remove(self, ticket: str) -> waiting.QueuedRequest | None:
        """Remove and return a waiting slot request, or None if it does not wait."""
        removed = super().remove(ticket)
        if removed is not None:
            self._close_gaps([removed])
        return removed

    def record_grant(self, queued: waiting.QueuedRequest, now: float) -> None:
        """Record that a request got a slot."""
        self._order.serve(queued.priority, queued.start)
        self._record_decision(queued.slot_request, True, now)

    def record_refusal(self, slot_request: messages.SlotRequest, now: float) -> None:
        """Record that a request was refused."""
        self._record_decision(slot_request, False, now)

    def list_late(self, now: float, is_new: bool) -> list[waiting.LateRequest]:
        """Return the waiting requests whose turn now comes late or too late.

        `is_new` says whether only a request was added since the last examination.
        """
        self._divide(now)
        capacity = self._pool.find_capacity(now)
        if not self._queue or capacity <= 0:
            return []
        has_free = self._pool.has_free(now)
        if is_new and not self._is_due(capacity, has_free, now):
            return []
        examiner = _Examiner(self._kinds, self._offered, self._order, has_free, now)
        for queued in self._queue:
            examiner.examine(queued)
        self._examination = _Examination(
            now + examiner.min_slack,
            capacity,
            has_free,
            min(capacity, examiner.min_available),
        )
        self._added_work = 0.0
        return examiner.late

    def drop(
        self,
        granted: collections.abc.Sequence[waiting.QueuedRequest],
        refused: collections.abc.Sequence[waiting.QueuedRequest],
    ) -> None:
        """Remove requests that were granted or refused while they waited."""
        tickets = {queued.ticket for queued in (*granted, *refused)}
        if not tickets:
            return
        self._queue = [queued for queued in self._queue if queued.ticket not in tickets]
        if refused:
            self._close_gaps(refused)

    def _allow(self, queued: waiting.QueuedRequest, now: float) -> float:
        """Return the work in seconds by which an account may exceed its share.

        It delays other accounts by a small part of the time to the objective, and lets
        the whole queue absorb a short burst.
        """
        time_left = max(0.0, queued.slot_request.objective_at - now)
        return ALLOWANCE_SHARE * time_left * self._pool.find_capacity(now)

    def _find_priority(self, queued: waiting.QueuedRequest) -> int:
        """Return the priority that the shares of kind and account give a request.

        A starving kind becomes most urgent. Work of an account over its share becomes
        least urgent: otherwise its urgent work would take the slots of all others.
        """
        kind = queued.slot_request.kind
        if self._shares.is_starving(kind):
            return min(queued.priority, self._shares.most_urgent)
        if self._shares.is_behind(kind):
            return queued.priority
        account = queued.slot_request.account
        if self._offered.is_over_share(queued.priority, account):
            return max(queued.priority, self._shares.least_urgent)
        return queued.priority

    def _is_due(self, capacity: float, has_free: bool, now: float) -> bool:
        """Return whether the turn of a waiting request may come late now."""
        last = self._examination
        delay = self._added_work / last.min_available
        return (
            now + delay >= last.valid_until
            or (has_free and not last.has_free)
            or capacity < MIN_CAPACITY_CHANGE * last.capacity
        )

    def _divide(self, now: float) -> None:
        if now < self._divided_at + DIVISION_INTERVAL_S:
            return
        self._divided_at = now
        self._offered.divide(self._pool.find_capacity(now), now)
        self._order.forget_served()

    def _record_decision(
        self, slot_request: messages.SlotRequest, is_granted: bool, now: float
    ) -> None:
        if slot_request.attempt == 1:
            kind, priority = slot_request.kind, slot_request.priority
            self._shares.add(kind, priority, is_granted, now)

    def _find_wait(self, queued: waiting.QueuedRequest, now: float) -> float:
        """Return how many seconds a request would wait for its turn."""
        self._last_wait = 0.0
        if self._pool.find_capacity(now) <= 0:
            return 0.0
        if not self._queue and self._pool.has_free(now):
            return 0.0
        counts = collections.Counter(
            other.slot_request.kind for other in self._list_ahead(queued)
        )
        work = sum(
            count * self._kinds.find_mean(kind) for kind, count in counts.items()
        )
        work += self._kinds.find_mean(queued.slot_request.kind)
        account = queued.slot_request.account
        is_ahead = queued.start > self._order.find_virtual_time(queued.priority)
        available = self._offered.find_available(queued.priority, account, is_ahead)
        self._last_wait = work / available
        return self._last_wait

    def _list_ahead(self, queued: waiting.QueuedRequest) -> list[waiting.QueuedRequest]:
        """Return the requests that are served before this one."""
        return self._queue[: bisect.bisect_left(self._queue, queued)]

    def _close_gaps(
        self, removed: collections.abc.Sequence[waiting.QueuedRequest]
    ) -> None:
        """Move requests up that waited behind removed ones of their account."""
        gaps: dict[tuple[int, str], list[waiting.QueuedRequest]] = {}
        for queued in removed:
            key = (queued.priority, queued.slot_request.account)
            gaps.setdefault(key, []).append(queued)
            cost = self._kinds.find_mean(queued.slot_request.kind)
            self._order.withdraw(*key, cost)
        moved = []
        for queued in self._queue:
            key = (queued.priority, queued.slot_request.account)
            gap = sum(
                self._kinds.find_mean(other.slot_request.kind)
                for other in gaps.get(key, ())
                if other.start < queued.start
            )
            if gap:
                start = max(
                    queued.start - gap, self._order.find_virtual_time(queued.priority)
                )
                queued = dataclasses.replace(queued, start=start)
            moved.append(queued)
        self._queue = sorted(moved)


@dataclasses.dataclass(frozen=True, slots=True)
class _Examination:
    """Result of the last examination of all waiting requests."""

    valid_until: float
    """Time before which no turn comes late, unless work is added."""

    capacity: float
    """Capacity at that time, in slots."""

    has_free: bool
    """Whether any target had a free slot."""

    min_available: float
    """Fewest slots that were available for the work ahead of a request."""


class _Examiner:
    """Examines waiting requests in their order, and finds those that will be late.

    While a target in doubt has a free slot, requests that cannot be on time are listed
    too: they need not wait for a proven healthy target.
    """

    def __init__(
        self,
        kinds: work_times.KindTimes,
        offered: fair_order.OfferedWork,
        order: fair_order.FairOrder,
        has_free: bool,
        now: float,
    ) -> None:
        self._kinds = kinds
        self._offered = offered
        self._order = order
        self._has_free = has_free
        self._now = now
        self._work = 0.0
        self._means: dict[str, float] = {}
        self._available: dict[tuple[int, str, bool], float] = {}
        self.late: list[waiting.LateRequest] = []
        self.min_slack = math.inf
        self.min_available = math.inf

    def examine(self, queued: waiting.QueuedRequest) -> None:
        """Examine the next request."""
        slot_request = queued.slot_request
        mean = self._find_mean(slot_request.kind)
        available = self._find_available(queued)
        turn = self._now + (self._work + mean) / available
        slack = waiting.find_latest_turn(slot_request, mean) - turn
        on_time_slack = slot_request.objective_at - mean - turn
        if slack < 0 or (self._has_free and on_time_slack < 0):
            self.late.append(waiting.LateRequest(queued, slack < 0))
            return
        self._work += mean
        self.min_slack = min(self.min_slack, on_time_slack if self._has_free else slack)
        self.min_available = min(self.min_available, available)

    def _find_mean(self, kind: str) -> float:
        if kind not in self._means:
            self._means[kind] = self._kinds.find_mean(kind)
        return self._means[kind]

    def _find_available(self, queued: waiting.QueuedRequest) -> float:
        priority = queued.priority
        is_ahead = queued.start > self._order.find_virtual_time(priority)
        key = (priority, queued.slot_request.account, is_ahead)
        if key not in self._available:
            self._available[key] = self._offered.find_available(*key)
        return self._available[key]
