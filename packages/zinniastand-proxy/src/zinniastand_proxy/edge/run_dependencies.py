"""Collaborators shared by all runs of a VM."""

from __future__ import annotations

import collections.abc
import dataclasses

from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import work_durations

from . import header_names, ports, request_recorder, unreachable_targets
from .answers import answer_bounds, answer_stream


@dataclasses.dataclass(frozen=True, slots=True)
class RunDependencies:
    """Collaborators shared by all runs of a VM."""

    vm: str
    """Name of this VM."""

    data_centre: str
    """Data centre of this VM."""

    slots: ports.LimitedSlotSource
    """Acquires and releases slots of targets."""

    client: ports.TargetExchange
    """Sends requests to targets."""

    registry: targets.Registry
    """Targets known to this VM."""

    unreachable: unreachable_targets.UnreachableTargets
    """Targets that this VM excludes because it could not connect to them."""

    recorder: request_recorder.RequestRecorder
    """Writes attempts and answers to the log and the metrics."""

    platform_headers: header_names.HeaderNames
    """Names of the platform's headers."""

    make_ticket: collections.abc.Callable[[], str]
    """Returns a ticket for a slot request, unique in the fleet."""

    suspects: ports.SuspectRecord
    """Record of requests suspected of crashing their targets."""

    is_down: collections.abc.Callable[
        [targets.Entry, float], collections.abc.Awaitable[bool]
    ]
    """Returns whether a target refuses connections after it broke off an answer; takes
    the target and the time at which the answer broke off."""

    notices: ports.NoticeRecord
    """What targets have told this VM in their answers."""

    check_suspension: collections.abc.Callable[[], None]
    """Detects a suspension of this VM, and then shortens all deadlines by its
    duration."""

    body_bounds: answer_bounds.AnswerBounds = answer_bounds.DEFAULT
    """Limits on the bodies of answers."""

    streams: answer_stream.AnswerStreams | None = None
    """Passes large answers on while they arrive; None if all are buffered whole."""

    durations: work_durations.WorkDurations = dataclasses.field(
        default_factory=work_durations.WorkDurations
    )
    """How long work is expected to take."""
