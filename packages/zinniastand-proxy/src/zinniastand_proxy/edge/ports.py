"""Protocol types for the external systems and collaborators that the edge uses."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from zinniastand_core import services
from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages

from . import http_exchange, target_client
from .answers import answer_meter


class StoreUnavailableError(Exception):
    """The store gave no usable answer; the call may have taken effect all the same."""


class HistoryLostError(Exception):
    """The requested records are no longer kept: read the whole state instead."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPage:
    """Result of a read of the configuration."""

    newest: configuration.Configuration | None
    """The newest valid configuration on the page; None if there is none."""

    position: int
    """Position from which to continue reading."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPage:
    """Result of a read of the targets."""

    changes: tuple[targets.Change, ...]
    """Entries that were written or removed, in order."""

    position: int
    """Position from which to continue reading."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet."""

    vm: str
    """Unique name."""

    data_centre: str
    """Data centre in which it runs."""

    host: str
    """IP address."""

    port: int
    """Port for datagrams and, over TCP, for snapshot requests of other VMs."""

    incarnation: int
    """Increases with each start of the process."""

    processor: float = 0.0
    """Processor time per second in seconds; 0 if it is not known."""

    link: float = 0.0
    """Bandwidth of its network link in bytes per second; 0 if it is not known."""


class ConfigurationSource(typing.Protocol):
    """Store to which operators publish the configuration."""

    async def read_configuration(self) -> ConfigurationPage:
        """Return the newest configuration."""
        ...

    async def wait_configuration(self, position: int, wait: float) -> ConfigurationPage:
        """Return what was published from `position`, waiting up to `wait` seconds."""
        ...


class TargetSource(typing.Protocol):
    """Store in which targets register themselves."""

    async def read_targets(self) -> TargetPage:
        """Return all targets."""
        ...

    async def read_target_changes(self, position: int, wait: float) -> TargetPage:
        """Return what changed from `position`, waiting up to `wait` seconds."""
        ...


class MemberDirectory(typing.Protocol):
    """Directory by which the VMs of the fleet find each other."""

    @property
    def era(self) -> int:
        """The newest era of the store that an answer to this VM has named."""
        ...

    async def announce(self, member: Member) -> None:
        """Write the entry of this VM."""
        ...

    async def read_members(self) -> tuple[Member, ...]:
        """Return the newest entry of each VM that has ever announced itself."""
        ...


class Store(ConfigurationSource, TargetSource, MemberDirectory, typing.Protocol):
    """The platform's store, with all that it keeps for the fleet."""

    def use_address(self, host: str, port: int) -> None:
        """Send all further calls to this address."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class SlotSource(typing.Protocol):
    """Source of target slots for requests."""

    async def acquire(
        self, slot_request: messages.SlotRequest
    ) -> messages.Grant | messages.Refuse:
        """Return a slot of a target, or the reason why none is granted."""
        ...

    def report(self, report: messages.Report) -> None:
        """Release a slot and report the outcome of the attempt."""
        ...


class LimitedSlotSource(SlotSource, typing.Protocol):
    """Source of slots that limits the retries of this VM."""

    def may_resend(self, service: str) -> bool:
        """Return whether a request may be sent once more on a new connection."""
        ...


class SuspectRecord(typing.Protocol):
    """Record of requests that crash their targets."""

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return until when a request is held back; None if it may be sent now."""
        ...

    def begin_attempt(self, fingerprint: str, now: float) -> None:
        """Record that a request is about to be sent."""
        ...

    def record_crash(
        self, fingerprint: str, target: targets.Entry, started_at: float
    ) -> None:
        """Record that a target crashed while it was working on a request."""
        ...

    def record_answer(self, fingerprint: str) -> None:
        """Record that a target answered a request."""
        ...


class NoticeRecord(typing.Protocol):
    """Record of what targets have told this VM in their answers."""

    def wants_requests(self, target: targets.Entry, now: float) -> bool:
        """Return whether a target wants requests of this VM."""
        ...

    def list_excluded(self, now: float) -> tuple[str, ...]:
        """Return the targets that want no requests of this VM."""
        ...

    def record_answer(
        self, target: targets.Entry, attempt: target_client.Attempt
    ) -> None:
        """Record what a target has told in an answer."""
        ...


class TargetExchange(typing.Protocol):
    """Sends requests over connections to targets."""

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
        max_body_bytes: int = answer_meter.MAX_BODY_BYTES,
        sink: http_exchange.AnswerSink | None = None,
    ) -> target_client.Attempt:
        """Send a request to one target and return how it ended.

        `mark_sent` is called just before the first byte is written to a connection. A
        body of an answer longer than `max_body_bytes` is not read to its end.
        large success is passed to the sink while it arrives.
        """
        ...

    def list_connected_targets(self, work: services.Work, now: float) -> list[str]:
        """Return the targets that have an idle connection usable for this work."""
        ...
