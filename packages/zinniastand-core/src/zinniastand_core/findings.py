"""Findings in documents, each with the location that it concerns."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One mistake in a document."""

    location: str
    """Path of the value, such as ``services[2].targets[0].slots``."""

    message: str
    """What is wrong, and what is expected instead."""

    def __str__(self) -> str:
        return f"{self.location}: {self.message}"


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """All findings of one document, reported together."""

    items: tuple[Finding, ...]
    """The findings in document order."""

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)
