"""Outside systems as the edge sees them, each behind a Protocol type."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from zinniastand_core import services
from zinniastand_core.deployment import configuration, targets
from zinniastand_core.dispatch import messages

from . import http_exchange, target_client


class StoreUnavailableError(Exception):
    """The platform's store gave no usable answer; what was asked may have been done."""


class HistoryLostError(Exception):
    """The records asked for are no longer kept: read the whole state instead."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationPage:
    """What a read of the configuration found."""

    newest: configuration.Configuration | None
    """The newest whole configuration on the page, if any is on it."""

    position: int
    """Where to read on."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPage:
    """What a read of the targets found."""

    changes: tuple[targets.Change, ...]
    """Entries written and removed, in order."""

    position: int
    """Where to read on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet."""

    vm: str
    """Unique name."""

    data_centre: str
    """Where it runs."""

    host: str
    """IP number."""

    port: int
    """Port for datagrams and, over TCP, for other VMs' questions."""

    incarnation: int
    """Grows with each start of the process."""


class ConfigurationSource(typing.Protocol):
    """Where operators publish the configuration."""

    async def read_configuration(self) -> ConfigurationPage:
        """Return the newest configuration."""
        ...

    async def wait_configuration(self, position: int, wait: float) -> ConfigurationPage:
        """Return what was published from `position`, waiting up to `wait` seconds."""
        ...


class TargetSource(typing.Protocol):
    """Where targets register themselves."""

    async def read_targets(self) -> TargetPage:
        """Return all targets."""
        ...

    async def read_target_changes(self, position: int, wait: float) -> TargetPage:
        """Return what changed from `position`, waiting up to `wait` seconds."""
        ...


class MemberDirectory(typing.Protocol):
    """Where the VMs of the fleet find each other."""

    @property
    def era(self) -> int:
        """The newest era that was seen in an answer here."""
        ...

    async def announce(self, member: Member) -> None:
        """Enter this VM."""
        ...

    async def read_members(self) -> tuple[Member, ...]:
        """Return all VMs that ever entered, the newest entry of each."""
        ...


class Store(ConfigurationSource, TargetSource, MemberDirectory, typing.Protocol):
    """All that the platform keeps for the fleet."""

    def use_address(self, host: str, port: int) -> None:
        """Make calls there from now on."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


class SlotSource(typing.Protocol):
    """Where requests get slots of targets."""

    async def acquire(
        self, slot_request: messages.SlotRequest
    ) -> messages.Grant | messages.Refuse:
        """Return a slot of a target, or why there is none."""
        ...

    def report(self, report: messages.Report) -> None:
        """Give a slot back, and tell how the attempt went."""
        ...


class SuspectRecord(typing.Protocol):
    """What is known of requests that crash their targets."""

    def find_hold_end(self, fingerprint: str, now: float) -> float | None:
        """Return until when a request is kept from targets; None where it is not."""
        ...

    def begin_attempt(self, fingerprint: str, now: float) -> None:
        """Take in that a request is about to be sent."""
        ...

    def record_crash(
        self, fingerprint: str, target: targets.Entry, started_at: float
    ) -> None:
        """Take in that a target crashed while it held a request."""
        ...

    def record_answer(self, fingerprint: str) -> None:
        """Take in that a target answered a request."""
        ...


class TargetExchange(typing.Protocol):
    """Connections to targets."""

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
    ) -> target_client.Attempt:
        """Send a request to one target and return how it ended.

        `mark_sent` is called just before the first byte is handed to a connection.
        """
        ...

    def list_connected_targets(self, work: services.Work, now: float) -> list[str]:
        """Return the targets to which an idle connection may carry work."""
        ...
