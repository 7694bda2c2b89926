"""Why one request was not served, was late, or was tried more than once.

A request is judged by the lines of its attempts and of its answer alone, so that lines
of other VMs and other requests may be missing.
"""

from __future__ import annotations

import dataclasses
import enum

KNOWN_DOUBT = 0.3
"""Doubt from which a target counts as believed failing when it was chosen: from there
on, work that may run once waits for a better one."""

SLOW_FACTOR = 2.0
"""Times the expected time from which work counts as slower than expected."""

LEAST_FAILED = 400
OWN_SERVER_ERRORS = frozenset({502, 503, 504})


class Result(enum.StrEnum):
    """What the caller got."""

    SERVED = "served"
    """A whole answer of a target, in time as far as the lines tell."""

    LATE = "late"
    """A whole answer of a target after the route's objective."""

    REFUSED = "refused"
    """The word that the request has not run."""

    FAILED = "failed"
    """An error, or nothing until the deadline."""

    DECLINED = "declined"
    """No route leads anywhere: nothing that the fleet owes."""


class Cause(enum.StrEnum):
    """Why a request was not served in time."""

    QUEUE = "refused: queue too long"
    QUARANTINED = "refused: it crashes its targets"
    RETRY_BUDGET = "refused: no retries left after a target turned it away"
    NO_TARGET = "refused: no target"
    NO_KNOWLEDGE = "refused: no configuration yet"
    STOP = "ended by a stop"
    ALL_TURNED_AWAY = "refused: turned away by every target that it may go to"
    REFUSED_OTHER = "refused: another reason"
    SURPRISE = "failed: target that nobody knew to fail"
    KNOWN = "failed: target believed failing"
    NO_RETRY_LEFT = "failed: no retries left after a failed attempt"
    CRASHED = "failed: its target crashed"
    AGAIN = "failed: a later attempt failed too"
    PATH = "failed: no path to the target from this VM"
    SILENT = "failed: target silent until the deadline"
    DEADLINE = "failed: waited until the deadline"
    CALLER_LEFT = "caller left"
    LATE_QUEUE = "late: waited for a target"
    LATE_AGAIN = "late: an earlier attempt failed"
    LATE_SLOW = "late: slower than expected"
    LATE_WORK = "late: its own time of work"
    FAULT = "failed: fault of the program"


REFUSALS = {
    "overloaded": Cause.QUEUE,
    "too-late": Cause.QUEUE,
    "retry-budget": Cause.RETRY_BUDGET,
    "no-target": Cause.NO_TARGET,
    "no-configuration": Cause.NO_KNOWLEDGE,
    "stopping": Cause.STOP,
    "quarantined": Cause.QUARANTINED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at a target."""

    target: str
    """The target."""

    service: str
    """Its service."""

    doubt: float
    """Believed chance that it fails, when it was chosen."""

    expected: float
    """Milliseconds that it was expected to take."""

    waited: float
    """Milliseconds until it was chosen."""

    outcome: str
    """How it ended."""

    why: str
    """What ended it."""

    took: float
    """Milliseconds that it took."""

    number: int = 1
    """Which target of its request it went to."""

    dispatcher: str = ""
    """VM that gave the slot."""

    fingerprint: str = ""
    """Names what the request asks for; empty where the line does not tell."""

    has_crashed: bool = False
    """Whether the target crashed meanwhile."""

    limit: float | None = None
    """Requests a second that the target takes; None where it names no limit."""

    second: int = 0
    """When it ended, in whole seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What the caller got."""

    status: int
    """Status code."""

    why: str
    """The target's status, or why there is none."""

    took: float
    """Milliseconds from the request's first byte."""

    objective: float | None
    """Milliseconds within which it is in time; None where the line does not tell."""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What became of a request, and why."""

    result: Result
    """What the caller got."""

    cause: Cause | None
    """Why it was not served in time; None where it was."""


def judge(answer: Answer, attempts: tuple[Attempt, ...]) -> Verdict:
    """Return what became of a request."""
    if answer.status < LEAST_FAILED:
        if answer.objective is None or answer.took <= answer.objective:
            return Verdict(Result.SERVED, None)
        return Verdict(Result.LATE, _find_late_cause(answer, attempts))
    if answer.why == "no-route":
        return Verdict(Result.DECLINED, None)
    if answer.why == "caller left":
        return Verdict(Result.FAILED, Cause.CALLER_LEFT)
    if answer.status == 503 and not any(one.outcome == "failed" for one in attempts):
        return Verdict(Result.REFUSED, _find_refusal_cause(answer, attempts))
    return Verdict(Result.FAILED, _find_failure_cause(answer, attempts))


def _find_refusal_cause(answer: Answer, attempts: tuple[Attempt, ...]) -> Cause:
    if answer.why in REFUSALS or not attempts:
        return REFUSALS.get(answer.why, Cause.REFUSED_OTHER)
    if all(one.outcome == "unreachable" for one in attempts):
        return Cause.PATH
    return Cause.ALL_TURNED_AWAY


def _find_failure_cause(answer: Answer, attempts: tuple[Attempt, ...]) -> Cause:
    if answer.why == "stopping":
        return Cause.STOP
    if answer.why == "unexpected error":
        return Cause.FAULT
    tried = [one for one in attempts if one.outcome not in ("shed", "misplaced")]
    if answer.why == "retry-budget":
        return Cause.NO_RETRY_LEFT
    if not tried:
        return Cause.DEADLINE
    if all(one.outcome == "unreachable" for one in tried):
        return Cause.PATH
    sent = [one for one in tried if one.outcome != "unreachable"]
    last = sent[-1]
    if last.outcome == "silent":
        return Cause.SILENT
    if last.has_crashed:
        return Cause.CRASHED
    if len(sent) > 1:
        return Cause.AGAIN
    return Cause.KNOWN if last.doubt >= KNOWN_DOUBT else Cause.SURPRISE


def _find_late_cause(answer: Answer, attempts: tuple[Attempt, ...]) -> Cause:
    objective = answer.objective or 0.0
    if not attempts:
        return Cause.LATE_QUEUE
    last = attempts[-1]
    if last.took > objective:
        is_slow = last.took > SLOW_FACTOR * last.expected
        return Cause.LATE_SLOW if is_slow else Cause.LATE_WORK
    if any(one.outcome != "good" for one in attempts[:-1]):
        return Cause.LATE_AGAIN
    if sum(one.waited for one in attempts) > answer.took - objective:
        return Cause.LATE_QUEUE
    is_slow = last.took > SLOW_FACTOR * last.expected
    return Cause.LATE_SLOW if is_slow else Cause.LATE_WORK
