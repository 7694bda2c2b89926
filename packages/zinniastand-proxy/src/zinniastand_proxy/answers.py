"""Answers to callers: a target's complete answer, or a problem document."""

from __future__ import annotations

import dataclasses
import json
import math

from zinniastand_core import outcomes

OUTCOME_HEADER = b"x-outcome"
REASON_HEADER = b"x-outcome-reason"
PROBLEM_TYPE_PREFIX = "urn:zinniastand:problem:"

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
    """A complete HTTP answer."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[bytes, bytes], ...]
    """End-to-end headers, names in lower case."""

    body: bytes
    """The complete body."""


def make_problem_answer(refusal: outcomes.Refusal, detail: str, now: float) -> Answer:
    """Return an answer that the proxy makes itself, with an RFC 9457 problem body.

    Parameters
    ----------
    refusal : outcomes.Refusal
        Outcome and reason to report.
    detail : str
        Explanation for the caller, or empty for the outcome's default text.
    now : float
        Unix seconds, from which ``Retry-After`` counts.

    Returns
    -------
    Answer
        Problem document as JSON, with the outcome and reason in headers too.
    """
    status = outcomes.find_status(refusal.reason)
    problem: dict[str, object] = {
        "type": PROBLEM_TYPE_PREFIX + refusal.reason,
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
        delay_s = max(1, math.ceil(refusal.retry_at - now))
        headers.append((b"retry-after", str(delay_s).encode()))
    return Answer(status, tuple(headers), json.dumps(problem).encode())


def make_bad_request_answer(status: int, detail: str, now: float) -> Answer:
    """Return the answer to a malformed request.

    Parameters
    ----------
    status : int
        HTTP status; replaces the default status of the reason ``bad-request``.
    detail : str
        What is wrong with the request.
    now : float
        Unix seconds.
    """
    refusal = outcomes.Refusal(outcomes.Outcome.NOT_RUN, outcomes.Reason.BAD_REQUEST)
    answer = make_problem_answer(refusal, detail, now)
    return dataclasses.replace(answer, status=status)
