"""Outside systems as the edge sees them, each behind a Protocol type."""

from __future__ import annotations

import dataclasses
import typing

from zinniastand_core.deployment import configuration, targets


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

    async def announce(self, member: Member) -> None:
        """Enter this VM."""
        ...

    async def read_members(self) -> tuple[Member, ...]:
        """Return all VMs that ever entered, the newest entry of each."""
        ...


class Store(ConfigurationSource, TargetSource, MemberDirectory, typing.Protocol):
    """All that the platform keeps for the fleet."""

    async def close(self) -> None:
        """Close all connections."""
        ...
