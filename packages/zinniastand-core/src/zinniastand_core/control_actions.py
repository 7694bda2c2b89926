"""Actions that the control plane of a VM hands to its I/O adapters."""

from __future__ import annotations

import dataclasses

from . import peer_messages


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a VM, connecting to it first if necessary."""

    vm: str
    """Name of the receiving VM."""

    message: peer_messages.Message
    """Message to send."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConfig:
    """Append a record to the configuration stream."""

    data: bytes
    """Encoded record."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reconfigure:
    """Apply the bundle that has come into force."""

    version: int
    """Version of the bundle."""


Action = SendMessage | AppendConfig | Reconfigure
