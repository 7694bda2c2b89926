"""What the control plane of a VM asks its adapters to do."""

from __future__ import annotations

import dataclasses

from . import peer_messages


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a VM, calling it if need be."""

    vm: str
    """Whom."""

    message: peer_messages.Message
    """What."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConfig:
    """Append a record to the configuration stream."""

    data: bytes
    """The record."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reconfigure:
    """A new bundle is in force."""

    version: int
    """Its version."""


Action = SendMessage | AppendConfig | Reconfigure
