"""Decides which VM reads the store on behalf of the whole fleet."""

from __future__ import annotations

import math

from . import members

UPDATE_TIMEOUT_S = 0.7
"""Seconds without an update after which a VM reads the store itself: two updates in a
row were missed."""

RANK_DELAY_S = 0.08
"""Extra seconds of waiting for each further rank, so that the next VM in rank becomes
the reader before all the others start to read."""

MAX_DELAYED_RANKS = 5
"""Number of ranks that each wait longer than the rank before; all further ranks wait as
long as the last of these. With more, the time limit for taking leaving targets out of
use would be at risk."""

JOIN_DELAY_S = 0.5
"""Seconds after this VM has read the list of members before it may become the reader.
Earlier, it has received nothing from the others and would rank itself first, as would
every other VM of a fleet that is starting."""

READER_TASK = "read the store"
"""Name of the fleet-wide task of reading the store, by which VMs are ranked."""


class ReadingTurn:
    """Decides whether this VM reads for the fleet, or for itself.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    """

    def __init__(self, fleet: members.Members) -> None:
        self._fleet = fleet
        self._joined_at = math.inf

    def join(self, now: float, is_alone: bool) -> None:
        """Record that this VM has read the list of members.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_alone : bool
            Whether there is no other VM in the list.
        """
        # Without other VMs there are no updates to wait for: this VM reads at once.
        self._joined_at = now + (0.0 if is_alone else JOIN_DELAY_S)

    def is_first(self, now: float) -> bool:
        """Return whether this VM ranks first."""
        return self._rank(now) == 0

    def is_reader(self, now: float) -> bool:
        """Return whether this VM reads for the fleet: it ranks first and has joined."""
        return now >= self._joined_at and self.is_first(now)

    def is_among_first(self, now: float) -> bool:
        """Return whether this VM is the reader or one of the next in rank."""
        return self._rank(now) <= MAX_DELAYED_RANKS

    def is_due(self, now: float, received_at: float) -> bool:
        """Return whether this VM should read the store now.

        Parameters
        ----------
        now : float
            Current time in seconds.
        received_at : float
            When the last update about targets was received, in seconds.
        """
        rank = self._rank(now)
        if rank == 0 and now >= self._joined_at:
            return True
        steps = min(max(0, rank - 1), MAX_DELAYED_RANKS)
        return now - received_at > UPDATE_TIMEOUT_S + RANK_DELAY_S * steps

    def suspect_reader(self, now: float) -> None:
        """Mark the VM that ranks first as suspect, since its updates are overdue."""
        reader = self._fleet.rank(READER_TASK, now, 1)
        if reader and reader[0] != self._fleet.own.vm:
            self._fleet.suspect(reader[0], now)

    def _rank(self, now: float) -> int:
        order = self._fleet.rank(READER_TASK, now, MAX_DELAYED_RANKS + 1)
        own = self._fleet.own.vm
        return order.index(own) if own in order else MAX_DELAYED_RANKS + 1
