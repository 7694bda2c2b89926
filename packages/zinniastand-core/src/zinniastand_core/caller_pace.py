"""Decides how long a caller may take for the next bytes of its answer.

Load pattern: callers that read nothing, or a few bytes at a time, and so hold memory of
the VM and a slot of a target for as long as they like.
"""

from __future__ import annotations

import dataclasses
import enum

MIN_RATE_BYTES_PER_S = 4096
"""Average rate below which a caller is disconnected. The slowest that is served takes
an answer of 90 kB in 22 s."""


class SlowReason(enum.StrEnum):
    """Why a caller counts as too slow."""

    IDLE = "idle"
    """It took nothing for the idle timeout."""

    RATE = "rate"
    """It took less than the minimum rate on average."""


@dataclasses.dataclass(slots=True)
class CallerPace:
    """How fast one caller takes one answer.

    Only time in which bytes were ready for the caller counts, so that a slow target is
    not held against it.
    """

    idle_timeout: float
    """Seconds for which it may take nothing; also the time that it may lag behind the
    minimum rate."""

    taken: int = 0
    """Bytes that it has taken."""

    waited: float = 0.0
    """Seconds for which bytes were ready and not taken."""

    def find_time_allowed(self) -> float:
        """Return the seconds within which the next bytes must be taken."""
        lag_allowed = self.idle_timeout + self.taken / MIN_RATE_BYTES_PER_S
        return max(0.0, min(self.idle_timeout, lag_allowed - self.waited))

    def find_reason(self, waited: float) -> SlowReason:
        """Return why the caller is too slow that took nothing for `waited` seconds."""
        return SlowReason.IDLE if waited >= self.idle_timeout else SlowReason.RATE

    def record(self, size: int, seconds: float) -> None:
        """Record that `size` bytes were taken within `seconds`."""
        self.taken += size
        self.waited += seconds
