"""A hybrid logical clock: order of events over processes whose clocks differ.

After Kulkarni et al., "Logical Physical Clocks" (2014).
"""

from __future__ import annotations

import dataclasses

MAX_AHEAD_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A point in the causal order."""

    time: float
    """Unix seconds, never behind the clock of the process."""

    count: int
    """Events at the same time."""


class HybridClock:
    """The clock of one process."""

    def __init__(self) -> None:
        self._last = Stamp(0.0, 0)

    def tick(self, now: float) -> Stamp:
        """Return the stamp of a local event or of a message to send."""
        if now > self._last.time:
            self._last = Stamp(now, 0)
        else:
            self._last = Stamp(self._last.time, self._last.count + 1)
        return self._last

    def merge(self, stamp: Stamp, now: float) -> Stamp:
        """Take in the stamp of a message and return the stamp of its arrival.

        A stamp absurdly far ahead is ignored: one broken clock must not drag the
        whole fleet's into the future.
        """
        if stamp.time <= now + MAX_AHEAD_S and stamp > self._last:
            self._last = stamp
        return self.tick(now)
