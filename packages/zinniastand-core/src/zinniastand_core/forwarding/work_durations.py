"""Expected durations of work, as dispatchers last stated them."""

from __future__ import annotations


class WorkDurations:
    """The last expected duration of each service."""

    def __init__(self) -> None:
        self._by_service: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record the expected duration that a grant of a slot states."""
        self._by_service[service] = seconds

    def find(self, service: str) -> float:
        """Return the expected duration in seconds; 0 if none is known."""
        return self._by_service.get(service, 0.0)
