"""The store lost and regained is told once each, and asked again soon."""

from __future__ import annotations

import os
import random

import anyio
import pytest

from zinniastand_proxy.edge import log_lines, ports, store_contact

pytestmark = pytest.mark.anyio


async def test_an_outage_is_told_once_and_its_end_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_contact, "FIRST_PAUSE", 0.001)
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
    assert lines.count(b"x") == store_contact.MOST_WHY


async def test_pauses_grow_to_a_bound_and_begin_anew_after_an_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A new configuration must be in force two seconds after an outage: no pause may
    # come near that, however long the outage was.
    paused: list[float] = []

    async def note_pause(seconds: float) -> None:
        paused.append(seconds)

    monkeypatch.setattr(anyio, "sleep", note_pause)
    _, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    contact = store_contact.StoreContact("targets", log, random.Random(1))
    error = ports.StoreUnavailableError("down")
    for _ in range(20):
        await contact.wait_after_failure(error)
    assert max(paused) <= 1.5 * store_contact.MAX_DELAY_S
    assert min(paused[5:]) >= 0.5 * store_contact.MAX_DELAY_S
    contact.record_success()
    await contact.wait_after_failure(error)
    assert paused[-1] <= 1.5 * store_contact.FIRST_PAUSE
