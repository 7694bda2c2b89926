"""Whose turn it is to read the store for all."""

from __future__ import annotations

import math

from . import members

SILENCE = 0.7
"""Seconds without news after which a VM reads for itself: two tellings missed."""

SILENCE_STEP = 0.08
"""Seconds by which each further VM in rank waits longer, so that the next one becomes
the reader before all the others start to read."""

MAX_DELAYED_RANKS = 5
"""Ranks that wait longer; beyond them the bound on leaving targets would be at risk."""

JOIN_PAUSE = 0.5
"""Seconds after this VM has read who is there from which it may become the reader.
Before, it has heard of nobody and would take itself for the first in rank, as every
other VM of a fleet that starts does."""

READER_TASK = "read the store"
"""Name of the task of reading for all."""


class ReadingTurn:
    """Tells whether this VM reads for all, or must read for itself.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    """

    def __init__(self, fleet: members.Members) -> None:
        self._fleet = fleet
        self._joined_at = math.inf

    def join(self, now: float, is_alone: bool) -> None:
        """Take in that this VM has read who is there."""
        # Alone, there is nobody to hear of: it reads at once.
        self._joined_at = now + (0.0 if is_alone else JOIN_PAUSE)

    def is_first(self, now: float) -> bool:
        """Return whether this VM ranks first."""
        return self._rank(now) == 0

    def is_reader(self, now: float) -> bool:
        """Return whether this VM reads for all: it ranks first and has entered."""
        return now >= self._joined_at and self.is_first(now)

    def is_among_first(self, now: float) -> bool:
        """Return whether this VM is one of those that would read next."""
        return self._rank(now) <= MAX_DELAYED_RANKS

    def is_due(self, now: float, heard_at: float) -> bool:
        """Return whether to read, with the last news heard at that time."""
        rank = self._rank(now)
        if rank == 0 and now >= self._joined_at:
            return True
        steps = min(max(0, rank - 1), MAX_DELAYED_RANKS)
        return now - heard_at > SILENCE + SILENCE_STEP * steps

    def suspect_reader(self, now: float) -> None:
        """Take in that the VM that ranks first has told nothing for too long."""
        reader = self._fleet.rank(READER_TASK, now, 1)
        if reader and reader[0] != self._fleet.own.vm:
            self._fleet.suspect(reader[0], now)

    def _rank(self, now: float) -> int:
        order = self._fleet.rank(READER_TASK, now, MAX_DELAYED_RANKS + 1)
        own = self._fleet.own.vm
        return order.index(own) if own in order else MAX_DELAYED_RANKS + 1
