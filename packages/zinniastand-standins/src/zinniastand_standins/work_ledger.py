"""What really ran at the targets: the ground truth that tests and demos go by."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One piece of work that a target started."""

    name: str
    """What the caller calls it."""

    target: str
    """Where it ran."""

    started_at: float
    """Unix seconds."""


class WorkLedger:
    """All work started by all targets."""

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, run: Run) -> None:
        """Take in that work was started."""
        self.runs.append(run)
        self._counts[run.name] += 1

    def count(self, name: str) -> int:
        """Return how often a piece of work was started."""
        return self._counts[name]

    def list_repeated(self) -> list[str]:
        """Return the work that was started more than once."""
        return [name for name, count in self._counts.items() if count > 1]
