"""Answers to callers: a target's whole answer, or one of the proxy's own."""

from __future__ import annotations

import dataclasses
import json
import math

from zinniastand_core import outcomes

OUTCOME_HEADER = b"x-outcome"
REASON_HEADER = b"x-outcome-reason"
PROBLEM_TYPE = "urn:zinniastand:problem:"

TITLES = {
    outcomes.Outcome.NOT_RUN: "The request was not run",
    outcomes.Outcome.UNKNOWN: "The request may have run",
    outcomes.Outcome.DONE: "The request ran before, under the same key",
}
DETAILS = {
    outcomes.Outcome.NOT_RUN: "It is safe to send it again.",
    outcomes.Outcome.UNKNOWN: "Look it up before sending it again with a new key.",
    outcomes.Outcome.DONE: "It was not run again; earlier_status tells how it ended.",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer, whole."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers, names in lower case."""

    body: bytes
    """The whole body."""


def make_problem_answer(refusal: outcomes.Refusal, detail: str, now: float) -> Answer:
    """Return the answer of the proxy's own, with a body after RFC 9457."""
    status = outcomes.find_status(refusal.reason)
    problem: dict[str, object] = {
        "type": PROBLEM_TYPE + refusal.reason,
        "title": TITLES[refusal.outcome],
        "status": status,
        "detail": detail or DETAILS[refusal.outcome],
        "outcome": refusal.outcome,
        "reason": refusal.reason,
    }
    if refusal.earlier_status is not None:
        problem["earlier_status"] = refusal.earlier_status
    headers = [
        (b"content-type", b"application/problem+json"),
        (OUTCOME_HEADER, refusal.outcome.encode()),
        (REASON_HEADER, refusal.reason.encode()),
        (b"cache-control", b"no-store"),
    ]
    if refusal.retry_at is not None:
        wait = max(1, math.ceil(refusal.retry_at - now))
        headers.append((b"retry-after", str(wait).encode()))
    return Answer(status, tuple(headers), json.dumps(problem).encode())


def make_bad_request_answer(status: int, detail: str, now: float) -> Answer:
    """Return the answer to a request that is not well formed."""
    refusal = outcomes.Refusal(outcomes.Outcome.NOT_RUN, outcomes.Reason.BAD_REQUEST)
    answer = make_problem_answer(refusal, detail, now)
    return dataclasses.replace(answer, status=status)
