"""The gate of each service: requests wait here for `core.admission` to let them in."""

from __future__ import annotations

import itertools

import anyio

from zinniastand_core import admission

from . import clock


class _Waiting:
    def __init__(self) -> None:
        self.event = anyio.Event()
        self.entry = admission.Entry.QUEUED


class Gate:
    """The door of one service, for coroutines.

    Parameters
    ----------
    door : admission.Admission
        The decisions.
    timer : clock.Clock
        The time.
    """

    def __init__(self, door: admission.Admission, timer: clock.Clock) -> None:
        self.door = door
        self._timer = timer
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}

    async def enter(self, weight: float, deadline: float) -> bool:
        """Return whether the request may run, once that is decided."""
        now = self._timer.now()
        ticket = admission.Ticket(next(self._numbers), weight, deadline)
        waiting = self._waiting[ticket.number] = _Waiting()
        self._announce(self.door.enter(ticket, now))
        if waiting.entry is admission.Entry.QUEUED:
            try:
                with anyio.move_on_at(clock.convert_deadline(deadline, now)):
                    await waiting.event.wait()
            finally:
                self.door.withdraw(ticket.number)
                del self._waiting[ticket.number]
        else:
            del self._waiting[ticket.number]
        return waiting.entry is admission.Entry.ADMITTED

    def leave(self, duration: float) -> None:
        """Take in that an admitted request ended."""
        self._announce(self.door.leave(duration, self._timer.now()))

    def _announce(self, verdicts: list[admission.Verdict]) -> None:
        for verdict in verdicts:
            waiting = self._waiting.get(verdict.ticket.number)
            if waiting is not None and verdict.entry is not admission.Entry.QUEUED:
                waiting.entry = verdict.entry
                waiting.event.set()
