"""Waiting for admission to a service, which `zinniastand_core.admission` decides."""

from __future__ import annotations

import itertools

import anyio

from zinniastand_core import admission

from . import clock


class _Waiter:
    """A request that waits for admission."""

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.entry = admission.Entry.QUEUED


class Gate:
    """Lets requests wait for admission to one service.

    The admission control decides; the gate wakes the coroutines of the requests that
    are admitted or refused.

    Parameters
    ----------
    admission_control : admission.Admission
        Decides which requests may run.
    timer : clock.Clock
        Source of the current time.
    """

    def __init__(
        self, admission_control: admission.Admission, timer: clock.Clock
    ) -> None:
        self.admission_control = admission_control
        self._timer = timer
        self._numbers = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}

    async def enter(self, weight: float, deadline: float) -> bool:
        """Wait for admission and return whether the request may run.

        Parameters
        ----------
        weight : float
            Value of an answer in time, relative to other requests.
        deadline : float
            Unix seconds until which the request waits.

        Returns
        -------
        bool
            False if it was refused or still queued at the deadline.
        """
        now = self._timer.now()
        ticket = admission.Ticket(next(self._numbers), weight, deadline)
        waiter = self._waiters[ticket.number] = _Waiter()
        self._notify(self.admission_control.enter(ticket, now))
        if waiter.entry is admission.Entry.QUEUED:
            try:
                with anyio.move_on_at(clock.convert_deadline(deadline, now)):
                    await waiter.event.wait()
            finally:
                self.admission_control.withdraw(ticket.number)
                del self._waiters[ticket.number]
        else:
            del self._waiters[ticket.number]
        return waiter.entry is admission.Entry.ADMITTED

    def leave(self, duration: float) -> None:
        """Record that an admitted request ended after `duration` seconds."""
        self._notify(self.admission_control.leave(duration, self._timer.now()))

    def _notify(self, verdicts: list[admission.Verdict]) -> None:
        for verdict in verdicts:
            waiter = self._waiters.get(verdict.ticket.number)
            if waiter is not None and verdict.entry is not admission.Entry.QUEUED:
                waiter.entry = verdict.entry
                waiter.event.set()
