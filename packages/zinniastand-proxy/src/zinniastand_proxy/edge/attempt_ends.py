"""How attempts at targets end, and who is told."""

from __future__ import annotations

import dataclasses

from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan

from . import request_recorder, run_dependencies

OUTCOMES = {
    plan.Result.ANSWERED: messages.Outcome.GOOD,
    plan.Result.ERROR: messages.Outcome.FAILED,
    plan.Result.BROKEN: messages.Outcome.FAILED,
    plan.Result.TURNED_AWAY: messages.Outcome.SHED,
    plan.Result.MISPLACED: messages.Outcome.MISPLACED,
    plan.Result.UNREACHABLE: messages.Outcome.UNREACHABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot of a target that this request holds."""

    request: messages.SlotRequest
    """What was asked."""

    grant: messages.Grant
    """The slot."""

    wait_time: float
    """Seconds until it was granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended."""

    outcome: messages.Outcome
    """What it means for its target."""

    why: str
    """What ended it."""

    duration: float
    """Seconds that it took."""

    has_crashed: bool = False
    """Whether the target crashed meanwhile."""

    rate_limit: float | None = None
    """Requests a second that the target takes; None where nothing tells."""

    is_resent: bool = False
    """Whether it was sent once more, since a kept connection broke under it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoggedRequest:
    """The request of an attempt, as it is noted."""

    request_id: str
    """Name that the caller gave it."""

    fingerprint: str
    """Names what it asks for."""

    service: str
    """The service that it goes to."""


UNUSED = AttemptEnd(messages.Outcome.UNUSED, "", 0.0)
"""A slot was given and nothing was sent."""


def report(
    dependencies: run_dependencies.RunDependencies, slot: HeldSlot, end: AttemptEnd
) -> None:
    """Give the slot back, and tell how the attempt went."""
    ask = slot.request
    dependencies.slots.report(
        messages.Report(
            ask.ticket,
            ask.shard,
            slot.grant.target_id,
            end.outcome,
            end.duration,
            dependencies.vm,
            end.rate_limit,
            end.is_resent,
        )
    )


def record(
    parts: run_dependencies.RunDependencies,
    asked: LoggedRequest,
    slot: HeldSlot,
    ended: AttemptEnd,
) -> None:
    """Note an attempt in the log and the metrics."""
    parts.recorder.record_attempt(
        request_recorder.Attempt(
            asked.request_id,
            asked.fingerprint,
            asked.service,
            slot.grant,
            slot.wait_time,
            ended.outcome,
            ended.why,
            ended.duration,
            number=slot.request.attempt,
            has_crashed=ended.has_crashed,
            rate_limit=ended.rate_limit,
        )
    )
