"""Connections to targets: one object each, so that a silent one can be told apart.

`httpcore` is the engine under `httpx`. It is used without `httpx` on this one path,
because the client and its pool cost more than everything else together (see
docs/COST.md), and because the pool hides which connection carries a request.
"""

from __future__ import annotations

import collections
import typing

import anyio
import httpcore

from zinniastand_core import attempt_actions, services

PROVED_FOR = 1.0
IDLE_FOR = 30.0
CONNECT_TIMEOUT = 0.5


class NoConnectionError(Exception):
    """No connection could be made, so the target saw nothing of the request."""


class NoFreeConnectionError(Exception):
    """Every connection that this VM may have to the target is in use."""


class Connection:
    """One connection to a target.

    Parameters
    ----------
    http : httpcore.AsyncHTTP11Connection
        The connection itself.
    now : float
        Unix seconds.
    """

    def __init__(self, http: httpcore.AsyncHTTP11Connection, now: float) -> None:
        self.http = http
        self.is_new = True
        self.proved_until = now + PROVED_FOR
        self.idle_until = now + IDLE_FOR

    def prove(self, now: float) -> None:
        """Take in that a whole answer has come back on it."""
        self.is_new = False
        self.proved_until = now + PROVED_FOR
        self.idle_until = now + IDLE_FOR


class TargetConnections:
    """All connections of this VM to one target.

    Parameters
    ----------
    target : services.Target
        The target.
    most : int
        Most connections at a time.
    """

    def __init__(self, target: services.Target, most: int) -> None:
        self._target = target
        self._most = most
        self._idle: collections.deque[Connection] = collections.deque()
        self._open = 0
        self._origin = httpcore.Origin(b"http", target.host.encode(), target.port)
        # httpcore types this name as an error that is raised where anyio is missing.
        self._backend = typing.cast(
            "httpcore.AsyncNetworkBackend", httpcore.AnyIOBackend()
        )

    @property
    def open_count(self) -> int:
        """Connections in use or idle."""
        return self._open

    async def take(
        self, freshness: attempt_actions.Freshness, now: float
    ) -> Connection:
        """Return a connection that may carry a request.

        Raises
        ------
        NoConnectionError
            If a new one cannot be made.
        NoFreeConnectionError
            If all that are allowed are in use.
        """
        if freshness is not attempt_actions.Freshness.NEW:
            pooled = self._take_idle(freshness, now)
            if pooled is not None:
                return pooled
        return await self._connect(now)

    def give_back(self, connection: Connection, now: float) -> None:
        """Keep a connection that has just carried a whole answer."""
        if not connection.http.is_idle():
            self._open -= 1
            return
        connection.prove(now)
        self._idle.append(connection)

    async def discard(self, connection: Connection) -> None:
        """Close a connection that can no longer be trusted."""
        self._open -= 1
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()

    async def close_idle(self, now: float) -> None:
        """Close connections that nothing has used for a while."""
        while self._idle and self._idle[0].idle_until <= now:
            await self.discard(self._idle.popleft())

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self.discard(self._idle.popleft())

    def _take_idle(
        self, freshness: attempt_actions.Freshness, now: float
    ) -> Connection | None:
        while self._idle:
            connection = self._idle[-1]
            # Work that may not run twice goes only where an answer came moments ago:
            # a connection that has silently gone dead would swallow it, and nobody
            # could tell whether it ran.
            if (
                freshness is attempt_actions.Freshness.PROVED
                and connection.proved_until <= now
            ):
                return None
            self._idle.pop()
            if connection.http.has_expired() or connection.http.is_closed():
                self._open -= 1
                continue
            return connection
        return None

    async def _connect(self, now: float) -> Connection:
        if self._open >= self._most:
            if not self._idle:
                raise NoFreeConnectionError
            await self.discard(self._idle.popleft())
        self._open += 1
        try:
            stream = await self._backend.connect_tcp(
                self._target.host, self._target.port, timeout=CONNECT_TIMEOUT
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, OSError) as error:
            self._open -= 1
            raise NoConnectionError(str(error)) from error
        except BaseException:
            self._open -= 1
            raise
        http = httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=IDLE_FOR
        )
        return Connection(http, now)


class Connections:
    """Connections to all targets of all services.

    Parameters
    ----------
    most_per_target : int
        Most connections to one target at a time.
    """

    def __init__(self, most_per_target: int) -> None:
        self._most = most_per_target
        self._targets: dict[tuple[str, int], TargetConnections] = {}

    def find(self, target: services.Target) -> TargetConnections:
        """Return the connections to a target."""
        address = (target.host, target.port)
        known = self._targets.get(address)
        if known is None:
            known = self._targets[address] = TargetConnections(target, self._most)
        return known

    def count_open(self) -> int:
        """Return the number of connections over all targets."""
        return sum(target.open_count for target in self._targets.values())

    async def close_idle(self, now: float) -> None:
        """Close connections that nothing has used for a while."""
        for address, target in list(self._targets.items()):
            await target.close_idle(now)
            if target.open_count == 0:
                del self._targets[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for target in self._targets.values():
            await target.close()
