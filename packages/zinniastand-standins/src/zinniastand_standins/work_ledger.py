"""A record of the work that targets started, against which answers are checked."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One start of a piece of work at a target."""

    name: str
    """Name that the caller gave the work."""

    target: str
    """Name of the target."""

    started_at: float
    """Time of the start, in Unix seconds."""


class WorkLedger:
    """All starts of work at all targets of a site."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, run: Run) -> None:
        """Record that a target started work."""
        self.runs.append(run)
        self._counts[run.name] += 1

    def count(self, name: str) -> int:
        """Return how often the work of this name was started."""
        return self._counts[name]

    def list_repeated(self) -> list[str]:
        """Return the names of the work that was started more than once."""
        return [name for name, count in self._counts.items() if count > 1]
