"""The baseline of a plain proxy, for the load model."""

from __future__ import annotations

import random

from zinniastand_core.dispatch import messages


class LeastBusy:
    """The baseline of a plain proxy: the target with the fewest requests in flight."""

    def __init__(self, names: list[str], strike: float, rng: random.Random) -> None:
        self._busy = dict.fromkeys(names, 0)
        self._struck: dict[str, float] = {}
        self._strike = strike
        self._rng = rng

    def request_slot(
        self, slot_request: messages.SlotRequest, now: float
    ) -> list[messages.Decision]:
        """Send at once, to one that has not failed lately if there is any."""
        usable = [name for name in self._busy if name not in slot_request.excluded]
        spared = [name for name in usable if self._struck.get(name, 0.0) <= now]
        names = spared or usable
        name = min(names, key=lambda one: (self._busy[one], self._rng.random()))
        self._busy[name] += 1
        return [messages.Grant(slot_request.ticket, name, 0.0, 0.2)]

    def handle_report(
        self, report: messages.Report, now: float
    ) -> list[messages.Decision]:
        """Count down, and avoid a target that has failed."""
        self._busy[report.target_id] -= 1
        if report.outcome is messages.Outcome.FAILED and self._strike:
            self._struck[report.target_id] = now + self._strike
        return []

    def wake(self, now: float) -> list[messages.Decision]:
        """Do nothing."""
        return []
