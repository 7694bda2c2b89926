"""Datagrams between VMs, encoded as CBOR arrays.

Datagrams are used instead of connections because these messages are small, are
worthless when late, and must not wait behind a connection that no longer responds. A VM
that needs an answer repeats its message. Times are sent as the seconds left until them
or passed since them, because the monotonic clocks of two VMs are unrelated.
"""

from __future__ import annotations

import dataclasses
import operator

import cbor2

from zinniastand_core import capacity
from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import messages, shards
from zinniastand_core.quarantine import suspect

from . import ports, suspect_codec
from .accounts import account_messages
from .retries import handover_messages, retry_loans


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The sender is running."""

    member: ports.Member
    """The entry of the sender."""

    wants_answer: bool
    """Whether the receiver should reply with a `Hello` of its own."""

    position: int = -1
    """Position on the log of targets up to which the sender has read; negative if it
    has read nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The sender is about to stop and dispatches for no VM from now on."""

    vm: str
    """Name of the sender."""

    incarnation: int
    """Incarnation of the sender, so that a late datagram does not affect its next
    start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resigned:
    """The sender is running but cannot perform a fleet-wide task for some time."""

    vm: str
    """Name of the sender."""

    incarnation: int
    """Incarnation of the sender."""

    task: str
    """Name of the task; empty for all tasks."""

    until: float
    """End of the resignation, in seconds of the local monotonic clock."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUpdate:
    """Recent changes of targets, from the VM that reads the store."""

    vm: str
    """Name of the reader."""

    version: int
    """Version of the configuration in force at the reader."""

    position: int
    """Position on the log of targets up to which the reader has read."""

    since: int
    """Position at which the changes begin. A receiver that has read less far must read
    the store itself."""

    changes: tuple[targets.Change, ...]
    """Changes of targets from `since` on."""

    is_for_relay: bool = False
    """Whether the receiver should pass it on to the VMs of its data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdate:
    """A new configuration, from the VM that reads the store."""

    vm: str
    """Name of the reader."""

    version: int
    """Version of the configuration."""

    data: bytes
    """The configuration, packed and compressed by `configuration_codec`."""

    is_for_relay: bool = False
    """Whether the receiver should pass it on to the VMs of its data centre."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNotice:
    """The sender has a new configuration."""

    vm: str
    """Name of the sender."""

    version: int
    """Version of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEstimate:
    """A dispatcher's estimates of one target."""

    target_id: str
    """Id of the target."""

    failure_probability: float
    """Probability that the target is failing."""

    slowness: float
    """Factor by which its requests take longer than usual."""

    rate_limit: float | None = None
    """Requests per second that it accepts from all VMs together; None if it states no
    limit."""

    next_request_in: float = 0.0
    """Seconds until that limit allows the next request."""

    rate_limit_age: float = 0.0
    """Seconds since an answer stated the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEstimates:
    """A dispatcher's estimates of its targets, for the VMs that may succeed it."""

    shard: shards.Shard
    """The shard that it dispatches."""

    items: tuple[TargetEstimate, ...]
    """One estimate for each target that has one."""

    durations: tuple[tuple[str, float], ...]
    """Kinds of work, each with its mean duration in seconds."""

    vm: str = ""
    """Name of the dispatching VM; empty if it runs an earlier version of the software,
    which does not send its name."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequested:
    """A VM requests a slot at a target."""

    vm: str
    """Name of the requesting VM."""

    request: messages.SlotRequest
    """The request."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHeld:
    """A VM informs a new dispatcher of a slot that it already holds."""

    vm: str
    """Name of the VM."""

    held: messages.HeldSlot
    """The slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRequests:
    """The sender's records of requests that were at targets when these crashed."""

    items: tuple[tuple[str, suspect.Suspect], ...]
    """Fingerprint and record of each request."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a target has told the sender over a connection that the receiver relays."""

    target_id: str
    """Id of the target."""

    born: int
    """Start of the target."""

    rest: float
    """Seconds for which it wants no requests; 0 if it asked for no rest."""

    is_leaving: bool
    """Whether it is leaving."""


MAX_LISTED_TARGETS = 256
"""Maximum number of target ids in one list of a slot request; a VM excludes fewer."""

REPORT_FIELDS = (
    "ticket",
    "target_id",
    "outcome",
    "duration",
    "vm",
    "rate_limit",
    "is_resent",
)
"""Fields of a report in the order in which they follow its shard."""

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
    | TargetNotice
    | account_messages.AccountMessage
    | retry_loans.LoanMessage
    | handover_messages.HandoverMessage
    | messages.Grant
    | messages.Refuse
    | messages.Wait
    | messages.Report
)


class UnreadableError(Exception):
    """A datagram that does not encode a known message."""


def encode(message: Message, now: float) -> bytes:
    """Return the datagram of a message; `now` is in seconds of the monotonic clock."""
    return cbor2.dumps(_pack(message, now))


def decode(data: bytes, now: float) -> Message:
    """Return the message of a datagram; `now` is in seconds of the monotonic clock.

    Raises
    ------
    UnreadableError
        If the datagram encodes no known message.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, list):
            # A string can be indexed too: two characters would decode as a `Leaving`.
            raise UnreadableError("expected an array")
        return _unpack(fields, now)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        KeyError,
        IndexError,
        OverflowError,
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
            time_left = message.until - now
            return ["q", message.vm, message.incarnation, message.task, time_left]
        case TargetUpdate():
            changes = [pack_change(recent, now) for recent in message.changes]
            head = [message.vm, message.version, message.position, message.since]
            return ["n", *head, changes, message.is_for_relay]
        case ConfigurationUpdate():
            return ["c", *dataclasses.astuple(message)]
        case VersionNotice():
            return ["v", message.vm, message.version]
        case TargetEstimates():
            items = [_pack_estimate(item) for item in message.items]
            durations = [list(kind_duration) for kind_duration in message.durations]
            return ["o", *_pack_shard(message.shard), items, durations, message.vm]
        case SlotRequested():
            return ["a", message.vm, *_pack_slot_request(message.request, now)]
        case SlotHeld():
            held = message.held
            return [
                "k",
                message.vm,
                held.target_id,
                *_pack_slot_request(held.granted_request, now),
            ]
        case SuspectRequests():
            return ["s", suspect_codec.pack(message.items, now)]
        case TargetNotice():
            return ["x", *dataclasses.astuple(message)]
        case (
            account_messages.ProofRequested()
            | account_messages.Proof()
            | account_messages.QuotaRequested()
            | account_messages.QuotaDecided()
            | account_messages.QuotaRefunded()
            | account_messages.CreditAsked()
            | account_messages.CreditLent()
            | account_messages.CreditReturned()
        ):
            return account_messages.pack(message, now)
        case (
            retry_loans.LoanRequested()
            | retry_loans.LoanDecided()
            | retry_loans.LoanReturned()
        ):
            return retry_loans.pack(message)
        case (
            handover_messages.HandoverOffered()
            | handover_messages.HandoverAccepted()
            | handover_messages.CountsHandedOver()
        ):
            return handover_messages.pack(message)
        case messages.Grant():
            return ["g", *dataclasses.astuple(message)]
        case messages.Refuse():
            time_left = message.retry_at - now
            reason = message.reason.value
            return ["r", message.ticket, reason, time_left, round(message.pressure, 2)]
        case messages.Wait():
            return ["w", message.ticket]
        case messages.Report():
            fields = [getattr(message, name) for name in REPORT_FIELDS]
            return ["e", *_pack_shard(message.shard), *fields]


def _unpack(fields: list, now: float) -> Message:
    kind, rest = fields[0], fields[1:]
    if kind in account_messages.KINDS:
        return account_messages.unpack(kind, rest, now)
    if kind in retry_loans.KINDS:
        return retry_loans.unpack(kind, rest)
    if kind in handover_messages.KINDS:
        return handover_messages.unpack(kind, rest)
    match kind:
        case "h":
            amounts = map(capacity.check_amount, rest[7:])
            member = ports.Member(*rest[2:7], *amounts)
            return Hello(member, bool(rest[0]), rest[1])
        case "l":
            return Leaving(rest[0], rest[1])
        case "q":
            return Resigned(rest[0], rest[1], rest[2], now + rest[3])
        case "n":
            changes = tuple(unpack_change(row, now) for row in rest[4])
            vm, version, position, since = rest[:4]
            return TargetUpdate(vm, version, position, since, changes, bool(rest[5]))
        case "c":
            return ConfigurationUpdate(*rest)
        case "v":
            return VersionNotice(rest[0], rest[1])
        case "o":
            items = tuple(TargetEstimate(*item) for item in rest[4])
            durations = tuple((name, seconds) for name, seconds in rest[5])
            return TargetEstimates(shards.Shard(*rest[:4]), items, durations, *rest[6:])
        case "a":
            return SlotRequested(rest[0], _unpack_slot_request(rest[1:], now))
        case "s":
            return SuspectRequests(suspect_codec.unpack(rest[0], now))
        case "x":
            target_id, born, seconds, is_leaving = rest
            return TargetNotice(
                str(target_id), operator.index(born), float(seconds), is_leaving is True
            )
        case "g":
            return messages.Grant(*rest)
        case "r":
            ticket, reason, time_left, pressure = rest
            return messages.Refuse(
                ticket, messages.RefusalReason(reason), now + time_left, pressure
            )
        case "w":
            return messages.Wait(rest[0])
        case "e":
            return _unpack_report(rest)
        case "k":
            held = messages.HeldSlot(_unpack_slot_request(rest[2:], now), rest[1])
            return SlotHeld(rest[0], held)
        case _:
            raise UnreadableError(f"unknown kind {kind!r:.20}")


def _pack_estimate(estimate: TargetEstimate) -> list[object]:
    fields = [estimate.target_id, estimate.failure_probability, estimate.slowness]
    if estimate.rate_limit is None:
        return fields
    return [
        *fields,
        estimate.rate_limit,
        estimate.next_request_in,
        estimate.rate_limit_age,
    ]


def _unpack_report(fields: list) -> messages.Report:
    ticket, target_id, outcome, duration, vm, *optional = fields[4:]
    shard = shards.Shard(*fields[:4])
    return messages.Report(
        ticket, shard, target_id, messages.Outcome(outcome), duration, vm, *optional
    )


def _pack_shard(shard: shards.Shard) -> list[object]:
    return [shard.service, shard.data_centre, shard.index, shard.count]


def _pack_slot_request(request: messages.SlotRequest, now: float) -> list[object]:
    # VMs of an earlier version reject a request with an account.
    optional: list[object] = [True] if request.has_alternative else []
    if request.account:
        optional = [request.has_alternative, request.account]
    return [
        *_pack_shard(request.shard),
        request.ticket,
        request.kind,
        request.may_retry,
        request.priority,
        request.objective_at - now,
        request.deadline_at - now,
        request.attempt,
        request.data_centre,
        list(request.excluded),
        list(request.connected_targets),
        request.is_first,
        *optional,
    ]


def _unpack_slot_request(fields: list, now: float) -> messages.SlotRequest:
    ticket, kind, may_retry, priority, objective, deadline = fields[4:10]
    attempt, data_centre, excluded, connected, is_first, *optional = fields[10:]
    has_alternative = bool(optional) and optional[0] is True
    # Fields after the account are of a later version, and are ignored.
    account = optional[1] if len(optional) > 1 else ""
    if not isinstance(account, str):
        raise UnreadableError("expected the account of a slot request to be a string")
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
        _unpack_target_ids(excluded),
        _unpack_target_ids(connected),
        is_first is True,
        has_alternative,
        account,
    )


def _unpack_target_ids(value: object) -> tuple[str, ...]:
    """Return a list of target ids.

    A malformed or overlong list is rejected, because a dispatcher searches the list for
    each of its targets.
    """
    if not isinstance(value, list) or len(value) > MAX_LISTED_TARGETS:
        raise UnreadableError(
            "expected a list of target ids, not longer than the maximum"
        )
    if not all(isinstance(listed_id, str) for listed_id in value):
        raise UnreadableError("expected each target id to be a string")
    return tuple(value)


def pack_change(change: targets.Change, now: float) -> list[object]:
    """Return a change of a target as CBOR values; `now` is in monotonic seconds."""
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
    """Return a change of a target from CBOR values; `now` is in monotonic seconds."""
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
