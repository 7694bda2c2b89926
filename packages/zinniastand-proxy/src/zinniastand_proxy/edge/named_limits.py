"""Rate limits that targets have stated, kept for newly appointed dispatchers."""

from __future__ import annotations

import dataclasses
import math

from zinniastand_core.deployment import targets

RETENTION_DURATION_S = 60.0
"""Seconds for which a limit is kept after an answer last stated it. A target with
little work answers seldom; a limit that was lifted ends with the next answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A rate limit that a target has stated in its answers."""

    rate: float
    """Requests per second from all VMs together."""

    due_at: float
    """When the limit next admits a request, as far as known."""

    born: int
    """Start of the target that stated it, as in `targets.Entry.born`."""

    named_at: float
    """When an answer last stated it."""


class NamedLimits:
    """Rate limits by target.

    Parameters
    ----------
    registry : targets.Registry
        Known targets; limits of others are not kept.
    """

    def __init__(self, registry: targets.Registry) -> None:
        self._registry = registry
        self._limits: dict[str, Limit] = {}

    def record(
        self, target_id: str, rate: float, due_at: float, named_at: float
    ) -> None:
        """Record the limit of a target, or remove it if `rate` is infinite.

        Parameters
        ----------
        target_id : str
            The target.
        rate : float
            Requests per second from all VMs together; infinite if there is no limit.
        due_at : float
            When the limit next admits a request.
        named_at : float
            When the target stated the limit.
        """
        entry = self._registry.find(target_id)
        if entry is None or math.isinf(rate):
            self._limits.pop(target_id, None)
            return
        self._limits[target_id] = Limit(rate, due_at, entry.born, named_at)

    def find(self, entry: targets.Entry, now: float) -> Limit | None:
        """Return the current limit of a target.

        None if its present start has stated none within `RETENTION_DURATION_S`.
        """
        known = self._limits.get(entry.target_id)
        if known is None or known.born != entry.born:
            return None
        return known if now < known.named_at + RETENTION_DURATION_S else None

    def remove_expired(self, now: float) -> None:
        """Remove limits that are too old, and those of targets that are gone."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if now < limit.named_at + RETENTION_DURATION_S
            and self._registry.find(name) is not None
        }
