"""A hybrid logical clock: orders events of processes whose clocks differ.

After Kulkarni et al., "Logical Physical Clocks" (2014).
"""

from __future__ import annotations

import dataclasses

MAX_AHEAD_S = 60.0
"""Lead over the local clock above which a received stamp is ignored."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A point in the causal order."""

    time: float
    """Unix seconds; never behind the clock of the process that made the stamp."""

    count: int
    """Number that orders stamps with the same time."""


class HybridClock:
    """The hybrid logical clock of one process."""

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
        """Merge the stamp of a received message and return the stamp of its receipt.

        A stamp more than `MAX_AHEAD_S` ahead of `now` is ignored, so that one wrong
        clock can't move the clocks of the whole fleet into the future.
        """
        if stamp.time <= now + MAX_AHEAD_S and stamp > self._last:
            self._last = stamp
        return self.tick(now)
