"""Decides which requests a VM still accepts and sends once its end is planned.

A stopping VM promises that it breaks no request off while a target works on it. Nothing
tells how long work will take, so only the time limit of a request proves that it ends
in time. Requests that arrive before the load balancer can have noticed the stop are
accepted without that proof, since most work is short and its callers could not have
gone elsewhere.
"""

from __future__ import annotations

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEnd:
    """Times of a planned stop, in seconds of the VM's monotonic clock."""

    noticed_at: float = math.inf
    """When the load balancer has noticed that this VM is stopping."""

    answer_by: float = math.inf
    """When every request has an answer, shortly before the process ends."""

    def accepts(self, now: float, deadline_at: float) -> bool:
        """Return whether a request that arrives now is accepted.

        Parameters
        ----------
        now : float
            Current time in seconds.
        deadline_at : float
            Time by which the request has an answer, whatever its target does.
        """
        return deadline_at <= self.answer_by or now < self.noticed_at

    def find_latest_start(self, expected_duration: float) -> float:
        """Return until when work may begin that is expected to end in time.

        Parameters
        ----------
        expected_duration : float
            Expected duration of the work in seconds.
        """
        return self.answer_by - expected_duration

    def bring_forward(self, seconds: float) -> PlannedEnd:
        """Return the same end for a clock that stood still for some seconds."""
        return PlannedEnd(self.noticed_at - seconds, self.answer_by - seconds)


NEVER = PlannedEnd()
"""No end is planned."""
