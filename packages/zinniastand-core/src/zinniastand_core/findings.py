"""Findings in operator input, each with the place that it concerns."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing wrong in a document."""

    place: str
    """Path of the value, such as ``services[2].targets[0].slots``."""

    message: str
    """What is wrong and what is expected there."""

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """All findings of one document, reported together."""

    items: tuple[Finding, ...]
    """The findings in document order."""

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)
