"""The log is bounded and never blocks."""

from __future__ import annotations

import json
import os

import pytest

from zinniastand_proxy.edge import log_lines


def test_lines_are_json_with_time_and_vm() -> None:
    reader, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    log.write("answer", request="r1", status=200)
    log.flush()
    [line] = os.read(reader, 10_000).splitlines()
    record = json.loads(line)
    assert record["vm"] == "vm-1"
    assert record["event"] == "answer"
    assert record["request"] == "r1"
    assert record["time"] > 0


def test_stalled_reader_neither_blocks_nor_fills_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The log collector has stopped reading. Callers must not wait for it; lines that do
    # not fit are dropped, and the first line that gets through says how many.
    monkeypatch.setattr(log_lines, "MAX_LINES_PER_S", 1_000_000)
    reader, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    for n in range(20_000):
        log.write("answer", request=f"request-{n}", why="x" * 40)
        if n % 100 == 0:
            log.flush()
    assert log.dropped > 0
    data = b""
    for _ in range(100):
        data += os.read(reader, 1 << 20)
        log.flush()
        if data.endswith(b"\n") and log.is_flushed:
            break
    log.write("after")
    log.flush()
    data += os.read(reader, 1 << 20)
    lines = [json.loads(line) for line in data.splitlines()]
    assert len(data) < 2 * log_lines.MAX_BUFFERED_BYTES
    assert lines[-1]["event"] == "after"
    assert lines[-1]["lines_dropped"] > 0


def test_flood_of_one_event_leaves_room_for_others() -> None:
    reader, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    for _ in range(3 * log_lines.MAX_LINES_PER_S):
        log.write("answer")
    log.write("store_lost", part="targets")
    log.flush()
    events = [
        json.loads(line)["event"] for line in os.read(reader, 1 << 20).splitlines()
    ]
    assert events.count("answer") <= 2 * log_lines.MAX_LINES_PER_S
    assert "store_lost" in events


def test_closed_pipe_raises_no_error() -> None:
    reader, writer = os.pipe()
    log = log_lines.LogLines("vm-1", writer)
    os.close(reader)
    log.write("answer")
    log.flush()
    assert log.dropped == 1
