"""Admission to a service on one VM: a concurrency limit and a short weighted queue.

Additive increase, multiplicative decrease: the limit grows with each answer and
shrinks when a target refuses an attempt, because a refusal means that the fleet as a
whole sends more than its targets have slots. A request that cannot finish before its
deadline is refused at once, so the caller can use the remaining time elsewhere.
"""

from __future__ import annotations

import dataclasses
import enum

MIN_LIMIT = 1.0
"""Lower bound of the limit on concurrent requests."""

LIMIT_INCREASE = 1.0
"""Increase of the limit per `limit` answers, in concurrent requests."""

LIMIT_DECREASE_FACTOR = 0.85
"""Factor by which a refusal for lack of slots lowers the limit."""

LIMIT_DECREASE_INTERVAL_S = 0.1
"""Minimum time between two decreases."""

DURATION_SMOOTHING = 0.1
"""Weight of the latest request in the moving average of durations."""


class Entry(enum.StrEnum):
    """Result of admission for one request."""

    ADMITTED = "admitted"
    """The request may start now."""

    QUEUED = "queued"
    """The request waits; a later call admits or refuses it."""

    REFUSED = "refused"
    """The request is not expected to end before its deadline, or the queue is full."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for admission."""

    number: int
    """Unique on this VM."""

    weight: float
    """Value of an answer within the deadline; heavier requests go first."""

    deadline: float
    """Unix seconds after which an answer has no value."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on one ticket."""

    ticket: Ticket
    """The request concerned."""

    entry: Entry
    """The decision."""


class Admission:
    """Admission control of one service on one VM.

    Parameters
    ----------
    max_running : int
        Upper bound of the limit on concurrent requests.
    queue_size : int
        Maximum number of waiting requests.
    """

    def __init__(self, max_running: int, queue_size: int) -> None:
        self._max_running = float(max_running)
        self._queue_size = queue_size
        self._limit = float(max_running)
        self._running = 0
        self._waiting: list[Ticket] = []
        self._decrease_allowed_at = 0.0
        self._mean_duration = 0.0

    @property
    def limit(self) -> float:
        """Current limit on concurrent requests."""
        return self._limit

    @property
    def running(self) -> int:
        """Number of requests admitted and not ended."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    def resize(self, max_running: int, queue_size: int) -> None:
        """Apply the bounds of a new bundle.

        Parameters
        ----------
        max_running : int
            Upper bound of the limit on concurrent requests.
        queue_size : int
            Maximum number of waiting requests.
        """
        self._max_running = float(max_running)
        self._limit = min(self._limit, self._max_running)
        self._queue_size = queue_size

    def enter(self, ticket: Ticket, now: float) -> list[Verdict]:
        """Admit, queue or refuse a new request.

        A queued request may displace one of lower rank that waits already.

        Parameters
        ----------
        ticket : Ticket
            The new request.
        now : float
            Unix seconds.

        Returns
        -------
        list[Verdict]
            The decision on `ticket`, and a refusal for each request displaced.
        """
        if self._running < int(self._limit) and not self._waiting:
            self._running += 1
            return [Verdict(ticket, Entry.ADMITTED)]
        self._waiting.append(ticket)
        self._waiting.sort(key=_rank)
        verdicts = self._refuse_excess(now)
        if all(verdict.ticket.number != ticket.number for verdict in verdicts):
            verdicts.append(Verdict(ticket, Entry.QUEUED))
        return verdicts

    def leave(self, duration: float, now: float) -> list[Verdict]:
        """Record that an admitted request ended, and admit waiting ones.

        Parameters
        ----------
        duration : float
            Seconds from admission to the end of the request.
        now : float
            Unix seconds.

        Returns
        -------
        list[Verdict]
            Decisions on requests that were waiting.
        """
        self._running -= 1
        if self._mean_duration == 0.0:
            self._mean_duration = duration
        self._mean_duration += DURATION_SMOOTHING * (duration - self._mean_duration)
        return self.admit_waiting(now)

    def withdraw(self, number: int) -> None:
        """Remove the waiting request `number`, whose caller has disconnected."""
        self._waiting = [t for t in self._waiting if t.number != number]

    def admit_waiting(self, now: float) -> list[Verdict]:
        """Refuse waiting requests that are too late and admit others up to the limit.

        Parameters
        ----------
        now : float
            Unix seconds.

        Returns
        -------
        list[Verdict]
            Decisions on requests that were waiting; none for those that still wait.
        """
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
        """Raise the limit after an answer: by about one per `limit` answers."""
        self._limit = min(self._max_running, self._limit + LIMIT_INCREASE / self._limit)

    def lower_limit(self, now: float) -> None:
        """Lower the limit after a target refused an attempt for lack of slots.

        Refusals within `LIMIT_DECREASE_INTERVAL_S` of a decrease are ignored, since a
        burst of refusals stems from the same overload.

        Parameters
        ----------
        now : float
            Unix seconds.
        """
        if now >= self._decrease_allowed_at:
            self._decrease_allowed_at = now + LIMIT_DECREASE_INTERVAL_S
            self._limit = max(MIN_LIMIT, self._limit * LIMIT_DECREASE_FACTOR)

    def _refuse_excess(self, now: float) -> list[Verdict]:
        still_waiting: list[Ticket] = []
        verdicts: list[Verdict] = []
        for ticket in self._waiting:
            fits = len(still_waiting) < self._queue_size
            if fits and self._is_in_time(ticket, len(still_waiting), now):
                still_waiting.append(ticket)
            else:
                verdicts.append(Verdict(ticket, Entry.REFUSED))
        self._waiting = still_waiting
        return verdicts

    def _is_in_time(self, ticket: Ticket, ahead: int, now: float) -> bool:
        # Requests start in rounds of `limit`, each as long as the mean duration; the
        # request waits for these rounds and then takes one duration itself.
        rounds = (ahead + 1) / max(1.0, int(self._limit))
        return now + (rounds + 1.0) * self._mean_duration < ticket.deadline


def _rank(ticket: Ticket) -> tuple[float, float, int]:
    """Return the sort key: heaviest first, then earliest deadline, then number."""
    return -ticket.weight, ticket.deadline, ticket.number
