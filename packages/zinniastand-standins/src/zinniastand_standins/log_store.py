"""An in-memory stand-in for the platform's append-only log, with fault injection."""

from __future__ import annotations

import collections

import anyio

from zinniastand_proxy import platform_log


class LogStore:
    """Streams in memory, behind the `platform_log.Log` interface.

    Tests inject faults by setting attributes.

    Attributes
    ----------
    is_down : bool
        Whether all appends and reads are refused.
    loses_answers : bool
        Whether an append takes effect and then fails as uncertain.
    lag : int
        Number of newest entries of each stream that readers can't see yet.
    delay : float
        Seconds by which each append is delayed.
    appends : int
        Entries appended so far.
    bytes_appended : int
        Their bytes.
    reads : int
        Calls of `read` so far.
    """

    def __init__(self) -> None:
        self._streams: dict[str, list[bytes]] = collections.defaultdict(list)
        self._first_offsets: dict[str, int] = collections.defaultdict(int)
        self._changed = anyio.Event()
        self.is_down = False
        self.loses_answers = False
        self.lag = 0
        self.delay = 0.0
        self.appends = 0
        self.bytes_appended = 0
        self.reads = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Return the offset of the new entry; see `platform_log.Log.append`."""
        if self.delay:
            await anyio.sleep(self.delay)
        if self.is_down:
            raise platform_log.LogRefusedError("the log is down")
        offset = self.append_now(stream, data)
        if self.loses_answers:
            raise platform_log.LogUncertainError("the answer was lost")
        return offset

    def append_now(self, stream: str, data: bytes) -> int:
        """Append regardless of injected faults; return the offset of the new entry."""
        entries = self._streams[stream]
        entries.append(data)
        self.appends += 1
        self.bytes_appended += len(data)
        self._changed.set()
        self._changed = anyio.Event()
        return self._first_offsets[stream] + len(entries) - 1

    async def read(self, stream: str, offset: int, wait: float) -> platform_log.Page:
        """Return entries from `offset` on; see `platform_log.Log.read`."""
        self.reads += 1
        with anyio.move_on_after(wait):
            while not self.is_down and not self.list_entries(stream, offset).entries:
                await self._changed.wait()
        if self.is_down:
            raise platform_log.LogRefusedError("the log is down")
        return self.list_entries(stream, offset)

    def list_entries(self, stream: str, offset: int) -> platform_log.Page:
        """Return the entries from `offset` on that a reader can see now."""
        first = self._first_offsets[stream]
        start = max(offset, first)
        entries = self._streams[stream]
        visible = entries[start - first : max(0, len(entries) - self.lag)]
        return platform_log.Page(start, tuple(visible))

    def forget(self, stream: str, before: int) -> None:
        """Drop the entries before an offset, as retention does."""
        first = self._first_offsets[stream]
        drop = max(0, min(before - first, len(self._streams[stream])))
        del self._streams[stream][:drop]
        self._first_offsets[stream] = first + drop
