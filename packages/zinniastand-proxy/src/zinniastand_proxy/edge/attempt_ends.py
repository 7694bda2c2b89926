"""How attempts at targets end, and who is told."""

from __future__ import annotations

import dataclasses

from zinniastand_core.dispatch import messages
from zinniastand_core.forwarding import plan

from . import request_notes, run_parts

OUTCOMES = {
    plan.Result.ANSWERED: messages.Outcome.GOOD,
    plan.Result.ERROR: messages.Outcome.FAILED,
    plan.Result.BROKEN: messages.Outcome.FAILED,
    plan.Result.TURNED_AWAY: messages.Outcome.SHED,
    plan.Result.MISPLACED: messages.Outcome.MISPLACED,
    plan.Result.UNREACHABLE: messages.Outcome.UNREACHABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A slot of a target that this request holds."""

    ask: messages.SlotRequest
    """What was asked."""

    grant: messages.Grant
    """The slot."""

    waited: float
    """Seconds until it was granted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended."""

    outcome: messages.Outcome
    """What it means for its target."""

    why: str
    """What ended it."""

    took: float
    """Seconds that it took."""

    has_crashed: bool = False
    """Whether the target crashed meanwhile."""

    rate_limit: float | None = None
    """Requests a second that the target takes; None where nothing tells."""

    is_resent: bool = False
    """Whether it was sent once more, since a kept connection broke under it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """The request of an attempt, as it is noted."""

    request_id: str
    """Name that the caller gave it."""

    fingerprint: str
    """Names what it asks for."""

    service: str
    """The service that it goes to."""


UNUSED = Ended(messages.Outcome.UNUSED, "", 0.0)
"""A slot was given and nothing was sent."""


def report(parts: run_parts.Parts, place: Place, ended: Ended) -> None:
    """Give the slot back, and tell how the attempt went."""
    ask = place.ask
    parts.slots.report(
        messages.Report(
            ask.ticket,
            ask.shard,
            place.grant.target_id,
            ended.outcome,
            ended.took,
            parts.vm,
            ended.rate_limit,
            ended.is_resent,
        )
    )


def note(parts: run_parts.Parts, asked: Asked, place: Place, ended: Ended) -> None:
    """Note an attempt in the log and the metrics."""
    parts.notes.note_attempt(
        request_notes.Attempt(
            asked.request_id,
            asked.fingerprint,
            asked.service,
            place.grant,
            place.waited,
            ended.outcome,
            ended.why,
            ended.took,
            number=place.ask.attempt,
            has_crashed=ended.has_crashed,
            rate_limit=ended.rate_limit,
        )
    )
