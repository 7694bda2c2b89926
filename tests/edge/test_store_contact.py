"""Loss and return of the store are logged once each, and retries stay frequent."""

from __future__ import annotations

import os
import random

import anyio
import pytest

from zinniastand_proxy.edge import log_lines, ports, store_contact

pytestmark = pytest.mark.anyio


async def test_start_and_end_of_an_outage_are_logged_once_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_contact, "INITIAL_DELAY_S", 0.001)
    reader, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    contact = store_contact.StoreContact("targets", log, random.Random(1))
    assert not contact.record_success()
    for _ in range(3):
        await contact.wait_after_failure(ports.StoreUnavailableError("x" * 500))
    assert contact.record_success()
    assert not contact.record_success()
    log.flush()
    lines = os.read(reader, 10_000)
    assert lines.count(b'"store_lost"') == 1
    assert lines.count(b'"store_back"') == 1
    assert lines.count(b"x") == store_contact.MAX_ERROR_CHARACTERS


async def test_retry_delay_grows_to_its_maximum_and_is_reset_by_a_success(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A new configuration must be in force within two seconds after an outage, so no
    # delay may come near that, however long the outage was.
    delays: list[float] = []

    async def record_sleep(seconds: float) -> None:
        delays.append(seconds)

    monkeypatch.setattr(anyio, "sleep", record_sleep)
    _, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    contact = store_contact.StoreContact("targets", log, random.Random(1))
    error = ports.StoreUnavailableError("down")
    for _ in range(20):
        await contact.wait_after_failure(error)
    assert max(delays) <= 1.5 * store_contact.MAX_DELAY_S
    assert min(delays[5:]) >= 0.5 * store_contact.MAX_DELAY_S
    contact.record_success()
    await contact.wait_after_failure(error)
    assert delays[-1] <= 1.5 * store_contact.INITIAL_DELAY_S
