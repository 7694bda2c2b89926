"""A caller's request, the state of its caller, and the reply to it."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import typing

import anyio

from . import http_exchange
from .memory import body_buffer


@dataclasses.dataclass(frozen=True, slots=True)
class Incoming:
    """A complete request of a caller."""

    request: http_exchange.Request
    """The request, without headers that concern the connection only."""

    host: str
    """Value of the request's Host header; empty if it has none."""

    first_byte_at: float
    """When its first byte was read, in seconds of the VM's monotonic clock."""

    caller: Caller
    """The caller that waits for the answer."""


class Caller:
    """The caller of one request; it may disconnect before the answer.

    Parameters
    ----------
    can_take_chunks : bool, optional
        Whether an answer of unknown length can be sent to it so that its end is marked:
        not over HTTP/1.0, where a truncated answer would look complete.

    Attributes
    ----------
    has_disconnected : bool
        Whether the caller has disconnected or closed its sending side.
    """

    def __init__(self, can_take_chunks: bool = True) -> None:
        self.can_take_chunks = can_take_chunks
        self.has_disconnected = False
        self._begin: typing.Callable[[Reply], None] | None = None
        self._turn: anyio.Event | None = None
        self._has_turn = False
        self._scope: anyio.CancelScope | None = None
        self._may_cancel: typing.Callable[[], bool] | None = None

    def watch(
        self, scope: anyio.CancelScope, may_cancel: typing.Callable[[], bool]
    ) -> None:
        """Cancel `scope` at the caller's disconnection, if `may_cancel` allows it then.

        Parameters
        ----------
        scope : anyio.CancelScope
            Scope in which the request is handled.
        may_cancel : callable
            Called at the disconnection; returns whether the request may be cancelled.
        """
        self._scope = scope
        self._may_cancel = may_cancel

    def use_reply_handler(self, begin: typing.Callable[[Reply], None]) -> None:
        """Call `begin` with a reply that is sent while it arrives."""
        self._begin = begin

    def give_turn(self) -> None:
        """Record that all earlier requests of the connection are answered."""
        self._has_turn = True
        if self._turn is not None:
            self._turn.set()

    async def wait_turn(self) -> None:
        """Return once all earlier requests of the connection are answered."""
        if not self._has_turn:
            self._turn = self._turn or anyio.Event()
            await self._turn.wait()

    def begin_reply(self, reply: Reply) -> None:
        """Start sending a reply whose body is still arriving."""
        if self._begin is not None:
            self._begin(reply)

    def release(self) -> None:
        """Drop what handles the request, which has ended.

        These refer to the caller and to the bodies of the request and its answer. The
        cycle would keep them in memory until the next garbage collection.
        """
        self._begin = None
        self._scope = None
        self._may_cancel = None

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected or closed its sending side."""
        self.has_disconnected = True
        if self._scope is not None and self._may_cancel is not None:
            if self._may_cancel():
                self._scope.cancel()


class BodySource(typing.Protocol):
    """Body of a reply that is sent while it arrives."""

    @property
    def length(self) -> int | None:
        """Length of the body in bytes; None if it is not known."""
        ...

    async def take(self) -> bytes:
        """Return the next bytes; empty at the end. Raises if the body is truncated."""
        ...

    def mark_taken(self, size: int) -> None:
        """Record that the caller has taken some of these bytes."""
        ...

    def abandon(self) -> None:
        """Record that the caller takes nothing more."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer that is sent to the caller."""

    status: int
    """Status code."""

    headers: http_exchange.Headers
    """Headers, without those that frame the body."""

    body: body_buffer.Part
    """Complete body; empty if there is a source."""

    source: BodySource | None = None
    """Source of a body that is still arriving."""


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, incoming: Incoming) -> Reply:
        """Return the reply to one request."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTerms:
    """What is known about a request before its body has arrived."""

    refusal: Reply | None = None
    """Reply if the request can not be served, whatever its body."""

    deadline_at: float = math.inf
    """Time by which the request must be answered, in seconds of the VM's clock."""


CheckHead = collections.abc.Callable[[Incoming], BodyTerms]
"""Returns the terms of a request whose head has arrived and whose body is due."""


def wait_for_any_body(_: Incoming) -> BodyTerms:
    """Return that the body may take any time."""
    return BodyTerms()


MayOverlap = collections.abc.Callable[[Incoming], bool]
"""Returns whether a request may run concurrently with others of its connection."""


def never_overlap(_: Incoming) -> bool:
    """Return False: each request of a connection waits for those before it."""
    return False
