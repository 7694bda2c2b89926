"""Bounds on input: the error raised where one is reached, and its log line and count.

Load pattern: a peer that sends without end, again after each connection that is closed.
"""

from __future__ import annotations

import collections
import collections.abc

import anyio

from . import log_lines

LOG_INTERVAL_S = 1.0
"""Minimum seconds between two log lines about one place. A peer may reach a bound
hundreds of times per second."""

RecordBound = collections.abc.Callable[[str, int, str], None]
"""Records that a bound was reached: its place, the count and the peer."""


class BoundReachedError(Exception):
    """A peer sent more than a bound allows.

    Parameters
    ----------
    place : str
        Which bound was reached; constant, because it becomes a metric label.
    count : int
        Bytes, or number of items, that were received.
    """

    def __init__(self, place: str, count: int) -> None:
        super().__init__(place)
        self.place = place
        self.count = count


class BoundLog:
    """Logs and counts the bounds that were reached.

    Parameters
    ----------
    log : log_lines.LogLines
        Gets at most one line per place in `LOG_INTERVAL_S`.

    Attributes
    ----------
    totals : collections.Counter
        How often each bound was reached, by place.
    """

    def __init__(self, log: log_lines.LogLines) -> None:
        self._log = log
        self._logged_at: dict[str, float] = {}
        self.totals: collections.Counter[str] = collections.Counter()

    def record(self, place: str, count: int, peer: str) -> None:
        """Record that a peer reached a bound.

        Parameters
        ----------
        place : str
            Which bound was reached.
        count : int
            Bytes, or number of items, that were received.
        peer : str
            Target, VM or address that sent them; empty if it is not known.
        """
        self.totals[place] += 1
        now = anyio.current_time()
        if now < self._logged_at.get(place, float("-inf")) + LOG_INTERVAL_S:
            return
        self._logged_at[place] = now
        self._log.write(
            "input_bound_reached",
            place=place,
            count=count,
            peer=peer[:64],
            total=self.totals[place],
        )


def ignore(place: str, count: int, peer: str) -> None:
    """Record nothing: for clients outside a VM, such as tests and models."""
