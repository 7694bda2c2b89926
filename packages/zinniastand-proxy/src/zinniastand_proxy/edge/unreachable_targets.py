"""Targets to which this VM recently failed to connect."""

from __future__ import annotations

EXCLUSION_DURATION_S = 2.0
"""Seconds for which this VM excludes a target that it could not connect to. Network
partitions last seconds, and using another target meanwhile costs nothing."""


class UnreachableTargets:
    """Targets that this VM excludes for `EXCLUSION_DURATION_S`."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, target_id: str, now: float) -> None:
        """Exclude a target, starting at `now`."""
        self._until[target_id] = now + EXCLUSION_DURATION_S

    def list_current(self, now: float) -> tuple[str, ...]:
        """Return the targets that are excluded at `now`."""
        self._until = {
            name: until for name, until in self._until.items() if until > now
        }
        return tuple(self._until)
