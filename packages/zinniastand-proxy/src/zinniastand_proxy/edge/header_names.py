"""The headers by which a platform's callers and targets say what they mean."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, in lower case."""

    request_id: bytes
    """Names one attempt of a caller; a target's answer repeats it."""

    time_left: bytes
    """Milliseconds that the sender still waits, as whole digits."""

    expected_target: bytes
    """Names the one target that may run the request."""

    signature: bytes
    """A target's signature of its answer; on every success."""

    credentials: tuple[bytes, ...]
    """On a caller's request: as whom it asks."""

    rate_limit: bytes
    """On a target's answer: the requests a second that it takes from all VMs together,
    for as long as its answers say so."""

    not_run: bytes
    """On a target's answer: it did not run the request."""
