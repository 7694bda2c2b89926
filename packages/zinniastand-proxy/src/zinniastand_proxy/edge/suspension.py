"""Detects that this VM was suspended, which its monotonic clock does not show.

The monotonic clock stands still while a VM is suspended, so every deadline in the
process seems as far away as before. Meanwhile callers have left, targets have drained,
and connections are lost.
"""

from __future__ import annotations

import collections.abc
import time

MIN_SUSPENSION_S = 0.05
"""Duration of a suspension in seconds above which it is handled. The times of two
clocks that are read one after the other differ by less."""

HandleSuspension = collections.abc.Callable[[float], None]


def read_suspended_time() -> float:
    """Return the seconds since boot that the monotonic clock has not counted."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionWatch:
    """Reports each suspension before outdated times are used again.

    Parameters
    ----------
    handle_suspension : callable
        Called with the duration of a suspension in seconds.
    read_suspended : callable, optional
        Returns the seconds that the monotonic clock has not counted so far.
    """

    def __init__(
        self,
        handle_suspension: HandleSuspension,
        read_suspended: collections.abc.Callable[[], float] = read_suspended_time,
    ) -> None:
        self._handle_suspension = handle_suspension
        self._read_suspended = read_suspended
        self._suspended_time = read_suspended()

    def check(self) -> None:
        """Check for a suspension since the previous check.

        Called periodically, and before any message that states a remaining time is
        sent.
        """
        suspended_time = self._read_suspended()
        duration, self._suspended_time = (
            suspended_time - self._suspended_time,
            suspended_time,
        )
        if duration > MIN_SUSPENSION_S:
            self._handle_suspension(duration)
