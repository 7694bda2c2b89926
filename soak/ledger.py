"""What callers sent and saw, and what targets ran: the events that are judged."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request that a caller sent."""

    request_id: str
    """Its name."""

    vm: int
    """Number of the VM that got it."""

    is_unsafe: bool
    """Whether it may run only once."""

    path: str
    """Its path."""

    body: bytes
    """Its body."""

    at: float
    """When it was sent whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """How a request ended for its caller."""

    request_id: str
    """The request."""

    at: float
    """When."""

    status: int
    """Status of the whole answer, 0 where there was none."""

    is_signed: bool
    """Whether the answer bears a target's signature."""

    body: bytes
    """Body of the answer."""

    has_left: bool = False
    """Whether the caller left without waiting for an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """A request that a target began to work on."""

    request_id: str
    """The request."""

    target_id: str
    """The target."""

    service: str
    """Its service."""

    path: str
    """The path that arrived."""

    body: bytes
    """The body that arrived."""

    status: int
    """Status that the target answers with."""

    at: float
    """When."""

    time_left: float = 0.0
    """Seconds that the target was given."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How a piece of work of a target ended."""

    ran: Ran
    """The work."""

    is_cut: bool
    """Whether its connection ended while the target was at work."""

    at: float
    """When."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """A target that told the store that it is leaving."""

    target_id: str
    """The target."""

    at: float
    """When the store had taken that in."""


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A version of the configuration."""

    version: int
    """Its number."""

    moving_service: str
    """Service that its moving route leads to."""

    at: float
    """When the store had taken it in."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crashed:
    """A target that crashed."""

    target_id: str
    """The target."""

    path: str
    """Path of the request that crashed it; empty where none did."""

    at: float
    """When."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arrived:
    """A request that reached a target, whether it ran or not."""

    request_id: str
    """The request."""

    target_id: str
    """The target."""

    service: str
    """Its service."""

    at: float
    """When."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """A time in which a target names a limit."""

    target_id: str
    """The target."""

    rate: float
    """Requests a second that it takes."""

    begin: float
    """When its first answer named it."""

    end: float
    """When it named it no more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbed:
    """A fault, from its begin to its end."""

    kind: str
    """What it was."""

    touched: str
    """What it touched: ``store``, the name of a target, or ``vm-`` and a number."""

    begin: float
    """When it began."""

    end: float
    """When it was over."""


@dataclasses.dataclass(slots=True)
class Ledger:
    """Everything that happened, in the order in which it was noted."""

    sent: list[Sent] = dataclasses.field(default_factory=list)
    """Requests."""

    seen: dict[str, Seen] = dataclasses.field(default_factory=dict)
    """Their ends."""

    ran: list[Ran] = dataclasses.field(default_factory=list)
    """Work of targets."""

    ended: list[Ended] = dataclasses.field(default_factory=list)
    """Its ends."""

    drained: list[Drained] = dataclasses.field(default_factory=list)
    """Targets that left."""

    published: list[Published] = dataclasses.field(default_factory=list)
    """Versions."""

    crashed: list[Crashed] = dataclasses.field(default_factory=list)
    """Targets that crashed."""

    arrived: list[Arrived] = dataclasses.field(default_factory=list)
    """Requests that reached targets."""

    limited: list[Limited] = dataclasses.field(default_factory=list)
    """Times in which targets named limits."""

    disturbed: list[Disturbed] = dataclasses.field(default_factory=list)
    """Faults that are over."""
