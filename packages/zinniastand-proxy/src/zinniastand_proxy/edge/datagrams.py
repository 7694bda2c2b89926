"""Datagrams between VMs, encoded as CBOR arrays.

Datagrams rather than connections: what VMs tell each other is small, is worth nothing
when late, and must not wait behind a connection that has gone silent. Whoever needs an
answer asks again. Times travel as what is left of them, since steady clocks of two VMs
have nothing in common.
"""

from __future__ import annotations

import dataclasses

import cbor2

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import messages, retry_window, shards
from zinniastand_core.quarantine import suspect

from . import ports, retry_codec, suspect_codec


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """A VM is there, or still is."""

    member: ports.Member
    """The sender."""

    wants_answer: bool
    """Whether the receiver shall say the same of itself."""

    position: int = -1
    """Up to where it knows the targets' entries; negative where it knows none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A VM stops soon: it dispatches for nobody from now on."""

    vm: str
    """The sender."""

    incarnation: int
    """Which start of it: a late word must not concern the next one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resigned:
    """A VM cannot do a task for all for a while, though it lives."""

    vm: str
    """The sender."""

    incarnation: int
    """Which start of it."""

    task: str
    """The task; empty for every task."""

    until: float
    """Until when, in the clock of whoever holds the message."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUpdate:
    """What the reader of the store has read lately."""

    vm: str
    """The reader."""

    version: int
    """Version of the configuration that it uses."""

    position: int
    """Up to where it has read the targets' entries."""

    since: int
    """Where the changes begin: whoever has read less far must read for itself."""

    changes: tuple[targets.Change, ...]
    """Changes of targets from there on."""

    is_for_relay: bool = False
    """Whether the receiver shall pass it on to the VMs of its data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """A new configuration, from the VM that reads the store for all."""

    vm: str
    """The reader."""

    version: int
    """Its version."""

    data: bytes
    """The configuration; packed by `configuration_codec`."""

    is_for_relay: bool = False
    """Whether the receiver shall pass it on to the VMs of its data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNotice:
    """A VM has a new configuration."""

    vm: str
    """The VM."""

    version: int
    """Its version."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEstimate:
    """What a dispatcher thinks of one target."""

    target_id: str
    """The target."""

    failure_probability: float
    """Probability that it is failure_probability."""

    slowness: float
    """Times that it takes longer than usual."""

    rate_limit: float | None = None
    """Requests a second that it takes from all VMs; None where it names no limit."""

    next_request_in: float = 0.0
    """Seconds until the next request is due at that rate."""

    rate_limit_age: float = 0.0
    """Seconds since an answer has named it."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEstimates:
    """What a dispatcher thinks of its targets, for the VM that would follow it."""

    shard: shards.Shard
    """The shard."""

    items: tuple[TargetEstimate, ...]
    """One for each target that there is something to say of."""

    times: tuple[tuple[str, float], ...]
    """Mean seconds of each kind of work."""

    vm: str = ""
    """The VM that dispatches; empty where an earlier version does not tell."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequested:
    """A VM asks for a target."""

    vm: str
    """The VM."""

    ask: messages.SlotRequest
    """What it asks."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHeld:
    """A VM tells a new dispatcher of a slot that it holds already."""

    vm: str
    """The VM."""

    held: messages.HeldSlot
    """The slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequests:
    """What a VM knows of requests that were at targets when they crashed."""

    items: tuple[tuple[str, suspect.Suspect], ...]
    """Fingerprint and record of each."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUsage:
    """What a VM knows of the requests and retries of a service."""

    service: str
    """The service."""

    counts: tuple[retry_window.CounterHistory, ...]
    """What it has counted, and what others have, each with the name of the counter."""

    is_complete: bool = False
    """Whether this, with what it told just before, is all that was given out lately."""


MAX_NAMES = 256
"""Names of targets in one list of an ask; a VM leaves out fewer."""

REPORT_FIELDS = (
    "ticket",
    "target_id",
    "outcome",
    "took",
    "vm",
    "rate_limit",
    "is_resent",
)
"""Fields of a report as they follow its shard."""

Message = (
    Hello
    | Leaving
    | Resigned
    | TargetUpdate
    | ConfigurationUpdate
    | VersionNotice
    | TargetEstimates
    | SlotRequested
    | SlotHeld
    | SuspectRequests
    | RetryUsage
    | messages.Grant
    | messages.Refuse
    | messages.Wait
    | messages.Report
)


class UnreadableError(Exception):
    """A datagram that is none of ours."""


def encode(message: Message, now: float) -> bytes:
    """Return the datagram of a message."""
    return cbor2.dumps(_pack(message, now))


def decode(data: bytes, now: float) -> Message:
    """Return the message of a datagram.

    Raises
    ------
    UnreadableError
        If it holds none.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list):
            # A text can be indexed too: two letters of one read as a VM's leaving.
            raise UnreadableError("no array")
        return _unpack(fields, now)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        KeyError,
        IndexError,
    ) as error:
        raise UnreadableError(repr(error)) from error


def _pack(message: Message, now: float) -> list[object]:
    match message:
        case Hello():
            head = ["h", message.wants_answer, message.position]
            return [*head, *dataclasses.astuple(message.member)]
        case Leaving():
            return ["l", message.vm, message.incarnation]
        case Resigned():
            left = message.until - now
            return ["q", message.vm, message.incarnation, message.task, left]
        case TargetUpdate():
            changes = [pack_change(one, now) for one in message.changes]
            head = [message.vm, message.version, message.position, message.since]
            return ["n", *head, changes, message.is_for_relay]
        case ConfigurationUpdate():
            return ["c", *dataclasses.astuple(message)]
        case VersionNotice():
            return ["v", message.vm, message.version]
        case TargetEstimates():
            items = [_pack_opinion(one) for one in message.items]
            times = [list(one) for one in message.times]
            return ["o", *_pack_shard(message.shard), items, times, message.vm]
        case SlotRequested():
            return ["a", message.vm, *_pack_ask(message.ask, now)]
        case SlotHeld():
            held = message.held
            return ["k", message.vm, held.target_id, *_pack_ask(held.slot_request, now)]
        case SuspectRequests():
            return ["s", suspect_codec.pack(message.items, now)]
        case RetryUsage():
            counts = retry_codec.pack(message.counts)
            return ["t", message.service, counts, message.is_complete]
        case messages.Grant():
            return ["g", *dataclasses.astuple(message)]
        case messages.Refuse():
            left = message.retry_at - now
            reason = message.reason.value
            return ["r", message.ticket, reason, left, round(message.pressure, 2)]
        case messages.Wait():
            return ["w", message.ticket]
        case messages.Report():
            fields = [getattr(message, name) for name in REPORT_FIELDS]
            return ["e", *_pack_shard(message.shard), *fields]


def _unpack(fields: list, now: float) -> Message:
    kind, rest = fields[0], fields[1:]
    match kind:
        case "h":
            return Hello(ports.Member(*rest[2:]), bool(rest[0]), rest[1])
        case "l":
            return Leaving(rest[0], rest[1])
        case "q":
            return Resigned(rest[0], rest[1], rest[2], now + rest[3])
        case "n":
            changes = tuple(unpack_change(one, now) for one in rest[4])
            vm, version, position, since = rest[:4]
            return TargetUpdate(vm, version, position, since, changes, bool(rest[5]))
        case "c":
            return ConfigurationUpdate(*rest)
        case "v":
            return VersionNotice(rest[0], rest[1])
        case "o":
            items = tuple(TargetEstimate(*one) for one in rest[4])
            times = tuple((name, seconds) for name, seconds in rest[5])
            return TargetEstimates(shards.Shard(*rest[:4]), items, times, *rest[6:])
        case "a":
            return SlotRequested(rest[0], _unpack_ask(rest[1:], now))
        case "s":
            return SuspectRequests(suspect_codec.unpack(rest[0], now))
        case "t":
            counts = retry_codec.unpack(rest[1])
            return RetryUsage(str(rest[0]), counts, rest[2] is True)
        case "g":
            return messages.Grant(*rest)
        case "r":
            ticket, reason, left, pressure = rest
            return messages.Refuse(
                ticket, messages.RefusalReason(reason), now + left, pressure
            )
        case "w":
            return messages.Wait(rest[0])
        case "e":
            return _unpack_report(rest)
        case "k":
            held = messages.HeldSlot(_unpack_ask(rest[2:], now), rest[1])
            return SlotHeld(rest[0], held)
        case _:
            raise UnreadableError(f"unknown kind {kind!r:.20}")


def _pack_opinion(opinion: TargetEstimate) -> list[object]:
    fields = [opinion.target_id, opinion.failure_probability, opinion.slowness]
    if opinion.rate_limit is None:
        return fields
    return [
        *fields,
        opinion.rate_limit,
        opinion.next_request_in,
        opinion.rate_limit_age,
    ]


def _unpack_report(fields: list) -> messages.Report:
    ticket, target_id, outcome, took, vm, *told = fields[4:]
    shard = shards.Shard(*fields[:4])
    return messages.Report(
        ticket, shard, target_id, messages.Outcome(outcome), took, vm, *told
    )


def _pack_shard(shard: shards.Shard) -> list[object]:
    return [shard.service, shard.data_centre, shard.index, shard.count]


def _pack_ask(ask: messages.SlotRequest, now: float) -> list[object]:
    return [
        *_pack_shard(ask.shard),
        ask.ticket,
        ask.kind,
        ask.may_retry,
        ask.priority,
        ask.objective_at - now,
        ask.deadline_at - now,
        ask.attempt,
        ask.data_centre,
        list(ask.excluded),
        list(ask.connected_targets),
        ask.is_first,
    ]


def _unpack_ask(fields: list, now: float) -> messages.SlotRequest:
    ticket, kind, may_retry, priority, objective, deadline = fields[4:10]
    attempt, data_centre, excluded, open_to, is_first = fields[10:]
    return messages.SlotRequest(
        ticket,
        shards.Shard(*fields[:4]),
        kind,
        may_retry,
        priority,
        now + objective,
        now + deadline,
        attempt,
        data_centre,
        _unpack_names(excluded),
        _unpack_names(open_to),
        is_first is True,
    )


def _unpack_names(value: object) -> tuple[str, ...]:
    """Return names of targets.

    A list that is odd or too long is refused: a dispatcher would look through it for
    each of its targets.
    """
    if not isinstance(value, list) or len(value) > MAX_NAMES:
        raise UnreadableError("no list of names")
    if not all(isinstance(name, str) for name in value):
        raise UnreadableError("a name that is no text")
    return tuple(value)


def pack_change(change: targets.Change, now: float) -> list[object]:
    """Return a change of a target as plain values."""
    if isinstance(change, targets.Removal):
        return [change.target_id, change.position]
    cold_left = max(0.0, change.cold_until - now)
    return [
        change.target_id,
        change.position,
        change.service,
        change.host,
        change.port,
        change.data_centre,
        change.slots,
        change.phase.value,
        change.born,
        cold_left,
        change.sequence,
    ]


def unpack_change(fields: list, now: float) -> targets.Change:
    """Return the change of a target in plain values."""
    if len(fields) == 2:
        return targets.Removal(fields[0], fields[1])
    target_id, position, service, host, port, data_centre, slots = fields[:7]
    phase, born, cold_left, *sequence = fields[7:]
    return targets.Entry(
        target_id,
        service,
        host,
        port,
        data_centre,
        slots,
        targets.Phase(phase),
        born,
        now + cold_left if cold_left else 0.0,
        position,
        *sequence,
    )
