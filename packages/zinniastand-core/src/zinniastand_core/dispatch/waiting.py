"""The queue of a shard: which requests wait, in which order, and for how long.

Load pattern: a burst, or half of the targets lost. Waiting costs the caller time and
frees no slot. A request therefore waits only if its turn comes while an answer is still
useful: the queue is bounded by time and not by length.
"""

from __future__ import annotations

import bisect
import collections.abc
import dataclasses

from . import locality, mechanisms, messages, pool, work_times

WAIT_SHARE = 0.5
"""Share of the time between a request's objective and its deadline that its wait may
use until the queue counts as standing: a burst is served late rather than refused."""

WORK_TIME_MARGIN = 2.0
"""Multiple of the mean duration of work that must remain until the objective after the
wait in a standing queue; five of six pieces of work end within it. In a standing queue,
every request waits as long as is allowed: with only one mean duration left, hardly any
answer would be on time."""

STANDING_QUEUE_AFTER_S = 1.0
"""Seconds after which a queue that makes answers late counts as standing. A standing
queue increases no throughput, since the targets are busy anyway (Nichols and Jacobson,
2012, "Controlling queue delay")."""

MIN_WAIT_S = 0.05
"""Seconds of waiting that are always allowed, for requests whose objective is close to
the duration of their work."""

PROVEN_TARGET_WAIT_SHARE = 0.25
"""Share of the time until its objective for which idempotent work waits for a proven
healthy target instead of trying a failing one."""

MIN_SLOTS = 0.5
"""Minimum of the slots of a shard where they are a divisor, since a shard may have no
proven healthy slot."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class QueuedRequest:
    """A request in the queue; comparison gives the order of the queue."""

    priority: int
    """Effective priority in this queue; 0 goes first."""

    start: float
    """Start tag of fair queueing; 0 where it is not enabled."""

    arrived_at: float
    """When the slot request arrived."""

    ticket: str
    """Ticket of the slot request."""

    slot_request: messages.SlotRequest = dataclasses.field(compare=False)
    """The slot request."""


@dataclasses.dataclass(frozen=True, slots=True)
class LateRequest:
    """A waiting request whose answer would be late."""

    queued: QueuedRequest
    """The request."""

    is_unservable: bool
    """Whether its turn comes too late."""


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

    @property
    def _wait_share(self) -> float:
        return WAIT_SHARE

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> collections.abc.Iterator[QueuedRequest]:
        return iter(self._queue)

    def holds(self, ticket: str) -> bool:
        """Return whether a slot request with this ticket waits here."""
        return any(other.ticket == ticket for other in self._queue)

    def remove(self, ticket: str) -> QueuedRequest | None:
        """Remove and return a waiting slot request, or None if it does not wait."""
        for index, queued in enumerate(self._queue):
            if queued.ticket == ticket:
                return self._queue.pop(index)
        return None

    def enter(self, queued: QueuedRequest, now: float) -> bool:
        """Queue a request unless its turn comes too late; return whether it waits."""
        wait = self._find_wait(queued, now)
        if wait <= 0 or self._pool.has_free(now):
            # While a slot is free, even of a target that may be failing, the queue does
            # not make answers late.
            self._standing_from = None
        if wait > 0 and not self._may_wait(queued.slot_request, wait, now):
            return False
        bisect.insort(self._queue, queued)
        return True

    def list_late(self, now: float, is_new: bool) -> list[LateRequest]:
        """Return the waiting requests whose turn now comes late; none here: they wait
        until shortly before their deadlines.
        """
        return []

    def drop(
        self,
        granted: collections.abc.Sequence[QueuedRequest],
        refused: collections.abc.Sequence[QueuedRequest],
    ) -> None:
        """Remove requests that were granted or refused while they waited."""
        tickets = {queued.ticket for queued in (*granted, *refused)}
        self.keep([each for each in self._queue if each.ticket not in tickets])

    def record_grant(self, queued: QueuedRequest, now: float) -> None:
        """Record that a request got a slot; nothing here depends on it."""

    def record_refusal(self, slot_request: messages.SlotRequest, now: float) -> None:
        """Record that a request was refused; nothing here depends on it."""

    def keep(self, still_waiting: list[QueuedRequest]) -> None:
        """Keep only these requests in the queue."""
        self._queue = still_waiting

    def find_backlog(self, now: float) -> float:
        """Return the seconds that the proven healthy slots need for all queued work."""
        work = sum(
            self._kinds.find_mean(other.slot_request.kind) for other in self._queue
        )
        return work / max(1.0, self._pool.find_capacity(now))

    def should_wait(
        self,
        queued: QueuedRequest,
        offer: pool.Offer,
        retry_availability: float,
        now: float,
    ) -> bool:
        """Return whether to wait for a better target than the best free one.

        A failed request is lost, while one that waits is at worst late. Busy proven
        healthy targets have a slot free again after a fraction of the duration of one
        piece of work. Load pattern: half of the slots belong to failing targets, which
        are free because they fail requests at once.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        offer : pool.Offer
            The best free target.
        retry_availability : float
            Availability of retries, from 0 for none left to 1 for plenty.
        now : float
            Seconds of a monotonic clock.
        """
        slot_request = queued.slot_request
        if slot_request.is_guest:
            return not offer.is_sound
        if self._should_wait_for_local(queued, offer, now):
            return True
        if (
            offer.failure_probability <= pool.MAX_HEALTHY_FAILURE_PROBABILITY
            or offer.is_idle_work
            or not self._policy.patience
        ):
            return False
        if slot_request.may_retry and retry_availability > 0.0:
            is_useful = offer.is_trial and retry_availability >= 1.0
            return not is_useful and self._may_wait_for_proven(queued, now)
        proven = self._pool.count_proven_slots(now)
        if not proven:
            return False
        mean = self._kinds.find_mean(slot_request.kind)
        ahead = len(self._list_ahead(queued))
        # It waits only while its answer can still be on time. If requests waited until
        # their deadlines, the queue would grow until every answer is late.
        return now + mean + mean * max(1, ahead) / proven < slot_request.objective_at

    def _should_wait_for_local(
        self, queued: QueuedRequest, offer: pool.Offer, now: float
    ) -> bool:
        """Return whether to wait for a local slot instead of taking a remote one.

        A remote target is tried or kept from being idle without regard to that.
        """
        is_learning = offer.is_idle_work or (offer.is_trial and not offer.is_sound)
        if not offer.is_remote or is_learning:
            return False
        return self._pool.prefers_local(queued.slot_request) and self.may_wait_here(
            queued, now
        )

    def may_wait_here(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether a request may wait for a slot in its data centre."""
        slot_request = queued.slot_request
        data_centre = slot_request.data_centre
        mean = self._kinds.find_mean(slot_request.kind)
        if now - queued.arrived_at > locality.MAX_WAIT_WORK * mean:
            # Saves counting a long queue for each request that has waited enough.
            return False
        ahead = sum(
            1
            for other in self._queue
            if other < queued and other.slot_request.data_centre == data_centre
        )
        return locality.may_wait(
            locality.LocalQueue(
                self._pool.count_proven_slots_in(data_centre, now), ahead
            ),
            mean,
            queued.arrived_at,
            slot_request.objective_at,
            now,
        )

    def _may_wait_for_proven(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether idempotent work waits a little for a proven healthy target.

        Sent to a failing target, it would need a retry, and the wait for a proven
        healthy slot is often a fraction of the time until its objective. It does not
        wait behind a long queue: work of a higher priority would keep it from any
        target.
        """
        slot_request = queued.slot_request
        if not self._pool.count_proven_slots(now):
            return False
        if now - queued.arrived_at > PROVEN_TARGET_WAIT_SHARE * (
            slot_request.objective_at - queued.arrived_at
        ):
            return False
        ahead = self._list_ahead(queued)
        work = sum(self._kinds.find_mean(other.slot_request.kind) for other in ahead)
        capacity = max(MIN_SLOTS, self._pool.find_capacity(now))
        return work / capacity < PROVEN_TARGET_WAIT_SHARE * (
            slot_request.objective_at - now
        )

    def _list_ahead(self, queued: QueuedRequest) -> list[QueuedRequest]:
        """Return the requests that may be served before this one."""
        priority = queued.slot_request.priority
        return [other for other in self._queue if other.priority <= priority]

    def _find_wait(self, queued: QueuedRequest, now: float) -> float:
        """Return how many seconds a request would wait for its turn."""
        capacity = self._pool.find_capacity(now)
        if capacity <= 0:
            return 0.0
        if not self._queue and self._pool.has_free(now):
            return 0.0
        ahead = self._queue[: bisect.bisect_left(self._queue, queued)]
        work = sum(self._kinds.find_mean(other.slot_request.kind) for other in ahead)
        return (work + self._kinds.find_mean(queued.slot_request.kind)) / capacity

    def _may_wait(
        self, slot_request: messages.SlotRequest, wait: float, now: float
    ) -> bool:
        """Return whether a request may wait `wait` seconds for its turn."""
        mean = self._kinds.find_mean(slot_request.kind)
        time_left = slot_request.objective_at - now
        on_time_wait = max(MIN_WAIT_S, time_left - WORK_TIME_MARGIN * mean)
        if wait <= on_time_wait:
            return True
        if self._standing_from is None:
            self._standing_from = now + STANDING_QUEUE_AFTER_S
        if now >= self._standing_from and self._policy.short_queue:
            return False
        return now + wait <= find_latest_turn(slot_request, mean, self._wait_share)


def find_latest_turn(
    slot_request: messages.SlotRequest, mean: float, wait_share: float = WAIT_SHARE
) -> float:
    """Return the time after which the turn of a request comes too late.

    Parameters
    ----------
    slot_request : messages.SlotRequest
        The request.
    mean : float
        Mean duration of its kind, in seconds.
    wait_share : float, optional
        Share of the time between objective and deadline that it may wait.
    """
    late_time = max(0.0, slot_request.deadline_at - slot_request.objective_at)
    return slot_request.objective_at + wait_share * late_time - mean
