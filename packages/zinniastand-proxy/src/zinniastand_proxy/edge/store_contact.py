"""Retry delays and log lines for calls to a store that may be unreachable."""

from __future__ import annotations

import random

import anyio

from . import log_lines, ports

INITIAL_DELAY_S = 0.2
"""Seconds before a failed call to the store is first retried."""

MAX_DELAY_S = 1.0
"""Longest delay, in seconds, between calls to a store that does not answer. A longer
delay could push a new configuration past its limit of two seconds after an outage."""

MAX_ERROR_CHARACTERS = 120
"""Characters of an error message that are kept in a log line."""


class StoreContact:
    """Tracks whether one kind of data can be read from the store.

    Parameters
    ----------
    part : str
        What is read, as named in log lines.
    log : log_lines.LogLines
        Receives one line when the store is lost and one when it is back.
    rng : random.Random
        Jitter for the delays.
    """

    def __init__(self, part: str, log: log_lines.LogLines, rng: random.Random) -> None:
        self._part = part
        self._log = log
        self._rng = rng
        self._delay = INITIAL_DELAY_S
        self._is_lost = False

    async def wait_after_failure(
        self, error: ports.StoreUnavailableError, max_delay: float = MAX_DELAY_S
    ) -> None:
        """Record a failed call, then sleep until the next call may be made.

        The delay doubles with each failure in a row and has a jitter of 50%.

        Parameters
        ----------
        error : ports.StoreUnavailableError
            Why the call failed.
        max_delay : float
            Upper limit of the delay before jitter, in seconds.
        """
        if not self._is_lost:
            self._is_lost = True
            why = str(error)[:MAX_ERROR_CHARACTERS]
            self._log.write("store_lost", part=self._part, why=why)
        await anyio.sleep(self._delay * (0.5 + self._rng.random()))
        self._delay = min(max_delay, 2 * self._delay)

    def record_success(self) -> bool:
        """Record a successful call and reset the delay.

        Returns
        -------
        bool
            Whether the call before this one had failed.
        """
        was_lost = self._is_lost
        self._is_lost = False
        self._delay = INITIAL_DELAY_S
        if was_lost:
            self._log.write("store_back", part=self._part)
        return was_lost
