"""Tests of idempotency keys: format, age and digest."""

from __future__ import annotations

import uuid

import pytest

from zinniastand_core import keys

WINDOW = keys.Window(3600.0, 5.0)
NOW = 1_800_000_000.0


def make_key(at: float) -> str:
    """Return a UUID version 7 with the timestamp `at`, in Unix seconds."""
    stamp = int(at * 1000) << 80
    return str(uuid.UUID(int=stamp | (7 << 76) | (2 << 62) | 12345))


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (None, keys.KeyFault.MISSING),
        ("", keys.KeyFault.MISSING),
        ("order-17", keys.KeyFault.MALFORMED),
        (str(uuid.UUID(int=5, version=4)), keys.KeyFault.MALFORMED),
        (make_key(NOW - 3601), keys.KeyFault.TOO_OLD),
        (make_key(NOW + 6), keys.KeyFault.FROM_THE_FUTURE),
    ],
)
def test_refuses_missing_malformed_old_and_future_keys(
    text: str | None, fault: keys.KeyFault
) -> None:
    assert keys.read_key(text, "a", "s", WINDOW, NOW).error is fault


def test_accepts_keys_within_the_window() -> None:
    assert keys.read_key(make_key(NOW - 3599), "a", "s", WINDOW, NOW).is_ok()
    assert keys.read_key(make_key(NOW + 4), "a", "s", WINDOW, NOW).is_ok()


def test_same_key_differs_between_accounts_and_services() -> None:
    text = make_key(NOW)
    digests = {
        keys.read_key(text, account, service, WINDOW, NOW).ok.digest
        for account, service in (("a", "s"), ("b", "s"), ("a", "t"), ("as", ""))
    }
    assert len(digests) == 4
