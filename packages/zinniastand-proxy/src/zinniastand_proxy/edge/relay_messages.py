"""Messages between a VM that relays a connection to a target and the VM that uses it.

A relayed connection begins with a request and a reply, each a CBOR array after its
length. Then bytes follow as they are towards the target, and in chunks with their
length from it. An empty chunk says that the target closed its connection in order.
Without it, the end of a relayed connection would look like the end of an answer that
has no length, also where the relaying VM was killed.
"""

from __future__ import annotations

import dataclasses
import enum
import struct

import anyio
import anyio.abc
import cbor2

VERSION = 1
"""Version of the messages."""

LENGTH = struct.Struct(">I")
"""Length of a message or chunk in bytes."""

MAX_MESSAGE_BYTES = 1024
MAX_CHUNK_BYTES = 65_536
MAX_NAME_CHARACTERS = 256
MAX_RELAYED_BYTES = 72 << 20
"""Limit on the bytes that are relayed in one direction of a connection: the longest
body of an answer, with its framing. The VM that uses the connection applies the limit
of the route."""

MAX_TIME_LEFT_S = 3600.0


class UnreadableError(Exception):
    """Bytes that are no message of this protocol."""


class RefusalReason(enum.StrEnum):
    """Why a VM does not relay a connection."""

    MALFORMED = "malformed"
    """The request cannot be read, or its version is unknown."""

    UNKNOWN_VM = "unknown-vm"
    """The asking VM is not a member of the fleet."""

    ALREADY_RELAYED = "already-relayed"
    """The connection has been relayed before."""

    EXPIRED = "expired"
    """No time is left for it."""

    UNKNOWN_TARGET = "unknown-target"
    """The relaying VM knows no such target, or the target is leaving."""

    NO_LINK = "no-link"
    """The relaying VM has no link to any target of the service either."""

    UNREACHABLE = "unreachable"
    """The relaying VM cannot connect to this target."""

    RESTING = "resting"
    """The target has told the relaying VM that it wants no requests now."""

    BUSY = "busy"
    """The relaying VM relays as many connections as it may."""

    STOPPING = "stopping"
    """The relaying VM is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRequest:
    """Asks a VM to relay a connection to a target."""

    vm: str
    """Name of the asking VM."""

    target_id: str
    """The target."""

    time_left: float
    """Seconds until nobody waits for an answer on the connection."""

    hops: int = 0
    """VMs that the connection has passed before."""


def encode_request(request: RelayRequest) -> bytes:
    """Return the encoded message."""
    fields = [VERSION, request.vm, request.target_id, request.time_left, request.hops]
    return _encode(fields)


def decode_request(data: bytes) -> RelayRequest:
    """Decode a request.

    Raises
    ------
    UnreadableError
        If the data is no request of this version.
    """
    try:
        fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise UnreadableError(repr(error)) from error
    if not isinstance(fields, list) or len(fields) != 5 or fields[0] != VERSION:
        raise UnreadableError("expected a request of this version")
    _, vm, target_id, time_left, hops = fields
    for name in (vm, target_id):
        if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_CHARACTERS:
            raise UnreadableError("expected a name")
    is_time = isinstance(time_left, int | float) and not isinstance(time_left, bool)
    if not is_time or not abs(time_left) <= MAX_TIME_LEFT_S:
        raise UnreadableError("expected a time in seconds")
    if not isinstance(hops, int) or isinstance(hops, bool) or hops < 0:
        raise UnreadableError("expected a number of hops")
    return RelayRequest(vm, target_id, float(time_left), hops)


def encode_reply(refusal: RefusalReason | None) -> bytes:
    """Return the encoded reply; None accepts the connection."""
    return _encode([VERSION, refusal.value if refusal is not None else ""])


def decode_reply(data: bytes) -> RefusalReason | None:
    """Decode a reply; None if the connection is accepted.

    Raises
    ------
    UnreadableError
        If the data is no reply of this version.
    """
    try:
        version, reason = cbor2.loads(data)
        if version != VERSION:
            raise UnreadableError("expected a reply of this version")
        return RefusalReason(reason) if reason else None
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise UnreadableError(repr(error)) from error


async def receive_message(stream: anyio.abc.ByteStream, received: bytes = b"") -> bytes:
    """Return the next message; `received` are bytes of it that were read before.

    Raises
    ------
    UnreadableError
        If the message is too long, or followed by bytes that may not follow yet.
    anyio.EndOfStream, anyio.BrokenResourceError
        If the connection ends first.
    """
    while len(received) < LENGTH.size:
        received += await stream.receive(LENGTH.size - len(received))
    [length] = LENGTH.unpack_from(received)
    if length > MAX_MESSAGE_BYTES:
        raise UnreadableError("too long")
    missing = LENGTH.size + length - len(received)
    while missing > 0:
        received += await stream.receive(missing)
        missing = LENGTH.size + length - len(received)
    if missing < 0:
        raise UnreadableError("bytes before the reply")
    return received[LENGTH.size :]


def _encode(fields: list[object]) -> bytes:
    data = cbor2.dumps(fields)
    return LENGTH.pack(len(data)) + data


class RelayedStream(anyio.abc.ByteStream):
    """A connection to a target that another VM relays.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        Connection to the relaying VM, after its reply.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream = stream
        self._chunk_left = 0
        self._has_ended = False

    async def receive(self, max_bytes: int = MAX_CHUNK_BYTES) -> bytes:
        """Return bytes of the target.

        Raises
        ------
        anyio.EndOfStream
            If the target closed its connection in order.
        anyio.BrokenResourceError
            If the connection to the target or the relaying VM broke.
        """
        if self._has_ended:
            raise anyio.EndOfStream
        try:
            if not self._chunk_left:
                self._chunk_left = await self._receive_length()
            if not self._chunk_left:
                self._has_ended = True
                raise anyio.EndOfStream
            data = await self._stream.receive(min(max_bytes, self._chunk_left))
        except anyio.EndOfStream as error:
            if self._has_ended:
                raise
            raise anyio.BrokenResourceError from error
        self._chunk_left -= len(data)
        return data

    async def _receive_length(self) -> int:
        header = b""
        while len(header) < LENGTH.size:
            header += await self._stream.receive(LENGTH.size - len(header))
        [length] = LENGTH.unpack(header)
        if length > MAX_CHUNK_BYTES:
            raise anyio.BrokenResourceError
        return length

    async def send(self, item: bytes) -> None:
        """Send bytes to the target."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection; the relaying VM then closes the one to the target."""
        await anyio.aclose_forcefully(self._stream)
