"""When a VM that knows nothing yet may read the store for itself.

Load pattern: hundreds of VMs start within a moment, at the first start or after all of
them have lost power. Each could read configuration and targets; a few in each data
centre are enough, and the others get both from them.
"""

from __future__ import annotations

import math

from . import members, reading_turn

FIRST_PAUSE = 0.06
"""Seconds after the greetings that are left for answers: a peer that knows all is asked
before the store."""

STEP = 0.1
"""Seconds by which each further VM in rank waits longer, enough for the one before it
to read and to tell."""

MAX_DELAYED_RANKS = 8
"""Ranks that wait longer. The wait is time in which a VM that nobody answers serves
nothing."""

LONGEST = 1.2
"""Seconds after the start of the process from which it reads whatever happens: those
who are there cannot be found while the store takes no entry."""


class StartTurn:
    """Tells whether this VM may read the store though it knows nothing.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    now : float
        Seconds at the start of the process.
    """

    def __init__(self, fleet: members.Members, now: float) -> None:
        self._fleet = fleet
        self._joined_at = math.inf
        self._latest = now + LONGEST

    def join(self, now: float, is_alone: bool) -> None:
        """Take in that this VM has read who is there, and greeted them."""
        self._joined_at = now - FIRST_PAUSE if is_alone else now

    def may_read(self, now: float) -> bool:
        """Return whether to read the store."""
        if now >= self._latest:
            return True
        steps = min(self._find_rank(now), MAX_DELAYED_RANKS)
        return now >= self._joined_at + FIRST_PAUSE + STEP * steps

    def _find_rank(self, now: float) -> int:
        own = self._fleet.own
        order = self._fleet.rank_reachable(
            reading_turn.READER_TASK, now, own.data_centre
        )
        return order.index(own.vm) if own.vm in order else 0
