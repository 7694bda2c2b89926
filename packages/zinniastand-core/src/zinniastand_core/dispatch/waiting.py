"""The queue of a shard: which requests wait, in which order, and for how long.

Load pattern: a burst, or half of the targets lost. Waiting costs the caller time
and frees no slot, so a request waits only if its turn comes while an answer is still
useful, and the queue is bounded by time and not by length.
"""

from __future__ import annotations

import bisect
import collections.abc
import dataclasses

from . import mechanisms, messages, pool, work_times

WAIT_SHARE = 0.5
"""Share of the time between a request's objective and its deadline that its wait may
use while the queue is short-lived: a burst is served late rather than refused."""

WORK_TIME_MARGIN = 2.0
"""Multiple of the mean duration of work that a standing queue must leave until the
objective: five of six pieces of work end within it. In a standing queue everybody waits
as long as it allows: with time for one mean duration, hardly any answer would be on
time."""

STANDING_QUEUE_AFTER_S = 1.0
"""Seconds after which a queue that makes answers late counts as standing. A standing
queue increases no throughput, since the targets are busy anyway (Nichols and Jacobson,
2012, "Controlling queue delay")."""

MIN_WAIT_S = 0.05
"""Wait that is always allowed, for requests whose objective is close to the duration of
their work."""

PROVEN_TARGET_WAIT_SHARE = 0.25
"""Share of the time until its objective for which idempotent work waits for a proven
healthy target instead of trying a failing one."""

MIN_SLOTS = 0.5
"""Slots that a shard without any proven healthy slot counts for, as a divisor."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """A request in the queue; comparison gives the order of the queue."""

    priority: int
    """Effective priority in this queue; 0 goes first."""

    arrived_at: float
    """When the slot request arrived."""

    ticket: str
    """Ticket of the slot request."""

    slot_request: messages.SlotRequest = dataclasses.field(compare=False)
    """The slot request."""


class RequestQueue:
    """The requests of a shard that wait for a target.

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
        self._pool = targets
        self._kinds = kinds
        self._policy = policy
        self._queue: list[QueuedRequest] = []
        self._standing_from: float | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> collections.abc.Iterator[QueuedRequest]:
        return iter(self._queue)

    def holds(self, ticket: str) -> bool:
        """Return whether a slot request with this ticket waits here."""
        return any(one.ticket == ticket for one in self._queue)

    def remove(self, ticket: str) -> QueuedRequest | None:
        """Remove and return a waiting slot request, or None if it does not wait."""
        for index, queued in enumerate(self._queue):
            if queued.ticket == ticket:
                return self._queue.pop(index)
        return None

    def enter(self, queued: QueuedRequest, now: float) -> bool:
        """Add a request if its turn comes while an answer is useful; return whether."""
        wait = self._find_wait(queued, now)
        if wait <= 0 or self._pool.has_free(now):
            # A free slot, even of a target that may be failing, takes work from the
            # queue before the queue makes answers late.
            self._standing_from = None
        if wait > 0 and not self._may_wait(queued.slot_request, wait, now):
            return False
        bisect.insort(self._queue, queued)
        return True

    def keep(self, left: list[QueuedRequest]) -> None:
        """Keep only these requests in the queue."""
        self._queue = left

    def find_backlog(self, now: float) -> float:
        """Return the seconds that the proven healthy slots need for all queued work."""
        work = sum(self._kinds.find_mean(one.slot_request.kind) for one in self._queue)
        return work / max(1.0, self._pool.find_capacity(now))

    def should_wait(
        self, queued: QueuedRequest, offer: pool.Offer, ease: float, now: float
    ) -> bool:
        """Return whether to wait for a better target than the best free one.

        A failed request is lost; one that waits is at worst late. While proven healthy
        targets are busy, their next free slot is a fraction of the duration of one
        piece of work away. Load pattern: half of the slots belong to failing targets,
        which are free because they fail at once.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        offer : pool.Offer
            The best free target.
        ease : float
            How freely retries may be spent, from 0 for none to 1.
        now : float
            Seconds of a monotonic clock.
        """
        slot_request = queued.slot_request
        if (
            offer.failure_probability <= pool.MAX_HEALTHY_FAILURE_PROBABILITY
            or not self._policy.patience
        ):
            return False
        if slot_request.may_retry and ease > 0.0:
            is_useful = offer.is_trial and ease >= 1.0
            return not is_useful and self._may_wait_for_proven(queued, now)
        proven = self._pool.count_proven_slots(now)
        if not proven:
            return False
        mean = self._kinds.find_mean(slot_request.kind)
        ahead = sum(1 for one in self._queue if one.priority <= slot_request.priority)
        # Only while the answer can still be on time. Waiting until the deadline would
        # let the queue grow as long as that, and make every answer late.
        return now + mean + mean * max(1, ahead) / proven < slot_request.objective_at

    def _may_wait_for_proven(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether idempotent work waits a little for a proven healthy target.

        Sent to a failing target it would need a retry, and the wait for a proven slot
        is often a fraction of the time until the objective. Behind a long queue it does
        not wait: work of a higher priority would keep it from any target.
        """
        slot_request = queued.slot_request
        if not self._pool.count_proven_slots(now):
            return False
        if now - queued.arrived_at > PROVEN_TARGET_WAIT_SHARE * (
            slot_request.objective_at - queued.arrived_at
        ):
            return False
        ahead = [one for one in self._queue if one.priority <= slot_request.priority]
        work = sum(self._kinds.find_mean(one.slot_request.kind) for one in ahead)
        capacity = max(MIN_SLOTS, self._pool.find_capacity(now))
        return work / capacity < PROVEN_TARGET_WAIT_SHARE * (
            slot_request.objective_at - now
        )

    def _find_wait(self, queued: QueuedRequest, now: float) -> float:
        """Return how many seconds a request would wait for its turn."""
        capacity = self._pool.find_capacity(now)
        if capacity <= 0:
            return 0.0
        if not self._queue and self._pool.has_free(now):
            return 0.0
        ahead = self._queue[: bisect.bisect_left(self._queue, queued)]
        work = sum(self._kinds.find_mean(one.slot_request.kind) for one in ahead)
        return (work + self._kinds.find_mean(queued.slot_request.kind)) / capacity

    def _may_wait(
        self, slot_request: messages.SlotRequest, wait: float, now: float
    ) -> bool:
        """Return whether a request may wait `wait` seconds for its turn."""
        mean = self._kinds.find_mean(slot_request.kind)
        left = slot_request.objective_at - now
        short = max(MIN_WAIT_S, left - WORK_TIME_MARGIN * mean)
        if wait <= short:
            return True
        if self._standing_from is None:
            self._standing_from = now + STANDING_QUEUE_AFTER_S
        if now >= self._standing_from and self._policy.short_queue:
            return False
        beyond = max(0.0, slot_request.deadline_at - slot_request.objective_at)
        return wait <= left + WAIT_SHARE * beyond - mean
