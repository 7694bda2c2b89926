"""Error replies that the proxy generates itself."""

from __future__ import annotations

import json

from . import calls

MEDIA_TYPE = b"application/problem+json"
"""Problem details (RFC 9457)."""


def make_problem_reply(
    status: int, reason: str, retry_after: float | None = None
) -> calls.Reply:
    """Return a reply with problem details.

    Parameters
    ----------
    status : int
        Status code.
    reason : str
        Short machine-readable reason.
    retry_after : float, optional
        Seconds after which the caller may retry; without it the reply has no
        retry-after header.
    """
    headers = [(b"content-type", MEDIA_TYPE)]
    if retry_after is not None:
        headers.append((b"retry-after", f"{retry_after:.3f}".encode()))
    body = json.dumps({"status": status, "reason": reason}).encode()
    return calls.Reply(status, headers, body)
