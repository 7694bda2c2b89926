"""Holds a body once, and gives its memory back as soon as it is released."""

from __future__ import annotations

import collections.abc
import contextlib
import mmap
import typing

PART_BYTES = 65_536
"""Size of the parts in which a body is sent."""

MAX_SHORT_BYTES = 16_384
"""Size up to which a body is kept on the heap."""

SEGMENT_BYTES = 1 << 20
"""Size of the segments of a body of unknown length."""

MAX_SEGMENT_BYTES = 1 << 30
"""Limit on the size of one segment."""

Part = bytes | memoryview


class BodyBuffer(collections.abc.Sequence[Part]):
    """A body, as the sequence of its parts.

    Longer bodies lie in memory mappings of their own. On the heap, bodies that come and
    go beside each other would leave gaps that take as much memory again; and a buffer
    that grows is copied each time. Pages of a mapping count once they are written.

    Parameters
    ----------
    expected_bytes : int, optional
        Size of the whole body; 0 if it is not known.

    Attributes
    ----------
    expected_bytes : int
        The same.
    size : int
        Bytes that were added.
    """

    def __init__(self, expected_bytes: int = 0) -> None:
        self.expected_bytes = expected_bytes
        self._start = bytearray()
        self._segments: list[mmap.mmap] = []
        self._used: list[int] = []
        self.size = 0

    def __len__(self) -> int:
        """Return the number of parts."""
        return sum(-(-used // PART_BYTES) for used in self._used) + bool(self._start)

    @typing.overload
    def __getitem__(self, index: int) -> Part: ...

    @typing.overload
    def __getitem__(self, index: slice) -> collections.abc.Sequence[Part]: ...

    def __getitem__(self, index: int | slice) -> Part | collections.abc.Sequence[Part]:
        """Return one part, or several."""
        if isinstance(index, slice):
            return [self[i] for i in range(*index.indices(len(self)))]
        if index < 0:
            index += len(self)
        if self._start:
            if index == 0:
                return bytes(self._start)
            index -= 1
        for segment, used in zip(self._segments, self._used, strict=True):
            count = -(-used // PART_BYTES)
            if index < count:
                start = index * PART_BYTES
                return memoryview(segment)[start : min(used, start + PART_BYTES)]
            index -= count
        raise IndexError(index)

    def add(self, data: bytes | bytearray | memoryview) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        if not self._segments:
            if max(self.size, self.expected_bytes) <= MAX_SHORT_BYTES:
                self._start += data
                return
            begun, self._start = self._start, bytearray()
            self._append(memoryview(begun))
        self._append(memoryview(data))

    def take_whole(self) -> Part:
        """Return the whole body, and leave this buffer empty.

        A long body of known length is not copied: its mapping lasts as long as the view
        that is returned.
        """
        if len(self._segments) == 1 and self.size > PART_BYTES:
            body: Part = memoryview(self._segments[0])[: self.size]
        else:
            body = b"".join(self)
        self.clear()
        return body

    def clear(self) -> None:
        """Release the memory. Parts that are still in use keep theirs until then."""
        segments, self._segments, self._used = self._segments, [], []
        self._start = bytearray()
        self.size = 0
        for segment in segments:
            with contextlib.suppress(BufferError):
                segment.close()

    def _append(self, data: memoryview) -> None:
        while data:
            if not self._segments or self._used[-1] == len(self._segments[-1]):
                self._add_segment()
            segment, used = self._segments[-1], self._used[-1]
            taken = data[: len(segment) - used]
            segment[used : used + len(taken)] = taken
            self._used[-1] = used + len(taken)
            data = data[len(taken) :]

    def _add_segment(self) -> None:
        missing = self.expected_bytes - sum(self._used)
        size = min(missing, MAX_SEGMENT_BYTES) if missing > 0 else SEGMENT_BYTES
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        self._segments.append(mmap.mmap(-1, size, flags=flags))
        self._used.append(0)
