"""Decides after each attempt of a request: another target, or the final answer.

A plan keeps three promises to callers. Work that may run only once is sent to a second
target only after proof that the first did not run it. A caller gets the answer "not
run" only if no attempt can have run. Before the deadline, an attempt in flight is given
up only for an answer of another target.
"""

from __future__ import annotations

import dataclasses
import enum

from .. import services
from ..deployment import configuration


class AttemptResult(enum.StrEnum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    """Complete answer: a success or an error of the request itself. It is relayed
    to the caller."""

    ERROR = "error"
    """Complete answer in which the target reports a failure; the work may have run."""

    BROKEN = "broken"
    """No complete answer to this request; the work may have run."""

    TURNED_AWAY = "turned-away"
    """Refused by the target, with proof that it did not run the work."""

    MISPLACED = "misplaced"
    """Another target answered at that address and did not run the work."""

    UNREACHABLE = "unreachable"
    """No connection was established, so nothing was sent."""


PROVED_NOT_RUN = frozenset({AttemptResult.TURNED_AWAY, AttemptResult.MISPLACED})
"""Results that prove that the work of a request that was sent has not run."""

MAX_UNCONNECTED_ATTEMPTS = 6
"""Attempts allowed beyond the route's limit of targets, to replace those that end
without a connection. Each takes up to a connect timeout, so a VM that is cut off must
not start too many."""

MIN_TIME_LEFT_S = 0.02
"""Minimum seconds until the deadline for another attempt: a round trip and the quickest
work."""


class NextStep(enum.StrEnum):
    """Next step of a request."""

    TRY_AGAIN = "try-again"
    """Request a slot of another target."""

    WAIT = "wait"
    """Wait for an attempt that is still in flight."""

    RELAY = "relay"
    """Relay the last complete answer to the caller."""

    ANSWER_NOT_RUN = "say-not-run"
    """Answer that the work has not run, and when to try again."""

    ANSWER_UNKNOWN = "say-unknown"
    """Answer that it is unknown whether the work has run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deadlines:
    """Time limits of one request, in seconds of the VM's monotonic clock."""

    objective_at: float
    """Time until which an answer counts as on time."""

    deadline_at: float
    """Time at which the caller gets a final answer, whatever the attempts did."""


class Plan:
    """State of one request's attempts, and the decisions that follow from it.

    Parameters
    ----------
    route : configuration.Route
        Route in force when the request was read.
    times : Deadlines
        Time limits of the request.
    """

    def __init__(self, route: configuration.Route, times: Deadlines) -> None:
        self._route = route
        self.deadlines = times
        self._attempts = 0
        self._in_flight = 0
        self._sent = 0
        self._committed = 0
        self._proved_not_run = 0
        self._has_error = False
        self._is_answered = False
        self._excluded: list[str] = []

    @property
    def attempts(self) -> int:
        """Number of attempts started."""
        return self._attempts

    @property
    def sent(self) -> int:
        """Number of targets that the request was sent to."""
        return self._sent

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return self._sent > self._proved_not_run

    @property
    def is_answered(self) -> bool:
        """Whether an answer has arrived that ends the request."""
        return self._is_answered

    @property
    def excluded(self) -> tuple[str, ...]:
        """Targets that the request must not go to again."""
        return tuple(self._excluded)

    @property
    def may_retry_next(self) -> bool:
        """Whether a further attempt may follow if the next one fails."""
        return self.is_idempotent and self._committed + 1 < self._route.max_attempts

    @property
    def may_send_backup(self) -> bool:
        """Whether a backup attempt may be sent beside the latest one."""
        return self.is_idempotent and self._committed < self._route.max_attempts

    @property
    def committed(self) -> int:
        """Number of targets that the request was sent to or may still be sent to.

        An attempt that is slow to connect sends the request later. If it counted only
        then, the request could go to more targets than its route allows.
        """
        return self._committed

    @property
    def is_idempotent(self) -> bool:
        """Whether the work may run more than once."""
        return self._route.work is services.Work.IDEMPOTENT

    def bring_deadline_forward(self, at: float) -> None:
        """Set the deadline to `at` if it is later than that."""
        deadline_at = min(at, self.deadlines.deadline_at)
        self.deadlines = dataclasses.replace(self.deadlines, deadline_at=deadline_at)

    def compensate_suspension(self, seconds: float) -> None:
        """Move the deadlines back by the duration of a suspension in seconds.

        The clock stood still during the suspension, so they are that much closer.
        """
        self.deadlines = Deadlines(
            self.deadlines.objective_at - seconds, self.deadlines.deadline_at - seconds
        )

    def start_attempt(self, target_id: str) -> None:
        """Record that an attempt at a target starts."""
        self._attempts += 1
        self._in_flight += 1
        self._committed += 1
        self._excluded.append(target_id)

    def mark_sent(self) -> None:
        """Record that bytes of the request are written to a connection.

        From then on, the work counts as run unless the target proves that it did not
        run.
        """
        self._sent += 1

    def begin_answer(self, deadline_at: float) -> None:
        """Record that an answer begins to go out to the caller.

        It ends the request: nothing is tried elsewhere, even if it is truncated.
        `deadline_at` is the time by which it must have been read.
        """
        self._is_answered = True
        self.deadlines = dataclasses.replace(self.deadlines, deadline_at=deadline_at)

    def end_attempt(self, result: AttemptResult, now: float) -> NextStep:
        """Record how an attempt ended; return the next step."""
        self._in_flight -= 1
        if result is AttemptResult.ANSWERED:
            self._is_answered = True
        if result is AttemptResult.UNREACHABLE:
            self._committed -= 1
        if result in PROVED_NOT_RUN:
            # The proof holds for this attempt only: another attempt may have run
            # idempotent work.
            self._proved_not_run += 1
        if result is AttemptResult.ERROR:
            self._has_error = True
        return self.decide_next(now)

    def abandon_attempt(self) -> None:
        """Record that an attempt was cancelled before it ended."""
        self._in_flight -= 1

    def decide_next(self, now: float) -> NextStep:
        """Return the next step at the time `now`."""
        if not self._is_answered and self._may_try_again(now):
            return NextStep.TRY_AGAIN
        return self.give_up()

    def give_up(self) -> NextStep:
        """Return the next step if no further target will be tried.

        An attempt in flight may still be answered. Ending the request before that would
        give its caller an error while a target is working on it.
        """
        if self._in_flight and not self._is_answered:
            return NextStep.WAIT
        return self.decide_final()

    def decide_final(self) -> NextStep:
        """Return the final answer, without waiting for attempts in flight."""
        if self._is_answered or self._has_error:
            return NextStep.RELAY
        return NextStep.ANSWER_UNKNOWN if self.may_have_run else NextStep.ANSWER_NOT_RUN

    def _may_try_again(self, now: float) -> bool:
        if now + MIN_TIME_LEFT_S >= self.deadlines.deadline_at:
            return False
        if self._committed >= self._route.max_attempts:
            return False
        if self._attempts >= self._route.max_attempts + MAX_UNCONNECTED_ATTEMPTS:
            return False
        return self.is_idempotent or not self.may_have_run
