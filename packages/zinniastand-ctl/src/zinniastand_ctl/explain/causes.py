"""Find out why a request was not served, or was served late.

The verdict on a request depends only on the log lines of its own attempts and answer.
Logs of other VMs and other requests may be missing.
"""

from __future__ import annotations

import dataclasses
import enum

MIN_EXPECTED_FAILURE_PROBABILITY = 0.3
"""Estimated failure probability of a target from which on its failure is expected.

From this value on, work that may run only once waits for a better target."""

SLOW_FACTOR = 2.0
"""An attempt counts as slow if it lasts longer than its expected duration times this
factor."""

MIN_ERROR_STATUS = 400
"""Lowest HTTP status code of an error."""

OWN_SERVER_ERRORS = frozenset({502, 503, 504})
"""Status codes of errors that the proxy itself answers with."""


class Result(enum.StrEnum):
    """Result of a request for its caller."""

    SERVED = "served"
    """A complete answer of a target, in time as far as the log lines show."""

    LATE = "late"
    """A complete answer of a target, later than the route's objective."""

    REFUSED = "refused"
    """A 503 answer, which says that the request was not executed."""

    FAILED = "failed"
    """An error, or no answer before the deadline."""

    DECLINED = "declined"
    """No route matches the request, it has no valid key, or it exceeds the quota of its
    account. It does not count as a failure of the fleet."""


class Cause(enum.StrEnum):
    """Why a request was not served in time."""

    QUEUE_TOO_LONG = "refused: queue too long"
    QUARANTINED = "refused: it crashes its targets"
    RETRY_BUDGET = "refused: no retries left after a target turned it away"
    NO_TARGET = "refused: no target"
    NO_CONFIGURATION = "refused: no configuration yet"
    NO_MEMORY = "refused: no memory left at this VM"
    UNPROVEN_CONFIGURATION = "refused: its key may have been revoked"
    UNAUTHENTICATED = "declined: no valid key"
    OVER_QUOTA = "declined: quota of its account exceeded"
    STOP = "ended by a stop"
    ALL_TURNED_AWAY = "refused: turned away by every target that it may go to"
    REFUSED_OTHER = "refused: another reason"
    UNEXPECTED_FAILURE = "failed: target that nobody knew to fail"
    EXPECTED_FAILURE = "failed: target believed failing"
    NO_RETRY_LEFT = "failed: no retries left after a failed attempt"
    TARGET_CRASHED = "failed: its target crashed"
    RETRY_FAILED = "failed: a later attempt failed too"
    NO_PATH = "failed: no path to the target from this VM"
    SILENT_TARGET = "failed: target silent until the deadline"
    DEADLINE = "failed: waited until the deadline"
    CALLER_DISCONNECTED = "caller left"
    LATE_QUEUE = "late: waited for a target"
    LATE_RETRY = "late: an earlier attempt failed"
    LATE_SLOW = "late: slower than expected"
    LATE_PROCESSING = "late: its own time of work"
    INTERNAL_ERROR = "failed: fault of the program"


REFUSAL_CAUSES = {
    "overloaded": Cause.QUEUE_TOO_LONG,
    "too-late": Cause.QUEUE_TOO_LONG,
    "retry-budget": Cause.RETRY_BUDGET,
    "no-target": Cause.NO_TARGET,
    "no-configuration": Cause.NO_CONFIGURATION,
    "no-memory": Cause.NO_MEMORY,
    "configuration-unproven": Cause.UNPROVEN_CONFIGURATION,
    "stopping": Cause.STOP,
    "quarantined": Cause.QUARANTINED,
}


DECLINED_CAUSES = {
    "no-route": None,
    "unauthenticated": Cause.UNAUTHENTICATED,
    "over-quota": Cause.OVER_QUOTA,
}
"""Causes of answers that are right for their requests, by the reason in the log."""


UNSENT_OUTCOMES = frozenset({"unreachable", "unused"})
"""Outcomes of attempts that sent nothing to a target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a target, from its log line."""

    target: str
    """Id of the target."""

    service: str
    """Service of the target."""

    failure_probability: float
    """Estimated probability that it fails, at the time it was chosen."""

    expected_ms: float
    """Expected duration in milliseconds."""

    wait_time_ms: float
    """Milliseconds that the request waited for the target."""

    outcome: str
    """How it ended, from the field `outcome` of its log line."""

    why: str
    """Reason for the outcome, such as a status code."""

    duration_ms: float
    """Milliseconds from its start to its end."""

    number: int = 1
    """Its number among the attempts of its request, from 1."""

    dispatcher: str = ""
    """VM whose dispatcher granted the slot."""

    fingerprint: str = ""
    """Fingerprint of what the request asks for; empty where the log line has none."""

    has_crashed: bool = False
    """Whether the target crashed during the attempt."""

    rate_limit: float | None = None
    """Requests per second that the target accepts; None where it announced no limit."""

    end_second: int = 0
    """Unix time of its end, in whole seconds."""

    relay: str = ""
    """VM that relayed its connection; empty for a direct one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller, from its log line."""

    status: int
    """HTTP status code."""

    why: str
    """The target's status, or the reason why no target answered."""

    duration_ms: float
    """Milliseconds since the request's first byte."""

    objective_ms: float | None
    """Latency objective of the route in milliseconds; None where the log line has
    none."""

    is_truncated: bool = False
    """Whether it broke off after it had begun to go out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of a request and the cause of a bad one."""

    result: Result
    """Result for the caller."""

    cause: Cause | None
    """Why the request was not served in time; None if it was, or if no route
    matched."""


def judge(answer: Answer, attempts: tuple[Attempt, ...]) -> Verdict:
    """Return the result of a request and its cause.

    Parameters
    ----------
    answer : Answer
        The answer that the caller got.
    attempts : tuple of Attempt
        Attempts of the request in the order of their log lines.
    """
    if answer.status < MIN_ERROR_STATUS and not answer.is_truncated:
        if answer.objective_ms is None or answer.duration_ms <= answer.objective_ms:
            return Verdict(Result.SERVED, None)
        return Verdict(Result.LATE, _find_late_cause(answer, attempts))
    if answer.why in DECLINED_CAUSES:
        return Verdict(Result.DECLINED, DECLINED_CAUSES[answer.why])
    if answer.why == "caller left":
        return Verdict(Result.FAILED, Cause.CALLER_DISCONNECTED)
    if answer.status == 503 and not any(
        attempt.outcome == "failed" for attempt in attempts
    ):
        return Verdict(Result.REFUSED, _find_refusal_cause(answer, attempts))
    return Verdict(Result.FAILED, _find_failure_cause(answer, attempts))


def _find_refusal_cause(answer: Answer, attempts: tuple[Attempt, ...]) -> Cause:
    if answer.why in REFUSAL_CAUSES or not attempts:
        return REFUSAL_CAUSES.get(answer.why, Cause.REFUSED_OTHER)
    if all(attempt.outcome in UNSENT_OUTCOMES for attempt in attempts):
        return Cause.NO_PATH
    return Cause.ALL_TURNED_AWAY


def _find_failure_cause(answer: Answer, attempts: tuple[Attempt, ...]) -> Cause:
    if answer.why == "stopping":
        return Cause.STOP
    if answer.why == "unexpected error":
        return Cause.INTERNAL_ERROR
    not_turned_away = [
        attempt for attempt in attempts if attempt.outcome not in ("shed", "misplaced")
    ]
    if answer.why == "retry-budget":
        return Cause.NO_RETRY_LEFT
    if not not_turned_away:
        return Cause.DEADLINE
    if all(attempt.outcome in UNSENT_OUTCOMES for attempt in not_turned_away):
        return Cause.NO_PATH
    reached = [
        attempt for attempt in not_turned_away if attempt.outcome not in UNSENT_OUTCOMES
    ]
    last = reached[-1]
    if last.outcome == "silent":
        return Cause.SILENT_TARGET
    if last.has_crashed:
        return Cause.TARGET_CRASHED
    if len(reached) > 1:
        return Cause.RETRY_FAILED
    return (
        Cause.EXPECTED_FAILURE
        if last.failure_probability >= MIN_EXPECTED_FAILURE_PROBABILITY
        else Cause.UNEXPECTED_FAILURE
    )


def _find_late_cause(answer: Answer, attempts: tuple[Attempt, ...]) -> Cause:
    objective = answer.objective_ms or 0.0
    if not attempts:
        return Cause.LATE_QUEUE
    last = attempts[-1]
    if last.duration_ms > objective:
        is_slow = last.duration_ms > SLOW_FACTOR * last.expected_ms
        return Cause.LATE_SLOW if is_slow else Cause.LATE_PROCESSING
    if any(attempt.outcome != "good" for attempt in attempts[:-1]):
        return Cause.LATE_RETRY
    if (
        sum(attempt.wait_time_ms for attempt in attempts)
        > answer.duration_ms - objective
    ):
        return Cause.LATE_QUEUE
    is_slow = last.duration_ms > SLOW_FACTOR * last.expected_ms
    return Cause.LATE_SLOW if is_slow else Cause.LATE_PROCESSING
