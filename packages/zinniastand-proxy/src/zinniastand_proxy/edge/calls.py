"""One call of a caller: its request, who waits for it, and its one answer."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from . import http_exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Incoming:
    """A whole request of a caller."""

    request: http_exchange.Request
    """The request, without headers that concern the connection only."""

    host: str
    """Whom the caller asked."""

    first_byte_at: float
    """When its first byte was read, in the VM's steady clock."""

    caller: Caller
    """Who waits for the answer."""


class Caller:
    """The side that waits for one answer; it may leave before."""

    def __init__(self) -> None:
        self.has_disconnected = False
        self._scope: anyio.CancelScope | None = None
        self._may_cancel: typing.Callable[[], bool] | None = None

    def watch(
        self, scope: anyio.CancelScope, may_cancel: typing.Callable[[], bool]
    ) -> None:
        """Cancel `scope` when the caller leaves, if `may_cancel` says so then."""
        self._scope = scope
        self._may_cancel = may_cancel

    def mark_disconnected(self) -> None:
        """Take in that the caller has gone."""
        self.has_disconnected = True
        if self._scope is not None and self._may_cancel is not None:
            if self._may_cancel():
                self._scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the caller gets."""

    status: int
    """Status code."""

    headers: http_exchange.Headers
    """Headers without those that frame the body."""

    body: bytes
    """Whole body."""


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, incoming: Incoming) -> Reply:
        """Return the answer to one request."""
        ...


MayOverlap = collections.abc.Callable[[Incoming], bool]
"""Tells whether a request may run beside others of its connection."""


def never_overlap(_: Incoming) -> bool:
    """Let each request of a connection wait for those before it."""
    return False
