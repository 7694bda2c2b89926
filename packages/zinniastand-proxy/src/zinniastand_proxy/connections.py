"""Connections to targets, each represented by an object.

Code that uses them can therefore distinguish a connection that stopped responding from
a target that did. `httpcore`, the transport of `httpx`, is used directly, because the
`httpx` client and its pool cost more than all other processing of a request (see
docs/COST.md), and because the pool hides which connection carries a request.
"""

from __future__ import annotations

import collections
import typing

import anyio
import httpcore

from zinniastand_core import attempt_actions, services

PROVED_DURATION_S = 1.0
"""How long a connection counts as working after a complete answer."""

IDLE_TIMEOUT_S = 30.0
"""How long an unused connection is kept."""

CONNECT_TIMEOUT_S = 0.5


class NoConnectionError(Exception):
    """No connection was established, so the target received nothing of the request."""


class NoFreeConnectionError(Exception):
    """All connections that this VM may have to the target are in use."""


class Connection:
    """One connection to a target.

    Parameters
    ----------
    http : httpcore.AsyncHTTP11Connection
        The underlying HTTP/1.1 connection.
    now : float
        Unix seconds at which it was opened.
    """

    def __init__(self, http: httpcore.AsyncHTTP11Connection, now: float) -> None:
        self.http = http
        self.is_new = True
        self.proved_until = now + PROVED_DURATION_S
        self.idle_until = now + IDLE_TIMEOUT_S

    def record_complete_answer(self, now: float) -> None:
        """Record a complete answer, and extend the time for which it is kept."""
        self.is_new = False
        self.proved_until = now + PROVED_DURATION_S
        self.idle_until = now + IDLE_TIMEOUT_S


class TargetConnections:
    """This VM's connections to one target.

    Parameters
    ----------
    target : services.Target
        The target.
    max_connections : int
        Maximum number of open connections.
    """

    def __init__(self, target: services.Target, max_connections: int) -> None:
        self._target = target
        self._max_connections = max_connections
        self._idle: collections.deque[Connection] = collections.deque()
        self._open_count = 0
        self._origin = httpcore.Origin(b"http", target.host.encode(), target.port)
        # httpcore declares this name with the type of its substitute without anyio.
        self._backend = typing.cast(
            "httpcore.AsyncNetworkBackend", httpcore.AnyIOBackend()
        )

    @property
    def open_count(self) -> int:
        """Number of open connections, in use or idle."""
        return self._open_count

    async def acquire(
        self, freshness: attempt_actions.Freshness, now: float
    ) -> Connection:
        """Return a connection for one request: an idle one, or else a new one.

        Parameters
        ----------
        freshness : attempt_actions.Freshness
            Whether an idle connection may be used, and whether it must be proved.
        now : float
            Unix seconds.

        Raises
        ------
        NoConnectionError
            If a new connection cannot be established.
        NoFreeConnectionError
            If the maximum number of connections is already in use.
        """
        if freshness is not attempt_actions.Freshness.NEW:
            pooled = self._acquire_idle(freshness, now)
            if pooled is not None:
                return pooled
        return await self._connect(now)

    def release(self, connection: Connection, now: float) -> None:
        """Return a connection to the pool after a complete answer."""
        if not connection.http.is_idle():
            self._open_count -= 1
            return
        connection.record_complete_answer(now)
        self._idle.append(connection)

    async def discard(self, connection: Connection) -> None:
        """Close a connection whose state is unknown or that is no longer needed."""
        self._open_count -= 1
        with anyio.CancelScope(shield=True):
            await connection.http.aclose()

    async def close_idle(self, now: float) -> None:
        """Close connections that have been idle for `IDLE_TIMEOUT_S` seconds."""
        while self._idle and self._idle[0].idle_until <= now:
            await self.discard(self._idle.popleft())

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self.discard(self._idle.popleft())

    def _acquire_idle(
        self, freshness: attempt_actions.Freshness, now: float
    ) -> Connection | None:
        """Return an idle connection that is fresh enough, or None if there is none."""
        while self._idle:
            connection = self._idle[-1]
            # Work that must not run twice uses only a connection that has just carried
            # an answer. On a connection that had failed silently, the request would be
            # lost, and its outcome would be unknown.
            if (
                freshness is attempt_actions.Freshness.PROVED
                and connection.proved_until <= now
            ):
                return None
            self._idle.pop()
            if connection.http.has_expired() or connection.http.is_closed():
                self._open_count -= 1
                continue
            return connection
        return None

    async def _connect(self, now: float) -> Connection:
        if self._open_count >= self._max_connections:
            if not self._idle:
                raise NoFreeConnectionError
            await self.discard(self._idle.popleft())
        self._open_count += 1
        try:
            stream = await self._backend.connect_tcp(
                self._target.host, self._target.port, timeout=CONNECT_TIMEOUT_S
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, OSError) as error:
            self._open_count -= 1
            raise NoConnectionError(str(error)) from error
        except BaseException:
            self._open_count -= 1
            raise
        http = httpcore.AsyncHTTP11Connection(
            self._origin, stream, keepalive_expiry=IDLE_TIMEOUT_S
        )
        return Connection(http, now)


class Connections:
    """This VM's connections to all targets of all services.

    Parameters
    ----------
    max_per_target : int
        Maximum number of open connections to one target.
    """

    def __init__(self, max_per_target: int) -> None:
        self._max_per_target = max_per_target
        self._by_address: dict[tuple[str, int], TargetConnections] = {}

    def find(self, target: services.Target) -> TargetConnections:
        """Return the connections to a target; targets with one address share them."""
        address = (target.host, target.port)
        connections_to_target = self._by_address.get(address)
        if connections_to_target is None:
            connections_to_target = self._by_address[address] = TargetConnections(
                target, self._max_per_target
            )
        return connections_to_target

    def count_open(self) -> int:
        """Return the number of connections over all targets."""
        return sum(
            target_connections.open_count
            for target_connections in self._by_address.values()
        )

    async def close_idle(self, now: float) -> None:
        """Close connections that have been idle for `IDLE_TIMEOUT_S` seconds."""
        for address, target_connections in list(self._by_address.items()):
            await target_connections.close_idle(now)
            if target_connections.open_count == 0:
                del self._by_address[address]

    async def close(self) -> None:
        """Close all idle connections."""
        # A copy: targets without connections may be removed during each close.
        for target_connections in list(self._by_address.values()):
            await target_connections.close()
