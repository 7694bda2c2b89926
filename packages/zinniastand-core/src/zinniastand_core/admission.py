"""Admission to a service on one VM: a concurrency limit and a short weighted queue.

The limit follows what targets refuse: each refused attempt says that the fleet as a
whole sends more than they have slots. Work that cannot start in time is refused at
once, so the caller can still use its time elsewhere.
"""

from __future__ import annotations

import dataclasses
import enum

MIN_LIMIT = 1.0
LIMIT_INCREASE = 1.0
LIMIT_DECREASE_FACTOR = 0.85
LIMIT_DECREASE_INTERVAL_S = 0.1
DURATION_SMOOTHING = 0.1


class Entry(enum.StrEnum):
    """What admission says to a request."""

    ADMITTED = "admitted"
    """It may start now."""

    QUEUED = "queued"
    """It waits; a later call admits or refuses it."""

    REFUSED = "refused"
    """It cannot start in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request at the door."""

    number: int
    """Unique on this VM."""

    weight: float
    """Worth of its answer in time."""

    deadline: float
    """Unix seconds at which its answer is worth nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a ticket."""

    ticket: Ticket
    """Which."""

    entry: Entry
    """What to do with it."""


class Admission:
    """The door of one service on one VM.

    Parameters
    ----------
    most : int
        Highest number of requests admitted at a time.
    queue : int
        Requests that may wait.
    """

    def __init__(self, most: int, queue: int) -> None:
        self._most = float(most)
        self._queue_size = queue
        self._limit = float(most)
        self._running = 0
        self._waiting: list[Ticket] = []
        self._cut_allowed_at = 0.0
        self._duration = 0.0

    @property
    def limit(self) -> float:
        """Requests admitted at a time, for now."""
        return self._limit

    @property
    def running(self) -> int:
        """Requests admitted and not ended."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    def resize(self, most: int, queue: int) -> None:
        """Follow a new bundle."""
        self._most = float(most)
        self._limit = min(self._limit, self._most)
        self._queue_size = queue

    def enter(self, ticket: Ticket, now: float) -> list[Verdict]:
        """Rule on a new request; it may push out a lighter one that waits."""
        if self._running < int(self._limit) and not self._waiting:
            self._running += 1
            return [Verdict(ticket, Entry.ADMITTED)]
        self._waiting.append(ticket)
        self._waiting.sort(key=_rank)
        verdicts = self._push_out(now)
        if all(verdict.ticket.number != ticket.number for verdict in verdicts):
            verdicts.append(Verdict(ticket, Entry.QUEUED))
        return verdicts

    def leave(self, duration: float, now: float) -> list[Verdict]:
        """Take in that an admitted request ended after `duration` seconds."""
        self._running -= 1
        if self._duration == 0.0:
            self._duration = duration
        self._duration += DURATION_SMOOTHING * (duration - self._duration)
        return self.admit_waiting(now)

    def withdraw(self, number: int) -> None:
        """Forget a waiting request whose caller went away."""
        self._waiting = [t for t in self._waiting if t.number != number]

    def admit_waiting(self, now: float) -> list[Verdict]:
        """Refuse what is too late and admit what there is room for."""
        verdicts = [
            Verdict(ticket, Entry.REFUSED)
            for ticket in self._waiting
            if not self._is_in_time(ticket, 0, now)
        ]
        late = {verdict.ticket.number for verdict in verdicts}
        self._waiting = [t for t in self._waiting if t.number not in late]
        while self._waiting and self._running < int(self._limit):
            self._running += 1
            verdicts.append(Verdict(self._waiting.pop(0), Entry.ADMITTED))
        return verdicts

    def raise_limit(self) -> None:
        """Take in that a target answered: the limit grows slowly."""
        self._limit = min(self._most, self._limit + LIMIT_INCREASE / self._limit)

    def lower_limit(self, now: float) -> None:
        """Take in that a target refused for lack of slots: the limit shrinks.

        One cut for a burst of refusals, which all tell of the same overload.
        """
        if now >= self._cut_allowed_at:
            self._cut_allowed_at = now + LIMIT_DECREASE_INTERVAL_S
            self._limit = max(MIN_LIMIT, self._limit * LIMIT_DECREASE_FACTOR)

    def _push_out(self, now: float) -> list[Verdict]:
        kept: list[Ticket] = []
        verdicts: list[Verdict] = []
        for ticket in self._waiting:
            fits = len(kept) < self._queue_size
            if fits and self._is_in_time(ticket, len(kept), now):
                kept.append(ticket)
            else:
                verdicts.append(Verdict(ticket, Entry.REFUSED))
        self._waiting = kept
        return verdicts

    def _is_in_time(self, ticket: Ticket, ahead: int, now: float) -> bool:
        rounds = (ahead + 1) / max(1.0, int(self._limit))
        return now + (rounds + 1.0) * self._duration < ticket.deadline


def _rank(ticket: Ticket) -> tuple[float, float, int]:
    """Heavier kinds first; among equals the one whose deadline comes first."""
    return -ticket.weight, ticket.deadline, ticket.number
