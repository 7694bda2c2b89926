"""What all runs of a VM work with."""

from __future__ import annotations

import collections.abc
import dataclasses

from zinniastand_core.deployment import targets

from . import header_names, ports, request_recorder, unreachable_targets


@dataclasses.dataclass(frozen=True, slots=True)
class RunDependencies:
    """What all runs of a VM work with."""

    vm: str
    """Name of this VM."""

    data_centre: str
    """Where it runs."""

    slots: ports.SlotSource
    """Gets slots of targets."""

    exchange: ports.TargetExchange
    """Sends to targets."""

    registry: targets.Registry
    """Targets known."""

    unreachable: unreachable_targets.UnreachableTargets
    """Targets that this VM leaves out."""

    recorder: request_recorder.RequestRecorder
    """Decisions."""

    header_names: header_names.HeaderNames
    """Headers of the platform."""

    make_ticket: collections.abc.Callable[[], str]
    """Returns a name for an ask that is unique over the fleet."""

    suspects: ports.SuspectRecord
    """Requests that crash their targets."""

    is_down: collections.abc.Callable[
        [targets.Entry, float], collections.abc.Awaitable[bool]
    ]
    """Returns whether a target refuses connections since an answer broke off."""

    check_suspension: collections.abc.Callable[[], None]
    """Notices a suspension, and takes its time from all runs."""
