"""Services, targets, kinds of work, routes and accounts, as operators define them."""

from __future__ import annotations

import dataclasses
import enum


class Work(enum.StrEnum):
    """Whether a piece of work may run more than once."""

    IDEMPOTENT = "idempotent"
    """May run more than once: retries and hedged requests are allowed."""

    AT_MOST_ONCE = "at-most-once"
    """Must never run twice: its idempotency key is claimed before it is sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work with its own time limit and weight."""

    name: str
    """Unique within its service."""

    work: Work
    """Whether the work is idempotent."""

    time_limit: float
    """Seconds from a request's arrival to its deadline; later answers do not count."""

    weight: float
    """Value of one answer in time, relative to other kinds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Assigns requests to a kind of work by path and method."""

    path_prefix: str
    """Prefix of the path, which must end on a segment boundary."""

    methods: tuple[str, ...]
    """Methods that the route accepts, in upper case."""

    kind: str
    """Name of a kind of the same service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One worker of a service."""

    name: str
    """Unique within its service."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    data_centre: str
    """Data centre in which it runs."""

    slots: int
    """Maximum number of requests that it works on at the same time."""

    draining: bool
    """Whether an operator is taking it out of service: it gets no new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotStartedRule:
    """How an answer shows that a target refused a request before it started it."""

    status: int
    """HTTP status of such an answer."""

    header: str
    """Name of a header, in lower case, that must be present as well."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with its targets and limits."""

    name: str
    """Unique within the bundle."""

    floor_slots: int
    """Number of slots that ejections must always leave to the service."""

    detection_weight: float
    """Sensitivity of failure detection, from 0 (fewer healthy targets are ejected) to 1
    (failing targets are detected sooner)."""

    max_in_flight: int
    """Maximum requests of this service in flight on one VM."""

    max_queue: int
    """Maximum requests of this service that wait on one VM until fewer than
    `max_in_flight` are in flight."""

    echo_header: str
    """Header that targets echo in their answers, or empty if they echo none. It shows
    an answer that belongs to another request."""

    probe_path: str
    """Path that is requested to test a target if no caller's request is suitable for
    it."""

    not_started: NotStartedRule
    """How targets answer a request that they refused before starting it."""

    kinds: tuple[Kind, ...]
    """Its kinds of work."""

    routes: tuple[Route, ...]
    """Its routes, longest prefix first."""

    targets: tuple[Target, ...]
    """Its targets."""

    @property
    def slots(self) -> int:
        """Total slots of all targets, including those that are draining."""
        return sum(target.slots for target in self.targets)

    def find_kind(self, name: str) -> Kind | None:
        """Return the kind called `name`, or None if there is none."""
        return next((kind for kind in self.kinds if kind.name == name), None)

    def find_target(self, name: str) -> Target | None:
        """Return the target called `name`, or None if there is none."""
        return next((target for target in self.targets if target.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """An account of callers, and its rate limit."""

    name: str
    """Value of the account header that callers send."""

    requests_per_second: float
    """Rate limit over the whole fleet, in requests per second."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """A person who may sign off bundles."""

    name: str
    """Unique name."""

    public_key: bytes
    """Raw Ed25519 public key, 32 bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """The operators who sign off bundles, and how many of them must do so."""

    members: tuple[Operator, ...]
    """All operators."""

    sign_offs_needed: int
    """Minimum number of different operators who must sign a bundle."""

    def find_key(self, name: str) -> bytes | None:
        """Return the public key of operator `name`, or None if there is none."""
        for member in self.members:
            if member.name == name:
                return member.public_key
        return None
