"""The rate limits of targets that this VM has heard of, for dispatchers that begin."""

from __future__ import annotations

import dataclasses
import math

from zinniastand_core.deployment import targets

KEEP_FOR = 60.0
"""Seconds for which a limit is kept that nobody names again. A target with little work
answers seldom; a limit that has lifted meanwhile ends with its next answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit that a target has named."""

    rate: float
    """Requests a second from all VMs together."""

    due_at: float
    """When the next request is due, as far as known."""

    born: int
    """Which start of the target has named it."""

    named_at: float
    """When an answer has last named it."""


class NamedLimits:
    """Limits by target.

    Parameters
    ----------
    registry : targets.Registry
        Targets known; limits of others are not kept.
    """

    def __init__(self, registry: targets.Registry) -> None:
        self._registry = registry
        self._limits: dict[str, Limit] = {}

    def record(
        self, target_id: str, rate: float, due_at: float, named_at: float
    ) -> None:
        """Take in the limit of a target, infinite for none."""
        entry = self._registry.find(target_id)
        if entry is None or math.isinf(rate):
            self._limits.pop(target_id, None)
            return
        self._limits[target_id] = Limit(rate, due_at, entry.born, named_at)

    def find(self, entry: targets.Entry, now: float) -> Limit | None:
        """Return the limit of a target, if it has named one lately."""
        known = self._limits.get(entry.target_id)
        if known is None or known.born != entry.born:
            return None
        return known if now < known.named_at + KEEP_FOR else None

    def remove_expired(self, now: float) -> None:
        """Forget limits that are old, and those of targets that have left."""
        self._limits = {
            name: limit
            for name, limit in self._limits.items()
            if now < limit.named_at + KEEP_FOR and self._registry.find(name) is not None
        }
