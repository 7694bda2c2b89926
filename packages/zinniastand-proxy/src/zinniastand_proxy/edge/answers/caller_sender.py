"""Sends an answer to a caller in parts, and gives up on callers that are too slow."""

from __future__ import annotations

import collections.abc
import dataclasses
import socket

import anyio
import anyio.abc

from zinniastand_core import caller_pace

from .. import calls
from ..memory import body_buffer

PART_BYTES = 16_384
"""Bytes that are sent at a time: within the time limit for one part, a caller at the
minimum rate takes it."""


SEND_BUFFER_BYTES = 32_768
"""Size of the kernel's send buffer for an answer that is sent while it arrives; the
kernel doubles it. By default it grows to megabytes, which count as memory of the VM but
not in its account. At a round trip of 6 ms it allows 5 MB/s, four times the bandwidth
of the smallest VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlowCaller:
    """A caller that was disconnected because it was too slow."""

    incoming: calls.Incoming | None
    """Its request; None for one that could not be parsed."""

    reason: caller_pace.SlowReason
    """Why it was too slow."""

    taken: int
    """Bytes of the answer, head included, that it has taken."""

    waited: float
    """Seconds for which bytes were ready and not taken."""


ReportSlow = collections.abc.Callable[[SlowCaller], None]


def ignore_slow(_: SlowCaller) -> None:
    """Report nothing: for servers whose callers are the operator's own."""


class SlowCallerError(TimeoutError):
    """A caller has not taken the next bytes of its answer in time.

    Parameters
    ----------
    reason : caller_pace.SlowReason
        Why the caller is too slow.
    """

    def __init__(self, reason: caller_pace.SlowReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class CallerSender:
    """Sends one answer, in parts that the caller must take in time.

    Parameters
    ----------
    stream : anyio.abc.SocketStream
        The connection.
    pace : caller_pace.CallerPace
        Decides how long the caller may take.
    """

    def __init__(
        self, stream: anyio.abc.SocketStream, pace: caller_pace.CallerPace
    ) -> None:
        self._stream = stream
        self._pace = pace

    async def send_body(
        self,
        body: body_buffer.Part,
        encode: collections.abc.Callable[[body_buffer.Part], bytes],
    ) -> None:
        """Send a body in parts; each is encoded by `encode`.

        Raises
        ------
        SlowCallerError
            If the caller has not taken a part in time.
        """
        for start in range(0, len(body), PART_BYTES):
            await self.send_part(encode(body[start : start + PART_BYTES]))

    async def send_end(self, data: bytes) -> None:
        """Send what marks the end of an answer, if anything does."""
        if data:
            await self.send_part(data)

    async def send_streamed(
        self, source: calls.BodySource, encode: collections.abc.Callable[[bytes], bytes]
    ) -> None:
        """Send a body while it arrives; each part is encoded by `encode`.

        Raises
        ------
        SlowCallerError
            If the caller has not taken a part in time.
        """
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        while data := await source.take():
            for start in range(0, len(data), PART_BYTES):
                part = data[start : start + PART_BYTES]
                await self.send_part(encode(part))
                source.mark_taken(len(part))

    async def send_part(self, data: bytes) -> None:
        """Send a part of about `PART_BYTES` bytes at most.

        Raises
        ------
        SlowCallerError
            If the caller has not taken it in time.
        """
        started_at = anyio.current_time()
        with anyio.move_on_after(self._pace.find_time_allowed()) as scope:
            await self._stream.send(data)
        waited = anyio.current_time() - started_at
        if scope.cancelled_caught:
            self._pace.waited += waited
            raise SlowCallerError(self._pace.find_reason(waited))
        self._pace.record(len(data), waited)
