"""Names of the headers that a platform's callers, targets and the proxy exchange."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in lower case."""

    request_id: bytes
    """Identifies one attempt of a caller; the target's answer repeats the value."""

    time_left: bytes
    """Milliseconds for which the sender still waits, as an integer."""

    expected_target: bytes
    """Identifies the only target that may run the request."""

    signature: bytes
    """A target's signature of its answer; present on every success."""

    credentials: tuple[bytes, ...]
    """On a caller's request: headers that authenticate the caller."""

    authorization: bytes
    """On a caller's request: the key of its client account."""

    account: bytes
    """On a request to a target: name of the caller's client account."""

    rate_limit: bytes
    """On a target's answer: the requests per second that the target accepts from all
    VMs together, for as long as its answers state it."""

    not_run: bytes
    """On a target's answer: the target did not run the request."""

    leaving: bytes
    """On a target's answer: the target is leaving and wants no more requests."""
