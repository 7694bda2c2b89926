"""What becomes of one request after each attempt: another target, or the one answer.

The plan holds three promises towards callers. Work that may run only once goes to a
second target only after proof that the first did not run it. "Not run" is said only
while every attempt so far is known not to have run. Before the deadline, an attempt
that is under way is given up only for an answer of another target.
"""

from __future__ import annotations

import dataclasses
import enum

from .. import services
from ..deployment import configuration


class Result(enum.StrEnum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    """A whole success, or an error of the request itself: goes to the caller."""

    ERROR = "error"
    """A whole answer by which the target says that it failed; it may have run."""

    BROKEN = "broken"
    """No whole answer to this request; it may have run."""

    TURNED_AWAY = "turned-away"
    """The target proved that it did not run the request."""

    MISPLACED = "misplaced"
    """Another target lives at that address and did not run it."""

    UNREACHABLE = "unreachable"
    """No connection was made, so nothing was sent."""


PROVED_NOT_RUN = frozenset({Result.TURNED_AWAY, Result.MISPLACED})
"""Results of a request that was sent by which the target proves that it has not run."""

MAX_UNCONNECTED_ATTEMPTS = 6
"""Attempts that may end without a connection, beyond the route's own limit of targets.
Each costs up to a connect timeout, so this bounds what a cut-off VM spends."""

MIN_TIME_LEFT_S = 0.02
"""Seconds that must be left for another attempt to make sense: a round trip and the
quickest work."""


class Step(enum.StrEnum):
    """What to do next."""

    TRY_AGAIN = "try-again"
    """Ask for another target."""

    WAIT = "wait"
    """Wait for an attempt that is still under way."""

    RELAY = "relay"
    """Give the caller the last whole answer."""

    ANSWER_NOT_RUN = "say-not-run"
    """Tell the caller that the work has not run, and when to come back."""

    ANSWER_UNKNOWN = "say-unknown"
    """Tell the caller that nothing is known of the work."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deadlines:
    """When things end for one request, in the VM's steady clock."""

    objective_at: float
    """Until when an answer is in time."""

    deadline_at: float
    """When the caller gets a final answer, whatever has happened."""


class Plan:
    """The plan of one request.

    Parameters
    ----------
    route : configuration.Route
        Its route, as it stood when the request was read.
    times : Times
        When things end for it.
    """

    def __init__(self, route: configuration.Route, times: Deadlines) -> None:
        self._route = route
        self.deadlines = times
        self._attempts = 0
        self._under_way = 0
        self._sent = 0
        self._committed = 0
        self._proved_not_run = 0
        self._has_error = False
        self._is_answered = False
        self._excluded: list[str] = []

    @property
    def attempts(self) -> int:
        """Attempts so far."""
        return self._attempts

    @property
    def sent(self) -> int:
        """Targets that the request was sent to so far."""
        return self._sent

    @property
    def may_have_run(self) -> bool:
        """Whether some target may have run the request."""
        return self._sent > self._proved_not_run

    @property
    def is_answered(self) -> bool:
        """Whether there is an answer that ends the request."""
        return self._is_answered

    @property
    def excluded(self) -> tuple[str, ...]:
        """Targets that it must not go to again."""
        return tuple(self._excluded)

    @property
    def may_retry_next(self) -> bool:
        """Whether the next attempt may be followed by another if it fails."""
        return self.is_idempotent and self._committed + 1 < self._route.max_attempts

    @property
    def may_send_backup(self) -> bool:
        """Whether the latest attempt may be followed by another."""
        return self.is_idempotent and self._committed < self._route.max_attempts

    @property
    def committed(self) -> int:
        """Targets that the request was sent to, or will be by an attempt under way.

        One that takes long to connect will be sent all the same. Counted only then, it
        would let the request go to more targets than its route allows.
        """
        return self._committed

    @property
    def is_idempotent(self) -> bool:
        """Whether the work may run more than once."""
        return self._route.work is services.Work.IDEMPOTENT

    def bring_deadline_forward(self, at: float) -> None:
        """Bring the deadline forward, if it is later."""
        deadline_at = min(at, self.deadlines.deadline_at)
        self.deadlines = dataclasses.replace(self.deadlines, deadline_at=deadline_at)

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time."""
        self.deadlines = Deadlines(
            self.deadlines.objective_at - seconds, self.deadlines.deadline_at - seconds
        )

    def start_attempt(self, target_id: str) -> None:
        """Take in that the request goes to a target."""
        self._attempts += 1
        self._under_way += 1
        self._committed += 1
        self._excluded.append(target_id)

    def mark_sent(self) -> None:
        """Take in that bytes of it are handed to a connection.

        From here on it counts as run until the target proves the contrary.
        """
        self._sent += 1

    def end_attempt(self, result: Result, now: float) -> Step:
        """Take in how an attempt ended; return what to do next."""
        self._under_way -= 1
        if result is Result.ANSWERED:
            self._is_answered = True
        if result is Result.UNREACHABLE:
            self._committed -= 1
        if result in PROVED_NOT_RUN:
            # Only this attempt is proved not to have run; another one of idempotent
            # work may have.
            self._proved_not_run += 1
        if result is Result.ERROR:
            self._has_error = True
        return self.decide_next(now)

    def abandon_attempt(self) -> None:
        """Take in that an attempt was broken off before it ended."""
        self._under_way -= 1

    def decide_next(self, now: float) -> Step:
        """Return what to do next."""
        if not self._is_answered and self._may_try_again(now):
            return Step.TRY_AGAIN
        return self.give_up()

    def give_up(self) -> Step:
        """Return what to do when no further target will be tried.

        An attempt that is under way may still be answered. Ending the request without
        it would leave its caller with an error while a target is at work.
        """
        if self._under_way and not self._is_answered:
            return Step.WAIT
        return self.decide_final()

    def decide_final(self) -> Step:
        """Return the final answer when nobody waits any longer."""
        if self._is_answered or self._has_error:
            return Step.RELAY
        return Step.ANSWER_UNKNOWN if self.may_have_run else Step.ANSWER_NOT_RUN

    def _may_try_again(self, now: float) -> bool:
        if now + MIN_TIME_LEFT_S >= self.deadlines.deadline_at:
            return False
        if self._committed >= self._route.max_attempts:
            return False
        if self._attempts >= self._route.max_attempts + MAX_UNCONNECTED_ATTEMPTS:
            return False
        return self.is_idempotent or not self.may_have_run
