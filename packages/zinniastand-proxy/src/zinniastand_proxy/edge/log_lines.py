"""JSON log lines on standard output, bounded and never blocking.

A stalled reader must not stall callers, and a flood of lines must not use up the
processor. Lines wait in a small buffer and are written together. A full pipe keeps them
in the buffer, a full buffer drops new lines, and a limit per event and second bounds
the lines that are formatted at all. The next line that is kept states how many were
dropped.
"""

from __future__ import annotations

import collections
import json
import os
import time
import typing

import anyio

MAX_BUFFERED_BYTES = 262_144
"""Bytes buffered for a stalled reader: some seconds of lines at full rate."""

MAX_LINES_PER_S = 150
"""Lines of one event per second: more than a VM logs at its usual load of a few dozen
requests per second, and few enough to cost hardly any processor time."""

FLUSH_INTERVAL_S = 0.1
"""Seconds between writes, so that many lines share one system call."""

Value = str | int | float | bool | None | list[str]


class LogLines:
    """The log of this process.

    Parameters
    ----------
    vm : str
        Name of this VM, which is part of each line.
    descriptor : int
        File descriptor to which lines are written.
    """

    def __init__(self, vm: str, descriptor: int) -> None:
        self._vm = vm
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._lines_per_event: collections.Counter[str] = collections.Counter()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def is_flushed(self) -> bool:
        """Whether the buffer is empty."""
        return not self._buffer

    def write(self, event: str, **fields: Value) -> None:
        """Add a line about an event, or count it as dropped."""
        now = time.time()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_per_event.clear()
        self._lines_per_event[event] += 1
        if (
            self._lines_per_event[event] > MAX_LINES_PER_S
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self.dropped += 1
            return
        record: dict[str, typing.Any] = {"time": round(now, 3), "vm": self._vm}
        record["event"] = event
        record.update(fields)
        if self.dropped:
            record["lines_dropped"] = self.dropped
            self.dropped = 0
        line = json.dumps(record, separators=(",", ":")).encode() + b"\n"
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Write as many bytes as the pipe accepts without blocking."""
        while self._buffer:
            data = b"".join(self._buffer)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the lines are dropped.
                self.dropped += len(self._buffer)
                written = len(data)
            rest = data[written:]
            self._buffer.clear()
            self._buffered_bytes = len(rest)
            if rest:
                self._buffer.append(rest)
                return

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.flush()
