"""Notices that this VM was suspended, though its steady clock says nothing of it.

The steady clock stands still while a VM is suspended, so that every deadline in the
process looks as far away as before. Callers have left by then, targets have drained,
and connections are gone.
"""

from __future__ import annotations

import collections.abc
import time

MIN_SUSPENSION_S = 0.05
"""Seconds of suspension from which anything is done. Two clocks that are read one after
the other differ by less."""

TakeGap = collections.abc.Callable[[float], None]


def read_lost_time() -> float:
    """Return the seconds that the steady clock has not counted since the boot."""
    boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionWatch:
    """Tells those who keep times of each suspension, before they act again.

    Parameters
    ----------
    take_gap : callable
        Called with the seconds of a suspension.
    read_lost : callable, optional
        Returns the seconds that the steady clock has not counted so far.
    """

    def __init__(
        self,
        take_gap: TakeGap,
        read_lost: collections.abc.Callable[[], float] = read_lost_time,
    ) -> None:
        self._take_gap = take_gap
        self._read_lost = read_lost
        self._lost = read_lost()

    def check(self) -> None:
        """Look for a suspension since the last look.

        Called from time to time, and before anything is sent that says how much time is
        left.
        """
        lost = self._read_lost()
        gap, self._lost = lost - self._lost, lost
        if gap > MIN_SUSPENSION_S:
            self._take_gap(gap)
