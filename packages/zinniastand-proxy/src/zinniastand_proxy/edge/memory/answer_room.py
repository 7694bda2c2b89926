"""Lets long answers in while there is memory for them."""

from __future__ import annotations

import collections

import anyio

from zinniastand_core import held_bytes

POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether there is room for the next answer."""


class AnswerRoom:
    """Room for answers that are buffered whole.

    An answer that has to wait is not read, so that its target is slowed down. It waits
    before its first byte is held, so that each answer that has begun can be completed.

    Parameters
    ----------
    held : held_bytes.HeldBytes
        Account of the bytes that the VM holds.
    """

    def __init__(self, held: held_bytes.HeldBytes) -> None:
        self._held = held
        self._waiting: collections.deque[object] = collections.deque()

    async def wait(self, size: int) -> None:
        """Return once there is room for an answer of this size, in order of calls."""
        if not self._waiting and self._held.has_room_for_answer(size):
            return
        turn = object()
        self._waiting.append(turn)
        try:
            while self._waiting[0] is not turn or not self._held.has_room_for_answer(
                size
            ):
                await anyio.sleep(POLL_INTERVAL_S)
        finally:
            self._waiting.remove(turn)

    def count_waiting(self) -> int:
        """Return the number of answers that wait."""
        return len(self._waiting)
