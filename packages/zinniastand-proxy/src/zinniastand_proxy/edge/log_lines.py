"""JSON lines on standard output, bounded and never blocking.

A reader that stalls must not stall callers, and a flood of lines must not take the
processor from them. Lines wait in a small buffer and go out in one write at a time; a
full pipe keeps them there, a full buffer drops the newest, and a rate per event bounds
what is formatted at all. How many were dropped stands in the next line that goes out.
"""

from __future__ import annotations

import collections
import json
import os
import time
import typing

import anyio

MAX_BUFFERED_BYTES = 262_144
"""Bytes that wait for a reader that stalls: some seconds of lines at full rate."""

MAX_LINES_PER_S = 150
"""Lines of one event and second: more than any VM decides a second at its usual load
of a few dozen requests, and little enough to cost next to no processor."""

FLUSH_PAUSE = 0.1
"""Seconds between writes, so that many lines share one system call."""

Value = str | int | float | bool | None | list[str]


class LogLines:
    """The log of this process.

    Parameters
    ----------
    vm : str
        Name of this VM, in each line.
    descriptor : int
        Where the lines go.
    """

    def __init__(self, vm: str, descriptor: int) -> None:
        self._vm = vm
        self._descriptor = descriptor
        self._buffer: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._second = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def is_flushed(self) -> bool:
        """Whether no line waits for its reader."""
        return not self._buffer

    def write(self, event: str, **fields: Value) -> None:
        """Add one line about an event."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] > MAX_LINES_PER_S or self._size > MAX_BUFFERED_BYTES:
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
        self._size += len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._buffer:
            data = b"".join(self._buffer)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines have nowhere to go.
                self.dropped += len(self._buffer)
                written = len(data)
            rest = data[written:]
            self._buffer.clear()
            self._size = len(rest)
            if rest:
                self._buffer.append(rest)
                return

    async def run(self) -> None:
        """Write from time to time until cancelled."""
        while True:
            await anyio.sleep(FLUSH_PAUSE)
            self.flush()
