"""Targets that this VM could not connect to lately."""

from __future__ import annotations

LEFT_OUT_FOR = 2.0
"""Seconds for which this VM leaves out a target that it could not connect to. A cut
lasts seconds; another target costs nothing meanwhile."""


class UnreachableTargets:
    """Targets that this VM leaves out for a while."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def record(self, target_id: str, now: float) -> None:
        """Leave a target out from now on."""
        self._until[target_id] = now + LEFT_OUT_FOR

    def list_current(self, now: float) -> tuple[str, ...]:
        """Return the targets that are left out now."""
        self._until = {name: at for name, at in self._until.items() if at > now}
        return tuple(self._until)
