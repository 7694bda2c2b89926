"""Passes large answers from a target's connection to a caller's while they arrive.

The attempt at the target puts bytes into an `AnswerStream`, and the caller's connection
takes them. While its share of the VM's memory is used up, the target is not read.
"""

from __future__ import annotations

import collections

import anyio

from zinniastand_core import held_bytes

STREAM_FROM_BYTES = 32_768
"""Size of a body beyond which it is streamed. Up to there it is buffered, so that a
request whose target fails early can be tried elsewhere."""

LONG_PAUSE_S = 1.0
"""Pause in seconds after which a target that breaks off is not blamed: targets cut off
answers that nobody reads for some seconds."""


class TruncatedError(Exception):
    """The answer ended before it was complete; its message says why."""


class AnswerStreams:
    """The streams of one VM, which share its memory.

    Parameters
    ----------
    held : held_bytes.HeldBytes
        Account of the bytes that the VM holds.
    """

    def __init__(self, held: held_bytes.HeldBytes) -> None:
        self.held = held
        self._paused: dict[held_bytes.StreamShare, AnswerStream] = {}

    def open(self) -> AnswerStream:
        """Return a stream for a request whose answer may be large."""
        return AnswerStream(self, self.held.open_share())

    def count_paused(self) -> int:
        """Return the number of streams whose targets are not read now."""
        return len(self._paused)

    def pause(self, share: held_bytes.StreamShare, stream: AnswerStream) -> None:
        """Resume a stream as soon as its share allows."""
        self._paused[share] = stream
        self.resume_allowed()

    def unpause(self, share: held_bytes.StreamShare) -> None:
        """Record that a stream does not wait any more."""
        self._paused.pop(share, None)

    def resume_allowed(self) -> None:
        """Let streams read ahead while there is memory, and resume those that may."""
        if not self._paused or not self.held.may_read_ahead:
            return
        self.held.grant_read_ahead(
            share for share in self._paused if not share.may_read
        )
        for share, stream in self._paused.items():
            if share.may_read:
                stream.notify()


class AnswerStream:
    """The bytes of one answer on their way to the caller.

    Parameters
    ----------
    streams : AnswerStreams
        The streams of this VM.
    share : held_bytes.StreamShare
        The part of the VM's memory that belongs to this stream.

    Attributes
    ----------
    has_begun : bool
        Whether the answer has begun to go out.
    length : int or None
        Content length of the answer; None if it is not known.
    fault : str
        Why the answer was truncated; empty if it was not.
    paused_time : float
        Seconds for which the target was not read.
    longest_pause : float
        Longest such time without interruption, in seconds.
    is_paused : bool
        Whether the target is not read, because the caller is slower; also after an
        attempt that was cancelled then.
    """

    def __init__(self, streams: AnswerStreams, share: held_bytes.StreamShare) -> None:
        self._streams = streams
        self._share = share
        self._chunks: collections.deque[bytes] = collections.deque()
        self._changed = anyio.Event()
        self._is_complete = False
        self._is_abandoned = False
        self._is_released = False
        self.is_paused = False
        self.has_begun = False
        self.length: int | None = None
        self.fault = ""
        self.paused_time = 0.0
        self.longest_pause = 0.0

    def begin(self, length: int | None) -> None:
        """Record that the answer begins to go out."""
        self.has_begun = True
        self.length = length
        if length is not None:
            self._share.remainder = length

    def put(self, data: bytes) -> None:
        """Add bytes that were read; they are dropped if nobody takes them."""
        if self._is_abandoned:
            return
        self._chunks.append(data)
        self._streams.held.add_streamed(self._share, len(data))
        self.notify()

    async def wait_for_room(self) -> None:
        """Return once more of the answer may be read."""
        if self._is_abandoned or self._share.may_read:
            return
        paused_at = anyio.current_time()
        self.is_paused = True
        try:
            self._streams.pause(self._share, self)
            while not (self._is_abandoned or self._share.may_read):
                await self._changed.wait()
            self.is_paused = False
        finally:
            self._streams.unpause(self._share)
            pause = anyio.current_time() - paused_at
            self.paused_time += pause
            self.longest_pause = max(self.longest_pause, pause)

    def finish(self) -> None:
        """Record that all bytes of the answer were put."""
        self._is_complete = True
        self._release_if_unused()
        self.notify()

    def abort(self, why: str) -> None:
        """Truncate the answer, unless all of it was put. May be called repeatedly."""
        if self._is_complete or self.fault:
            return
        self.fault = why
        self._chunks.clear()
        self._release()
        self.notify()

    async def take(self) -> bytes:
        """Return the next bytes; empty at the end of the answer.

        Raises
        ------
        TruncatedError
            If the answer was truncated.
        """
        while not self._chunks and not self._is_complete and not self.fault:
            await self._changed.wait()
        if self.fault:
            raise TruncatedError(self.fault)
        return self._chunks.popleft() if self._chunks else b""

    def mark_taken(self, size: int) -> None:
        """Record that the caller has taken some of the bytes returned by `take`."""
        if self._is_released:
            return
        now = anyio.current_time()
        self._streams.held.remove_streamed(self._share, size, now)
        if self.is_paused and self._share.may_read:
            self.notify()
        self._release_if_unused()
        self._streams.resume_allowed()

    def abandon(self) -> None:
        """Record that the caller takes nothing more. May be called repeatedly."""
        self._is_abandoned = True
        self._chunks.clear()
        self._release()
        self.notify()

    def notify(self) -> None:
        """Wake those that wait for a change of this stream."""
        self._changed.set()
        self._changed = anyio.Event()

    def _release_if_unused(self) -> None:
        if self._is_complete and self._share.held == 0:
            self._release()

    def _release(self) -> None:
        if not self._is_released:
            self._is_released = True
            self._streams.held.close_share(self._share, anyio.current_time())
            self._streams.resume_allowed()
