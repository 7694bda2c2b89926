"""Answers of the store from an older era, or without an era, are rejected."""

from __future__ import annotations

import os

import pytest

from zinniastand_platform import eras, wire_names
from zinniastand_proxy.edge import http_exchange, log_lines, ports


def answer(*values: bytes) -> http_exchange.Answer:
    headers = [(wire_names.STORE_ERA, value) for value in values]
    return http_exchange.Answer(200, headers, b"", True, b"")


def make_tracker() -> tuple[eras.EraTracker, int]:
    reader, writer = os.pipe()
    return eras.EraTracker(log_lines.LogLines("vm", writer)), reader


def test_store_that_has_never_named_an_era_is_in_era_0() -> None:
    tracker, _ = make_tracker()
    assert tracker.check_answer(answer(), "read targets") == 0
    assert tracker.newest == 0


def test_later_era_becomes_the_newest() -> None:
    tracker, _ = make_tracker()
    assert [tracker.check_answer(answer(b"%d" % era), "x") for era in (3, 3, 5)] == [
        3,
        3,
        5,
    ]
    assert tracker.newest == 5


@pytest.mark.parametrize(
    "values", [(), (b"",), (b"-1",), (b"4.5",), (b"x",), (b"9" * 40,), (b"3",)]
)
def test_missing_malformed_or_older_era_is_rejected(values: tuple[bytes, ...]) -> None:
    tracker, _ = make_tracker()
    tracker.check_answer(answer(b"4"), "read targets")
    for _ in range(3):
        with pytest.raises(ports.StoreUnavailableError):
            tracker.check_answer(answer(*values), "read targets")
    assert tracker.newest == 4
    assert tracker.refused_count == 3
