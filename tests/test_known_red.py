"""Tests of the list of tests that are expected to fail."""

from __future__ import annotations

import known_red
import pytest


def test_entry_has_test_command_failure_and_issue() -> None:
    text = "# why\n\ntests/a.py::test_b[7] | make test, seed 7 | 502 | 15\n"
    assert known_red.read_entries(text) == (
        known_red.Entry("tests/a.py::test_b[7]", "make test, seed 7", "502", "15"),
    )


@pytest.mark.parametrize("line", ["tests/a.py::test_b", "a | b | c | ", "a | b | c"])
def test_entry_without_all_fields_is_rejected_with_its_line(line: str) -> None:
    with pytest.raises(known_red.UnreadableEntryError, match=r"KNOWN-RED\.txt:2"):
        known_red.read_entries(f"#\n{line}\n")


def test_entry_that_names_no_test_is_rejected(request: pytest.FixtureRequest) -> None:
    # An entry that stays after its test was renamed has no effect, which would go
    # unnoticed without an error.
    entry = known_red.Entry("tests/test_known_red.py::test_gone", "c", "s", "1")
    with pytest.raises(known_red.UnreadableEntryError, match="test_gone"):
        known_red.mark_expected_failures(request.session.items, (entry,))
