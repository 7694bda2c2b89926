"""Answers of an older era, or of none, bring nothing in."""

from __future__ import annotations

import os

import pytest

from zinniastand_platform import eras, words
from zinniastand_proxy.edge import http_exchange, log_lines, ports


def answer(*values: bytes) -> http_exchange.Answer:
    headers = [(words.STORE_ERA, value) for value in values]
    return http_exchange.Answer(200, headers, b"", True, b"")


def make_eras() -> tuple[eras.Eras, int]:
    reader, writer = os.pipe()
    return eras.Eras(log_lines.LogLines("vm", writer)), reader


def test_store_that_names_no_era_is_in_the_first_one() -> None:
    kept, _ = make_eras()
    assert kept.take(answer(), "read targets") == 0
    assert kept.newest == 0


def test_later_era_counts_from_then_on() -> None:
    kept, _ = make_eras()
    assert [kept.take(answer(b"%d" % era), "x") for era in (3, 3, 5)] == [3, 3, 5]
    assert kept.newest == 5


@pytest.mark.parametrize(
    "values", [(), (b"",), (b"-1",), (b"4.5",), (b"x",), (b"9" * 40,), (b"3",)]
)
def test_odd_or_older_era_is_refused_and_noted_once(values: tuple[bytes, ...]) -> None:
    kept, _ = make_eras()
    kept.take(answer(b"4"), "read targets")
    for _ in range(3):
        with pytest.raises(ports.StoreUnavailableError):
            kept.take(answer(*values), "read targets")
    assert kept.newest == 4
    assert kept.refused == 3
