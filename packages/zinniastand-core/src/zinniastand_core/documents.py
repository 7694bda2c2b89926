"""Readers of JSON-like documents that collect every finding with its location."""

from __future__ import annotations

import collections.abc
import typing

from . import findings


class Collector:
    """Collects the findings made while a document is read."""

    def __init__(self) -> None:
        self._items: list[findings.Finding] = []

    def add(self, location: str, message: str) -> None:
        """Record a finding at `location`."""
        self._items.append(findings.Finding(location, message))

    @property
    def has_findings(self) -> bool:
        """Whether there is any finding so far."""
        return bool(self._items)

    def collect(self) -> findings.Findings:
        """Return all findings so far, in the order in which they were added."""
        return findings.Findings(tuple(self._items))


class Reader:
    """One mapping of a document, read field by field.

    A field that is missing, of the wrong type or out of range adds a finding, and a
    default is returned instead, so that reading goes on and every mistake is reported
    in one pass.

    Parameters
    ----------
    value : object
        The value found at `location`; anything but a mapping is a finding.
    location : str
        Path of the mapping within the document; empty for the document itself.
    collector : Collector
        Receives the findings.
    """

    def __init__(self, value: object, location: str, collector: Collector) -> None:
        self._location = location
        self._collector = collector
        self._seen: set[str] = set()
        self._value: collections.abc.Mapping[str, object] = {}
        if isinstance(value, collections.abc.Mapping):
            self._value = typing.cast("collections.abc.Mapping[str, object]", value)
        else:
            collector.add(location, "expected an object")

    @property
    def source(self) -> dict[str, object]:
        """A copy of the mapping as it was found."""
        return dict(self._value)

    def location_of(self, name: str) -> str:
        """Return the path of field `name` within the document."""
        return f"{self._location}.{name}" if self._location else name

    def add(self, name: str, message: str) -> None:
        """Record a finding about field `name`."""
        self._collector.add(self.location_of(name), message)

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self._value

    def read_text(self, name: str, default: str | None = None) -> str:
        """Return a non-empty string."""
        value = self._get(name, default)
        if isinstance(value, str) and (value or default == ""):
            return value
        self._add_mismatch(name, value, "a non-empty string")
        return ""

    def read_integer(
        self, name: str, default: int | None = None, low: int = 0, high: int = 2**53
    ) -> int:
        """Return an integer between `low` and `high`."""
        value = self._get(name, default)
        if isinstance(value, int) and not isinstance(value, bool):
            if low <= value <= high:
                return value
        self._add_mismatch(name, value, f"a whole number from {low} to {high}")
        return low

    def read_number(
        self, name: str, default: float | None = None, low: float = 0, high: float = 1e9
    ) -> float:
        """Return a number between `low` and `high`."""
        value = self._get(name, default)
        if isinstance(value, int | float) and not isinstance(value, bool):
            if low <= value <= high:
                return float(value)
        self._add_mismatch(name, value, f"a number from {low} to {high}")
        return low

    def read_flag(self, name: str, default: bool | None = None) -> bool:
        """Return a boolean."""
        value = self._get(name, default)
        if isinstance(value, bool):
            return value
        self._add_mismatch(name, value, "true or false")
        return False

    def read_choice(
        self, name: str, choices: collections.abc.Sequence[str], default: str = ""
    ) -> str:
        """Return one of `choices`."""
        value = self._get(name, default or None)
        if isinstance(value, str) and value in choices:
            return value
        self._add_mismatch(name, value, "one of " + ", ".join(choices))
        return choices[0]

    def read_list(self, name: str, default: list[object] | None = None) -> list[object]:
        """Return a list whose values are not checked."""
        value = self._get(name, default)
        if isinstance(value, list):
            return typing.cast("list[object]", value)
        self._add_mismatch(name, value, "a list")
        return []

    def read_texts(
        self, name: str, default: list[object] | None = None
    ) -> tuple[str, ...]:
        """Return a list of strings."""
        values = self.read_list(name, default)
        for index, value in enumerate(values):
            if not isinstance(value, str) or not value:
                self.add(f"{name}[{index}]", "expected a non-empty string")
        return tuple(value for value in values if isinstance(value, str))

    def read_object(self, name: str, optional: bool = False) -> Reader:
        """Return a reader of a nested object."""
        value = self._get(name, {} if optional else None)
        return Reader(value, self.location_of(name), self._collector)

    def read_objects(
        self, name: str, default: list[object] | None = None
    ) -> list[Reader]:
        """Return a reader for each object of a list."""
        return [
            Reader(value, f"{self.location_of(name)}[{index}]", self._collector)
            for index, value in enumerate(self.read_list(name, default))
        ]

    def read_names(self) -> tuple[str, ...]:
        """Return the names of all fields, and count all of them as known."""
        self._seen.update(self._value)
        return tuple(self._value)

    def refuse_unknown(self) -> None:
        """Record a finding for each field that has not been read."""
        for name in self._value:
            if name not in self._seen:
                self.add(str(name), "unknown field")

    def _get(self, name: str, default: object) -> object:
        self._seen.add(name)
        return self._value.get(name, default)

    def _add_mismatch(self, name: str, value: object, expected: str) -> None:
        if value is None and name not in self._value:
            self.add(name, f"missing; expected {expected}")
        else:
            self.add(name, f"expected {expected}, got {value!r:.60}")
