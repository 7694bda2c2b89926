"""Answers of the proxy's own."""

from __future__ import annotations

import json

from . import calls

MEDIA_TYPE = b"application/problem+json"
"""Problem details (RFC 9457)."""


def make_problem_reply(
    status: int, reason: str, pause: float | None = None
) -> calls.Reply:
    """Return an answer that gives its reason.

    Parameters
    ----------
    status : int
        Status code.
    reason : str
        Why, in a word or two.
    pause : float, optional
        Seconds after which the caller may come back.
    """
    headers = [(b"content-type", MEDIA_TYPE)]
    if pause is not None:
        headers.append((b"retry-after", f"{pause:.3f}".encode()))
    body = json.dumps({"status": status, "reason": reason}).encode()
    return calls.Reply(status, headers, body)
