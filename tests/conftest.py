"""Hypothesis profiles and hooks for all tests."""

from __future__ import annotations

import os

import hypothesis
import known_red
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=False, database=None
)
# Random examples that differ in each run; a failure prints how to reproduce it.
hypothesis.settings.register_profile("fuzz", deadline=None, print_blob=True)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Run coroutine tests on the event loop of the daemon."""
    return "asyncio", {"use_uvloop": True}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that are listed as failing for a known fault."""
    try:
        known_red.mark_expected_failures(items, known_red.load_entries())
    except known_red.UnreadableEntryError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that are expected to fail, with their outcomes in this run."""
    entries = known_red.load_entries()
    if not entries:
        return
    terminalreporter.section("known red")
    outcomes = {
        report.nodeid: outcome
        for outcome in ("xfailed", "xpassed")
        for report in terminalreporter.getreports(outcome)
    }
    for entry in entries:
        outcome = outcomes.get(entry.test, "not run")
        terminalreporter.write_line(f"{outcome}: {entry.test}: {entry.seen}")
