"""Results of attempts, reported to dispatchers and recorded in log and metrics."""

from __future__ import annotations

import dataclasses

from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan

from . import request_recorder, run_dependencies, target_client

OUTCOMES = {
    plan.AttemptResult.ANSWERED: messages.Outcome.GOOD,
    plan.AttemptResult.ERROR: messages.Outcome.FAILED,
    plan.AttemptResult.BROKEN: messages.Outcome.FAILED,
    plan.AttemptResult.TURNED_AWAY: messages.Outcome.SHED,
    plan.AttemptResult.MISPLACED: messages.Outcome.MISPLACED,
    plan.AttemptResult.UNREACHABLE: messages.Outcome.UNREACHABLE,
}
"""Outcome that is reported to the dispatcher for each result of an attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedSlot:
    """A target slot that was granted to a request."""

    request: messages.SlotRequest
    """The slot request that was granted."""

    grant: messages.Grant
    """The grant of the slot."""

    wait_time: float
    """Seconds from the slot request to the grant."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended."""

    outcome: messages.Outcome
    """Outcome as reported to the dispatcher."""

    why: str
    """Reason, as written to the log."""

    duration: float
    """Seconds from the start of the attempt to its end."""

    has_crashed: bool = False
    """Whether the target crashed during the attempt."""

    rate_limit: float | None = None
    """Rate limit announced in the target's answer, in requests per second; infinite if
    the answer announces none, None if there is no answer or its limit is malformed."""

    is_resent: bool = False
    """Whether the request was resent because a reused connection broke."""

    relay: str = ""
    """VM that relayed the connection; empty for a direct one."""

    rest: float | None = None
    """Seconds for which the target wants no requests of this VM; None if its answer
    asks for no rest."""

    is_leaving: bool = False
    """Whether the target's answer states that it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedRequest:
    """Fields that identify the request in the log lines of its attempts."""

    request_id: str
    """Request id sent by the caller."""

    fingerprint: str
    """Fingerprint of the request's content."""

    service: str
    """Service that the request is routed to."""


UNUSED = AttemptEnd(messages.Outcome.UNUSED, "", 0.0)
"""End of an attempt that was granted a slot but sent nothing."""


def make_end(attempt: target_client.Attempt, duration: float) -> AttemptEnd:
    """Return how an attempt ended that was not cancelled."""
    outcome = OUTCOMES[attempt.result]
    if not attempt.is_evidence:
        outcome = messages.Outcome.UNUSED
    return AttemptEnd(
        outcome,
        attempt.detail,
        duration,
        rate_limit=attempt.rate_limit,
        is_resent=attempt.is_resent,
        relay=attempt.relay,
        rest=attempt.rest,
        is_leaving=attempt.is_leaving,
    )


def report(
    dependencies: run_dependencies.RunDependencies, slot: GrantedSlot, end: AttemptEnd
) -> None:
    """Release the slot and report the result of the attempt."""
    request = slot.request
    dependencies.slots.report(
        messages.Report(
            request.ticket,
            request.shard,
            slot.grant.target_id,
            end.outcome,
            end.duration,
            dependencies.vm,
            end.rate_limit,
            end.is_resent,
        )
    )


def record(
    dependencies: run_dependencies.RunDependencies,
    logged_request: LoggedRequest,
    slot: GrantedSlot,
    end: AttemptEnd,
) -> None:
    """Record an attempt in the log and the metrics."""
    dependencies.recorder.record_attempt(
        request_recorder.AttemptRecord(
            logged_request.request_id,
            logged_request.fingerprint,
            logged_request.service,
            slot.grant,
            slot.wait_time,
            end.outcome,
            end.why,
            end.duration,
            number=slot.request.attempt,
            has_crashed=end.has_crashed,
            rate_limit=end.rate_limit,
            relay=end.relay,
            rest=end.rest,
            is_leaving=end.is_leaving,
        )
    )
