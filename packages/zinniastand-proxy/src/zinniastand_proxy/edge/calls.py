"""A caller's request, the state of its caller, and the reply to it."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from . import http_exchange


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
    """The caller of one request; it may disconnect before the answer."""

    def __init__(self) -> None:
        self.has_disconnected = False
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

    def mark_disconnected(self) -> None:
        """Record that the caller has disconnected or closed its sending side."""
        self.has_disconnected = True
        if self._scope is not None and self._may_cancel is not None:
            if self._may_cancel():
                self._scope.cancel()


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer that is sent to the caller."""

    status: int
    """Status code."""

    headers: http_exchange.Headers
    """Headers, without those that frame the body."""

    body: bytes
    """Complete body."""


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, incoming: Incoming) -> Reply:
        """Return the reply to one request."""
        ...


MayOverlap = collections.abc.Callable[[Incoming], bool]
"""Returns whether a request may run concurrently with others of its connection."""


def never_overlap(_: Incoming) -> bool:
    """Return False: each request of a connection waits for those before it."""
    return False
