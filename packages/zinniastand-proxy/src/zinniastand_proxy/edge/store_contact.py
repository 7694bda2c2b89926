"""Calls to the store, made again with growing pauses until one gets through."""

from __future__ import annotations

import random

import anyio

from . import log_lines, ports

FIRST_PAUSE = 0.2
"""Seconds before a failed call to the store is made again."""

MAX_DELAY_S = 1.0
"""Most seconds between calls to a store that does not answer. Longer pauses would delay
a new configuration after an outage beyond its bound of two seconds."""

MOST_WHY = 120
"""Characters of an error's text that go into a log line."""


class StoreContact:
    """Whether one part of the knowledge can be read from the store.

    Parameters
    ----------
    part : str
        What is read, in log lines.
    log : log_lines.LogLines
        The store lost and regained, once each.
    rng : random.Random
        Spreads calls.
    """

    def __init__(self, part: str, log: log_lines.LogLines, rng: random.Random) -> None:
        self._part = part
        self._log = log
        self._rng = rng
        self._pause = FIRST_PAUSE
        self._is_lost = False

    async def wait_after_failure(
        self, error: ports.StoreUnavailableError, longest: float = MAX_DELAY_S
    ) -> None:
        """Take in that a call failed, and wait before the next one."""
        if not self._is_lost:
            self._is_lost = True
            why = str(error)[:MOST_WHY]
            self._log.write("store_lost", part=self._part, why=why)
        await anyio.sleep(self._pause * (0.5 + self._rng.random()))
        self._pause = min(longest, 2 * self._pause)

    def record_success(self) -> bool:
        """Take in that a call got through; return whether the store was lost."""
        was_lost = self._is_lost
        self._is_lost = False
        self._pause = FIRST_PAUSE
        if was_lost:
            self._log.write("store_back", part=self._part)
        return was_lost
