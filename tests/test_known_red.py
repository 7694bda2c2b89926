"""The list of tests that are known to fail."""

from __future__ import annotations

import known_red
import pytest


def test_entry_has_test_command_what_was_seen_and_issue() -> None:
    text = "# why\n\ntests/a.py::test_b[7] | make test, seed 7 | 502 | 15\n"
    assert known_red.read_entries(text) == (
        known_red.Entry("tests/a.py::test_b[7]", "make test, seed 7", "502", "15"),
    )


@pytest.mark.parametrize("line", ["tests/a.py::test_b", "a | b | c | ", "a | b | c"])
def test_entry_without_all_fields_is_refused_with_its_place(line: str) -> None:
    with pytest.raises(known_red.UnreadableEntryError, match=r"KNOWN-RED\.txt:2"):
        known_red.read_entries(f"#\n{line}\n")


def test_entry_that_names_no_test_is_refused(request: pytest.FixtureRequest) -> None:
    # A test was renamed, and its entry stayed: the list would excuse nothing and look
    # as if it did.
    entry = known_red.Entry("tests/test_known_red.py::test_gone", "c", "s", "1")
    with pytest.raises(known_red.UnreadableEntryError, match="test_gone"):
        known_red.mark(request.session.items, (entry,))
