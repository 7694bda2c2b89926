"""Typed values of the configuration in force, independent of any wire format."""

from __future__ import annotations

import dataclasses
import math

from .. import services
from ..accounts import account


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route and its share of the route's requests."""

    service: str
    """Name of the service."""

    weight: float
    """Share of the requests, relative to the weights of the route's other services."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Services, time limits and attempts for requests of one host and path prefix."""

    name: str
    """Unique within a configuration."""

    host: str
    """Host in the requests of callers, in lower case and without a port."""

    path_prefix: str
    """Prefix of the request paths; begins and ends with a slash."""

    work: services.Work
    """Whether the work is idempotent and may run more than once."""

    time_limit: float
    """Seconds after which a caller gets a final answer, whatever the attempts did."""

    objective: float
    """Seconds within which an answer counts as on time."""

    max_attempts: int
    """Upper limit of targets that one request may be sent to."""

    priority: int
    """Rank among the requests of a service; 0 is served first."""

    weighted_services: tuple[WeightedService, ...]
    """Services that share the requests; at least one."""

    is_public: bool = False
    """Whether its requests need no key of a client account."""

    has_large_answers: bool = False
    """Whether answers may be large, so that they are passed on while they arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings of a service that operators choose."""

    name: str
    """Unique within a configuration."""

    health_path: str
    """Path of the targets' health endpoint."""

    max_connections: int
    """Connections that a target accepts from all VMs together."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and slowness of what callers send."""

    max_head_bytes: int = 16_384
    """Upper limit of bytes in a request head."""

    max_body_bytes: int = 1 << 26
    """Upper limit of bytes in a request body."""

    head_timeout: float = 3.0
    """Seconds from a request's first byte to the end of its head."""

    idle_timeout: float = 15.0
    """Seconds for which a connection may wait for its next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All routes, services and limits of one version."""

    version: int
    """Number that grows with each change, not always by one."""

    routes: tuple[Route, ...]
    """Routes, in the order of the configuration."""

    services: tuple[ServiceSettings, ...]
    """Settings of each service."""

    limits: Limits
    """Limits that callers must keep."""

    accounts: tuple[account.Account, ...] | None = None
    """Client accounts; None if requests need no key."""


class ConfigurationState:
    """The newest configuration that this process has seen.

    A peer that was cut off, or a stale page of the store, may offer an older version.
    Accepting it would restore removed routes, so only higher versions are accepted.

    A VM that is cut off cannot know whether a key was revoked. So the state also holds
    when the configuration was last proven to be the newest: a read of the store that
    began then showed no later version.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._directory = account.AccountDirectory()
        self._proven_at = -math.inf

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        return self._current.version if self._current else 0

    @property
    def directory(self) -> account.AccountDirectory:
        """The client accounts of the configuration in force."""
        return self._directory

    @property
    def proven_at(self) -> float:
        """When the configuration was last proven to be the newest, in seconds of the
        monotonic clock."""
        return self._proven_at

    def prove(self, version: int, read_at: float) -> bool:
        """Record that no version later than `version` existed at the time `read_at`.

        A proof of a version that is not in force here yet is ignored.

        Returns
        -------
        bool
            Whether the proof applies to the configuration in force.
        """
        if self._current is None or version > self.version:
            return False
        self._proven_at = max(self._proven_at, read_at)
        return True

    def compensate_suspension(self, seconds: float) -> None:
        """Make the proof older by seconds that the monotonic clock did not count."""
        self._proven_at -= seconds

    def offer(self, candidate: Configuration) -> bool:
        """Accept a configuration if its version is higher; return whether it is."""
        if candidate.version <= self.version:
            return False
        self._current = candidate
        self._directory = account.AccountDirectory(candidate.accounts or ())
        return True
