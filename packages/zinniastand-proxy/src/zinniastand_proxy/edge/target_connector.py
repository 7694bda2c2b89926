"""Opens connections to targets, directly or through another VM."""

from __future__ import annotations

import dataclasses
import errno
import socket
import typing

import anyio
import anyio.abc

from zinniastand_core.deployment import targets

CONNECT_TIMEOUT_S = 0.15
"""Seconds allowed for opening a connection. That takes about a millisecond, and a lost
SYN packet is retransmitted only after a second, so trying another target is faster than
waiting longer."""

STALL_THRESHOLD_S = 0.05
"""Seconds by which a timer must fire late to show that this process was suspended.
Timers of a busy process are some milliseconds late."""

USER_TIMEOUT_MS = 3_000
"""Milliseconds after which the kernel closes a connection whose sent data is not
acknowledged (TCP_USER_TIMEOUT), so that a silent one frees its socket."""


class UnreachableError(Exception):
    """No connection to a target could be opened.

    Parameters
    ----------
    detail : str
        What happened, for the log.
    is_own_path : bool, optional
        Whether this VM has no path to any target of the service, so that this says
        nothing about the target.
    excludes_target : bool, optional
        Whether this VM should not try the target again for some time.
    is_evidence : bool, optional
        Whether this may be the fault of the target.
    """

    def __init__(
        self,
        detail: str,
        *,
        is_own_path: bool = False,
        excludes_target: bool = True,
        is_evidence: bool = True,
    ) -> None:
        super().__init__(detail)
        self.is_own_path = is_own_path
        self.is_evidence = is_evidence and not is_own_path
        self.excludes_target = excludes_target and not is_own_path


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStream:
    """A new connection to a target."""

    stream: anyio.abc.ByteStream
    """The connection."""

    relay: str = ""
    """VM that relays it; empty for a direct connection."""


class TargetConnector(typing.Protocol):
    """Opens connections to targets."""

    @property
    def opened_connections(self) -> int:
        """Number of attempts to open a direct connection."""
        ...

    async def connect(self, target: targets.Entry, time_left: float) -> TargetStream:
        """Return a new connection to a target, for at most `time_left` seconds.

        Raises
        ------
        UnreachableError
            If no connection could be opened.
        """
        ...

    def has_direct_link(self, target: targets.Entry) -> bool:
        """Return whether direct connections to a target may be used."""
        ...


class DirectConnector:
    """Opens direct connections."""

    def __init__(self) -> None:
        self._opened_connections = 0

    @property
    def opened_connections(self) -> int:
        """Number of attempts to open a connection."""
        return self._opened_connections

    async def connect(
        self, target: targets.Entry, time_left: float = 0.0
    ) -> TargetStream:
        """Return a new connection to a target.

        A timeout that fires late shows that this process was suspended, and nothing
        about the target. One more try keeps healthy targets from being excluded.

        Raises
        ------
        UnreachableError
            If no connection could be opened.
        """
        stalled_after = anyio.current_time() + CONNECT_TIMEOUT_S + STALL_THRESHOLD_S
        try:
            return await self._open(target)
        except UnreachableError:
            if anyio.current_time() <= stalled_after:
                raise
        return await self._open(target)

    def has_direct_link(self, target: targets.Entry) -> bool:
        """Return True: there is no other way to a target."""
        return True

    async def _open(self, target: targets.Entry) -> TargetStream:
        self._opened_connections += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(target.host, target.port)
        except TimeoutError as error:
            raise UnreachableError("connect timeout") from error
        except OSError as error:
            detail = "connection refused" if is_refusal(error) else "no connection"
            raise UnreachableError(detail) from error
        limit_unacknowledged_time(stream)
        return TargetStream(stream)


def limit_unacknowledged_time(stream: anyio.abc.ByteStream) -> None:
    """Let the kernel close a connection whose sent data is not acknowledged."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def is_refusal(error: OSError) -> bool:
    """Return whether a connect error means that no process listens on the port."""
    cause: BaseException | None = error
    while cause is not None:
        if getattr(cause, "errno", None) == errno.ECONNREFUSED:
            return True
        cause = cause.__cause__
    return False
