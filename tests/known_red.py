"""Tests that are expected to fail because of a known, unfixed fault.

`KNOWN-RED.txt` at the root has one line for each: test, command and seed, observed
failure and issue, separated by `` | ``. Such a test runs like any other. Its failure is
printed at the end and does not fail the run.
"""

from __future__ import annotations

import dataclasses
import pathlib

import pytest

PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
SEPARATOR = " | "
FIELD_COUNT = 4


class UnreadableEntryError(Exception):
    """Raised for an invalid entry of the list; the message names the line or test."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A test that is expected to fail."""

    test: str
    """Its pytest node id."""

    command: str
    """Command, with its seed if it has one, that reproduces the failure."""

    seen: str
    """Observed failure."""

    issue: str
    """Number of the open issue."""


def read_entries(text: str) -> tuple[Entry, ...]:
    """Return the entries of a list; empty lines and lines with ``#`` first are skipped.

    Raises
    ------
    UnreadableEntryError
        If a line does not have four non-empty fields.
    """
    entries: list[Entry] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise UnreadableEntryError(f"{PATH.name}:{number}: not four fields")
        entries.append(Entry(*fields))
    return tuple(entries)


def load_entries() -> tuple[Entry, ...]:
    """Return the entries of this checkout; none if it has no list."""
    return read_entries(PATH.read_text()) if PATH.exists() else ()


def mark_expected_failures(
    items: list[pytest.Item], entries: tuple[Entry, ...]
) -> None:
    """Mark the listed tests so that their failure does not fail the run.

    Raises
    ------
    UnreadableEntryError
        If an entry names a test that does not exist in a collected file.
    """
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.split("::")[0] for item in items}
    for entry in entries:
        item = by_id.get(entry.test)
        if item is not None:
            reason = f"known red, issue {entry.issue}: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
        elif entry.test.split("::")[0] not in files:
            continue  # The file was not collected: only some of the tests are run.
        elif not any(node_id.startswith(entry.test.split("[")[0]) for node_id in by_id):
            raise UnreadableEntryError(f"{PATH.name}: no test {entry.test}")
