"""Services, targets, kinds of work, routes and accounts, as operators state them."""

from __future__ import annotations

import dataclasses
import enum


class Work(enum.StrEnum):
    """How often a piece of work may run."""

    IDEMPOTENT = "idempotent"
    """May run again: retries and hedges are allowed."""

    AT_MOST_ONCE = "at-most-once"
    """Must never run twice: needs a claim on its key first."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work with its own time limit and weight."""

    name: str
    """Unique within its service."""

    work: Work
    """Whether the work is idempotent."""

    time_limit: float
    """Seconds within which an answer counts; becomes a deadline on arrival."""

    weight: float
    """Worth of one answer in time, relative to other kinds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests are of which kind."""

    path_prefix: str
    """Requests whose path starts with this, on a segment boundary."""

    methods: tuple[str, ...]
    """Methods in upper case that the route takes."""

    kind: str
    """Name of a kind of the same service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One worker of a service."""

    name: str
    """Unique within its service."""

    host: str
    """IP number."""

    port: int
    """TCP port."""

    data_centre: str
    """Where it runs."""

    slots: int
    """Requests that it works on at the same time."""

    draining: bool
    """An operator is taking it out: it gets no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotStartedRule:
    """The contract by which a target says that it refused before starting."""

    status: int
    """HTTP status of such an answer."""

    header: str
    """Header (lower case) that must be present too."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service with its targets and the limits that govern it."""

    name: str
    """Unique within the bundle."""

    floor_slots: int
    """Capacity, in slots, below which ejection must never push the service."""

    detection_weight: float
    """From 0 (spare healthy targets) to 1 (catch failing targets sooner)."""

    max_in_flight: int
    """Requests that one VM holds for this service at a time."""

    max_queue: int
    """Requests that may wait for a free place on one VM."""

    echo_header: str
    """Header that the target echoes, or empty: guards against crossed answers."""

    probe_path: str
    """Path asked when a target needs a trial and no caller's work fits."""

    not_started: NotStartedRule
    """How targets say "refused before starting"."""

    kinds: tuple[Kind, ...]
    """Kinds of work."""

    routes: tuple[Route, ...]
    """Routes, longest prefix first."""

    targets: tuple[Target, ...]
    """Targets."""

    @property
    def slots(self) -> int:
        """Slots of all targets, draining ones included."""
        return sum(target.slots for target in self.targets)

    def find_kind(self, name: str) -> Kind | None:
        """Return the kind called `name`, if any."""
        return next((kind for kind in self.kinds if kind.name == name), None)

    def find_target(self, name: str) -> Target | None:
        """Return the target called `name`, if any."""
        return next((target for target in self.targets if target.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A caller account and its limit."""

    name: str
    """Value of the account header that callers send."""

    requests_per_second: float
    """Rate over the whole fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Somebody who may sign off bundles."""

    name: str
    """Unique name."""

    public_key: bytes
    """Raw Ed25519 public key, 32 bytes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """Who signs bundles off, and how many of them it takes."""

    members: tuple[Operator, ...]
    """All operators."""

    sign_offs_needed: int
    """Distinct operators who must sign a bundle."""

    def find_key(self, name: str) -> bytes | None:
        """Return the public key of operator `name`, if any."""
        for member in self.members:
            if member.name == name:
                return member.public_key
        return None
