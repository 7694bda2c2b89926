"""Who waits for a target, in which order, and for how long.

Load pattern: a burst, or half of the targets lost. Waiting costs the caller time and
frees nothing, so a request waits only where its turn comes while it is of use, and the
queue is bounded by time and not by length.
"""

from __future__ import annotations

import bisect
import collections.abc
import dataclasses

from . import mechanisms, messages, pool, work_times

WAIT_SHARE = 0.5
"""Share of the time between a request's objective and its deadline that its wait may
take from it while the queue is short-lived: a burst is served late rather than not."""

WORK_MARGIN = 2.0
"""Times the mean time of work that a standing queue must leave until the objective:
five of six pieces of work end within it. In a standing queue everybody waits as long as
it allows: with room for one mean time, hardly any answer would be in time."""

STANDING_AFTER = 1.0
"""Seconds from which a queue that makes answers late counts as standing. A standing
queue serves nobody more, since the targets are busy anyway (Nichols and Jacobson, 2012,
"Controlling queue delay")."""

LEAST_PATIENCE = 0.05
"""Least seconds that a request may wait, where its objective is close to the time of
its work."""

OUTWAIT = 0.25
"""Share of the time until its objective for which idempotent work waits for a proved
target instead of trying a failing one."""

LEAST_SLOTS = 0.5
"""Slots that a shard without any proven one counts for, as a divisor."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Waiting:
    """A request in the queue; the order is that of the queue."""

    priority: int
    """Its rank here; 0 goes first."""

    arrived_at: float
    """When it was asked for."""

    ticket: str
    """Names the ask."""

    ask: messages.SlotRequest = dataclasses.field(compare=False)
    """The ask."""


class WaitingLine:
    """The requests of a shard that wait for a target.

    Parameters
    ----------
    targets : pool.Pool
        The targets of the shard.
    kinds : work_times.KindTimes
        How long work takes.
    policy : mechanisms.Mechanisms
        Which parts of the policy are at work.
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
        self._queue: list[Waiting] = []
        self._standing_at: float | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> collections.abc.Iterator[Waiting]:
        return iter(self._queue)

    def holds(self, ticket: str) -> bool:
        """Return whether an ask waits here."""
        return any(one.ticket == ticket for one in self._queue)

    def remove(self, ticket: str) -> Waiting | None:
        """Let an ask wait no longer; return it if it did."""
        for index, waiting in enumerate(self._queue):
            if waiting.ticket == ticket:
                return self._queue.pop(index)
        return None

    def enter(self, waiting: Waiting, now: float) -> bool:
        """Let a request wait for its turn, if that comes while it is of use."""
        wait = self._find_wait(waiting, now)
        if wait <= 0 or self._pool.has_free(now):
            # A free slot, if only of a target in doubt, will take work from the queue
            # before it makes answers late.
            self._standing_at = None
        if wait > 0 and not self._may_wait(waiting.ask, wait, now):
            return False
        bisect.insort(self._queue, waiting)
        return True

    def keep(self, left: list[Waiting]) -> None:
        """Let only these wait on."""
        self._queue = left

    def find_backlog(self, now: float) -> float:
        """Return the seconds that the proven slots need for all that waits."""
        work = sum(self._kinds.find_mean(one.ask.kind) for one in self._queue)
        return work / max(1.0, self._pool.find_capacity(now))

    def is_better_late(
        self, waiting: Waiting, offer: pool.Offer, ease: float, now: float
    ) -> bool:
        """Return whether to wait for a better target than the best free one.

        A failed request is lost; one that waits is at worst late. While proven targets
        are busy, their next free slot is a fraction of the time of one piece of work
        away. Load pattern: half of the slots belong to failing targets, which are free
        since they answer at once.

        Parameters
        ----------
        waiting : Waiting
            The request.
        offer : pool.Offer
            The best free target.
        ease : float
            How freely retries may be spent, from 0 for none to 1.
        now : float
            Seconds.
        """
        ask = waiting.ask
        if (
            offer.failure_probability <= pool.MAX_HEALTHY_FAILURE_PROBABILITY
            or not self._policy.patience
        ):
            return False
        if ask.may_retry and ease > 0.0:
            is_useful = offer.is_trial and ease >= 1.0
            return not is_useful and self._may_outwait(waiting, now)
        proved = self._pool.count_proven_slots(now)
        if not proved:
            return False
        mean = self._kinds.find_mean(ask.kind)
        ahead = sum(1 for one in self._queue if one.priority <= ask.priority)
        # Only while the answer can still be in time. Waiting on until the deadline
        # keeps the queue as long as that, and makes every answer late.
        return now + mean + mean * max(1, ahead) / proved < ask.objective_at

    def _may_outwait(self, waiting: Waiting, now: float) -> bool:
        """Return whether idempotent work waits a little for a proved target.

        Sent to a failing one it would need a retry, and the wait for a proved slot is
        often a fraction of the time until the objective. Behind a long queue it does
        not wait: work of a higher rank would keep it from any target.
        """
        ask = waiting.ask
        if not self._pool.count_proven_slots(now):
            return False
        if now - waiting.arrived_at > OUTWAIT * (ask.objective_at - waiting.arrived_at):
            return False
        ahead = [one for one in self._queue if one.priority <= ask.priority]
        work = sum(self._kinds.find_mean(one.ask.kind) for one in ahead)
        capacity = max(LEAST_SLOTS, self._pool.find_capacity(now))
        return work / capacity < OUTWAIT * (ask.objective_at - now)

    def _find_wait(self, waiting: Waiting, now: float) -> float:
        """Return how long a request would wait for its turn."""
        capacity = self._pool.find_capacity(now)
        if capacity <= 0:
            return 0.0
        if not self._queue and self._pool.has_free(now):
            return 0.0
        ahead = self._queue[: bisect.bisect_left(self._queue, waiting)]
        work = sum(self._kinds.find_mean(one.ask.kind) for one in ahead)
        return (work + self._kinds.find_mean(waiting.ask.kind)) / capacity

    def _may_wait(self, ask: messages.SlotRequest, wait: float, now: float) -> bool:
        """Return whether a request may wait that long for its turn."""
        mean = self._kinds.find_mean(ask.kind)
        left = ask.objective_at - now
        short = max(LEAST_PATIENCE, left - WORK_MARGIN * mean)
        if wait <= short:
            return True
        if self._standing_at is None:
            self._standing_at = now + STANDING_AFTER
        if now >= self._standing_at and self._policy.short_queue:
            return False
        beyond = max(0.0, ask.deadline_at - ask.objective_at)
        return wait <= left + WAIT_SHARE * beyond - mean
