"""Idempotency keys: their age decides whether they can be taken at all."""

from __future__ import annotations

import uuid

import pytest

from zinniastand_core import keys

WINDOW = keys.Window(3600.0, 5.0)
NOW = 1_800_000_000.0


def make(at: float) -> str:
    """Return a UUID of version 7 made at a time."""
    stamp = int(at * 1000) << 80
    return str(uuid.UUID(int=stamp | (7 << 76) | (2 << 62) | 12345))


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (None, keys.KeyFault.MISSING),
        ("", keys.KeyFault.MISSING),
        ("order-17", keys.KeyFault.MALFORMED),
        (str(uuid.UUID(int=5, version=4)), keys.KeyFault.MALFORMED),
        (make(NOW - 3601), keys.KeyFault.TOO_OLD),
        (make(NOW + 6), keys.KeyFault.FROM_THE_FUTURE),
    ],
)
def test_refuses_keys_whose_records_may_be_gone(
    text: str | None, fault: keys.KeyFault
) -> None:
    assert keys.read_key(text, "a", "s", WINDOW, NOW).error is fault


def test_takes_keys_within_the_window() -> None:
    assert keys.read_key(make(NOW - 3599), "a", "s", WINDOW, NOW).is_ok()
    assert keys.read_key(make(NOW + 4), "a", "s", WINDOW, NOW).is_ok()


def test_accounts_and_services_have_keys_of_their_own() -> None:
    text = make(NOW)
    digests = {
        keys.read_key(text, account, service, WINDOW, NOW).ok.digest
        for account, service in (("a", "s"), ("b", "s"), ("a", "t"), ("as", ""))
    }
    assert len(digests) == 4
