"""Relays connections of other VMs to targets that they cannot reach themselves."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import typing

import anyio
import anyio.abc

from zinniastand_core import held_bytes
from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import target_notices

from . import input_bounds, log_lines, members, relay_messages, target_connector
from .memory import receive_buffers

MAX_RELAYED_CONNECTIONS = 48
"""Connections that a VM relays at a time. They take descriptors, memory and processor
time of its own callers, and VMs that are refused find another relay."""

RELAYED_BYTES = 320 << 10
"""Memory of a relayed connection: what is on its way in either direction."""

DEADLINE_MARGIN_S = 0.2
"""Seconds after its deadline at which a relayed connection is closed, unless the VM
that uses it has closed it before."""

REQUEST_TIMEOUT_S = 0.5
"""Seconds within which a VM must send its request after it connected."""

REFUSAL_LOG_INTERVAL_S = 1.0
"""Minimum seconds between two log lines about refusals."""

Reason = relay_messages.RefusalReason

Copy = collections.abc.Callable[
    [anyio.abc.ByteStream, anyio.abc.ByteStream], collections.abc.Awaitable[None]
]
"""Copies bytes from one connection to another until an end."""


class LinkedConnector(target_connector.TargetConnector, typing.Protocol):
    """Opens direct connections, and knows which links are lost."""

    def has_lost_service(self, service: str) -> bool:
        """Return whether the links to all targets of a service are lost."""
        ...


class _RefusedError(Exception):
    """A connection is not relayed."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class RelayServer:
    """Relays connections to targets, over this VM's own links only.

    Parameters
    ----------
    fleet : members.Members
        The VMs, which alone may use this one as a relay.
    registry : targets.Registry
        Targets known to this VM.
    direct : LinkedConnector
        Opens direct connections.
    notices : target_notices.TargetNotices
        Targets that want no requests of this VM.
    log : log_lines.LogLines
        Logs refusals.
    record_bound : callable, optional
        Called when a connection has reached `relay_messages.MAX_RELAYED_BYTES`.
    held : held_bytes.HeldBytes, optional
        Account of the bytes that this VM holds; by default one without a limit.

    Attributes
    ----------
    is_stopping : bool
        Whether this VM is stopping and relays no new connections.
    relayed : int
        Number of connections that were relayed.
    refused : collections.Counter
        Number of refusals, by reason.
    """

    def __init__(
        self,
        fleet: members.Members,
        registry: targets.Registry,
        direct: LinkedConnector,
        notices: target_notices.TargetNotices,
        log: log_lines.LogLines,
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
        held: held_bytes.HeldBytes | None = None,
    ) -> None:
        self._held = held or held_bytes.HeldBytes(held_bytes.make_limits(None))
        self._record_bound = record_bound
        self._fleet = fleet
        self._registry = registry
        self._direct = direct
        self._notices = notices
        self._log = log
        self._refusal_logged_at = float("-inf")
        self.is_stopping = False
        self.in_flight = 0
        self.relayed = 0
        self.refused: collections.Counter[Reason] = collections.Counter()

    async def handle(self, stream: anyio.abc.SocketStream, received: bytes) -> None:
        """Relay a connection of another VM, whose first bytes were received."""
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                data = await relay_messages.receive_message(stream, received)
            request = self._check_request(stream, data)
            target = self._find_target(request)
        except relay_messages.UnreadableError:
            await self._refuse(stream, Reason.MALFORMED)
            return
        except _RefusedError as refused:
            await self._refuse(stream, refused.reason)
            return
        except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            self.refused[Reason.MALFORMED] += 1
            return
        self.in_flight += 1
        self._held.add_overhead(RELAYED_BYTES)
        try:
            receive_buffers.limit_stream(stream)
            await self._relay(stream, target, request.time_left)
        finally:
            self._held.add_overhead(-RELAYED_BYTES)
            self.in_flight -= 1

    def _check_request(
        self, stream: anyio.abc.SocketStream, data: bytes
    ) -> relay_messages.RelayRequest:
        request = relay_messages.decode_request(data)
        member = self._fleet.find(request.vm)
        [host, *_] = stream.extra(anyio.abc.SocketAttribute.remote_address)
        if member is None or member.host != host or request.vm == self._fleet.own.vm:
            raise _RefusedError(Reason.UNKNOWN_VM)
        if request.hops > 0:
            raise _RefusedError(Reason.ALREADY_RELAYED)
        if request.time_left <= 0:
            raise _RefusedError(Reason.EXPIRED)
        if self.is_stopping:
            raise _RefusedError(Reason.STOPPING)
        if self.in_flight >= MAX_RELAYED_CONNECTIONS or not self._held.accepts_any:
            raise _RefusedError(Reason.BUSY)
        return request

    def _find_target(self, request: relay_messages.RelayRequest) -> targets.Entry:
        target = self._registry.find_usable(request.target_id)
        if target is None:
            raise _RefusedError(Reason.UNKNOWN_TARGET)
        if self._notices.find_end(target, anyio.current_time()) is not None:
            raise _RefusedError(Reason.RESTING)
        if self._direct.has_lost_service(target.service):
            raise _RefusedError(Reason.NO_LINK)
        if not self._direct.has_direct_link(target):
            raise _RefusedError(Reason.UNREACHABLE)
        return target

    async def _refuse(self, stream: anyio.abc.ByteStream, reason: Reason) -> None:
        self.refused[reason] += 1
        now = anyio.current_time()
        if now >= self._refusal_logged_at + REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            total = sum(self.refused.values())
            self._log.write("relay_refused", why=reason.value, total=total)
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(relay_messages.encode_reply(reason))

    async def _relay(
        self, stream: anyio.abc.SocketStream, target: targets.Entry, time_left: float
    ) -> None:
        with anyio.move_on_after(time_left + DEADLINE_MARGIN_S):
            try:
                opened = await self._direct.connect(target, time_left)
            except target_connector.UnreachableError:
                await self._refuse(stream, Reason.UNREACHABLE)
                return
            self.relayed += 1
            receive_buffers.limit_stream(opened.stream)
            try:
                await self._splice(stream, opened.stream, target.target_id)
            finally:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(opened.stream)

    async def _splice(
        self,
        stream: anyio.abc.ByteStream,
        target_stream: anyio.abc.ByteStream,
        target_id: str,
    ) -> None:
        """Copy bytes both ways until either connection ends or reaches the bound."""

        async def _copy(
            copy: Copy, source: anyio.abc.ByteStream, sink: anyio.abc.ByteStream
        ) -> None:
            try:
                await copy(source, sink)
            except input_bounds.BoundReachedError as error:
                self._record_bound(error.place, error.count, target_id)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass  # The end of one connection ends the other.
            group.cancel_scope.cancel()

        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(relay_messages.encode_reply(None))
            async with anyio.create_task_group() as group:
                group.start_soon(_copy, _copy_requests, stream, target_stream)
                group.start_soon(_copy, _copy_answers, target_stream, stream)


async def _copy_requests(
    source: anyio.abc.ByteStream, sink: anyio.abc.ByteStream
) -> None:
    with contextlib.suppress(anyio.EndOfStream):
        async for data in _read_bounded(source, "relayed request"):
            await sink.send(data)


async def _copy_answers(
    source: anyio.abc.ByteStream, sink: anyio.abc.ByteStream
) -> None:
    with contextlib.suppress(anyio.EndOfStream):
        async for data in _read_bounded(source, "relayed answer"):
            await sink.send(relay_messages.LENGTH.pack(len(data)) + data)
    await sink.send(relay_messages.LENGTH.pack(0))


async def _read_bounded(
    source: anyio.abc.ByteStream, place: str
) -> collections.abc.AsyncIterator[bytes]:
    """Yield what is received; raise `BoundReachedError` beyond the bound.

    Raises
    ------
    anyio.EndOfStream, anyio.BrokenResourceError
        When the connection ends.
    """
    count = 0
    while True:
        data = await source.receive(relay_messages.MAX_CHUNK_BYTES)
        count += len(data)
        if count > relay_messages.MAX_RELAYED_BYTES:
            raise input_bounds.BoundReachedError(f"{place} too long", count)
        yield data
