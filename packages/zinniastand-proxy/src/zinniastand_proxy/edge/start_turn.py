"""Decides when a VM that has no data yet may read the store itself.

Load pattern: hundreds of VMs start at almost the same moment, on the first start or
after a power failure of the whole fleet. Each could read configuration and targets from
the store, but a few VMs in each data centre are enough: the others get both from them.
"""

from __future__ import annotations

import math

from . import members, reading_turn

ANSWER_DELAY_S = 0.06
"""Seconds allowed for answers after the greetings were sent, so that a peer that has
complete data is asked before the store."""

RANK_DELAY_S = 0.1
"""Extra seconds of waiting for each further rank: enough for the VM before it to read
the store and to notify the others."""

MAX_DELAYED_RANKS = 8
"""Number of ranks that each wait longer than the rank before; all further ranks wait as
long as the last of these. A VM that gets no answer serves no requests while it
waits."""

MAX_DELAY_S = 1.2
"""Seconds after the start of the process from which the store is read in any case: the
other VMs can't be found while the store accepts no membership entry."""


class StartTurn:
    """Decides whether this VM may read the store although it has no data yet.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    now : float
        When the process started, in seconds.
    """

    def __init__(self, fleet: members.Members, now: float) -> None:
        self._fleet = fleet
        self._joined_at = math.inf
        self._latest_read_at = now + MAX_DELAY_S

    def join(self, now: float, is_alone: bool) -> None:
        """Record that this VM has read the list of members and greeted the others.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_alone : bool
            Whether there is no other VM in the list, so that no answer is awaited.
        """
        self._joined_at = now - ANSWER_DELAY_S if is_alone else now

    def may_read(self, now: float) -> bool:
        """Return whether this VM may read the store now."""
        if now >= self._latest_read_at:
            return True
        steps = min(self._find_rank(now), MAX_DELAYED_RANKS)
        return now >= self._joined_at + ANSWER_DELAY_S + RANK_DELAY_S * steps

    def _find_rank(self, now: float) -> int:
        own = self._fleet.own
        order = self._fleet.rank_reachable(
            reading_turn.READER_TASK, now, own.data_centre
        )
        return order.index(own.vm) if own.vm in order else 0
