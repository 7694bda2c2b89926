"""Answers that the proxy makes itself: outcome, reason and HTTP status."""

from __future__ import annotations

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Whether the work ran, as far as known when the proxy itself answers."""

    NOT_RUN = "not-run"
    """The work provably never started; the request is safe to send again."""

    UNKNOWN = "unknown"
    """The work may have run; the caller must check before sending it again."""

    DONE = "done"
    """The work ran under an earlier request with the same key."""


class Reason(enum.StrEnum):
    """Why the proxy answers itself instead of relaying a target's answer."""

    NO_ROUTE = "no-route"
    BAD_REQUEST = "bad-request"
    NO_BUNDLE = "no-bundle"
    STOPPING = "stopping"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_TOO_OLD = "key-too-old"
    KEY_FROM_THE_FUTURE = "key-from-the-future"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_DONE = "key-done"
    KEY_UNKNOWN = "key-unknown"
    LOG_DOWN = "log-down"
    CLAIM_LATE = "claim-late"
    OVER_LIMIT = "over-limit"
    OVERLOADED = "overloaded"
    NO_TARGET = "no-target"
    REFUSED_BY_TARGETS = "refused-by-targets"
    DEADLINE = "deadline"
    ANSWER_LOST = "answer-lost"
    ANSWER_CUT = "answer-cut"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that the proxy makes itself."""

    outcome: Outcome
    """Whether the work ran, as far as known."""

    reason: Reason
    """Why no target's answer is relayed."""

    retry_at: float | None = None
    """Earliest useful time of a retry, on the clock of the code that uses this module.

    None if no time is known.
    """

    earlier_status: int | None = None
    """HTTP status of the earlier answer, where the outcome is DONE."""


STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.KEY_MALFORMED: 400,
    Reason.KEY_TOO_OLD: 422,
    Reason.KEY_FROM_THE_FUTURE: 422,
    Reason.KEY_REUSED: 422,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_DONE: 409,
    Reason.KEY_UNKNOWN: 409,
    Reason.OVER_LIMIT: 429,
    Reason.DEADLINE: 504,
    Reason.ANSWER_LOST: 502,
    Reason.ANSWER_CUT: 502,
}
UNAVAILABLE = 503


def find_status(reason: Reason) -> int:
    """Return the HTTP status for a reason; 503 unless the reason has its own."""
    return STATUS_BY_REASON.get(reason, UNAVAILABLE)
