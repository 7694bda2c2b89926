"""The configuration in force, as typed values without any wire format."""

from __future__ import annotations

import dataclasses

from .. import services


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a route and its share of the route's requests."""

    service: str
    """Name of the service."""

    weight: float
    """Share, relative to the other parts of the route."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and what they may cost."""

    name: str
    """Unique within a configuration."""

    host: str
    """Host that callers ask for, in lower case and without a port."""

    path_prefix: str
    """Begins and ends with a slash."""

    work: services.Work
    """Whether the work may run more than once."""

    time_limit: float
    """Seconds after which a caller gets a final answer, whatever has happened."""

    objective: float
    """Seconds within which an answer is in time."""

    max_attempts: int
    """Most targets that one request may be sent to."""

    priority: int
    """Rank among the requests of a service; 0 goes first."""

    weighted_services: tuple[WeightedService, ...]
    """Services that share the requests; at least one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """What operators state of a service."""

    name: str
    """Unique within a configuration."""

    health_path: str
    """Path of the targets' health endpoint."""

    max_connections: int
    """Connections that a target takes from all callers together."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send, and how slowly."""

    max_head_bytes: int = 16_384
    """Largest request head."""

    max_body_bytes: int = 1 << 26
    """Largest request body."""

    head_timeout: float = 3.0
    """Seconds from a request's first byte to the end of its head."""

    idle_timeout: float = 15.0
    """Seconds for which a connection may wait for its next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One whole configuration."""

    version: int
    """Grows with each change, in uneven steps."""

    routes: tuple[Route, ...]
    """All routes."""

    services: tuple[ServiceSettings, ...]
    """All services."""

    limits: Limits
    """Limits towards callers."""


class ConfigurationState:
    """The newest configuration that this process has seen; it never goes back.

    A cut-off peer or an old page of the store may offer an older version later. Taking
    it would bring dropped routes back, so only a higher version is ever accepted.
    """

    def __init__(self) -> None:
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """The configuration in force, or None before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._current.version if self._current else 0

    def offer(self, candidate: Configuration) -> bool:
        """Take a configuration if it is newer; return whether it was."""
        if candidate.version <= self.version:
            return False
        self._current = candidate
        return True
