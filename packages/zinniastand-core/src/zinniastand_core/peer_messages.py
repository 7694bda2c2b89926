"""Messages between VMs and their CBOR encoding.

Each message is a CBOR list: its number, then its fields in a fixed order. Clock times
and scores are sent as integers, in thousandths.
"""

from __future__ import annotations

import dataclasses
import typing

import expression

from . import (
    baselines,
    claim_ledger,
    claim_records,
    claimer,
    codec,
    evidence,
    evidence_pool,
    hybrid_clock,
    membership,
)

FIXED_POINT_SCALE = 1000
"""Factor by which clock times and scores are multiplied to be sent as integers."""

MAX_OUTCOMES = 1_000_000
"""Number of outcomes from which on a report counts as malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat between neighbours, with the sender's position in the log."""

    sighting: membership.Sighting
    """The sender's own membership state."""

    sequence: int
    """Number of this heartbeat; it increases with each one sent on the link."""

    last_received: int
    """Last sequence number received from the other side.

    It reveals a link that delivers in one direction only.
    """

    next_offset: int
    """First offset of the configuration stream that the sender has not read."""

    version: int
    """Version of the bundle in force on the sender."""

    members_digest: bytes
    """Digest of the members that the sender knows."""

    stamp: hybrid_clock.Stamp
    """The sender's hybrid clock."""

    is_reply: bool
    """Whether it answers a heartbeat; replies are not answered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sightings:
    """Updates about members, relayed between VMs."""

    items: tuple[membership.Sighting, ...]
    """Latest known state of each member."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRequest:
    """Requests all members, because the digests of two VMs differed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Requests the entries of the configuration stream from an offset on."""

    next_offset: int
    """First offset not read yet."""

    version: int
    """Version of the bundle in force on the sender."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigNotice:
    """Announces how far the sender has read, so that others can request the rest."""

    next_offset: int
    """First offset not read yet."""

    version: int
    """Version of the bundle in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigEntries:
    """Consecutive entries of the configuration stream, byte for byte as on the log."""

    offset: int
    """Offset of the first entry."""

    data: tuple[bytes, ...]
    """The entries, without a gap."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """The whole state, for a VM that needs entries which the sender has dropped."""

    next_offset: int
    """First offset not read yet."""

    snapshot: bytes
    """The bundle as a snapshot record; empty before any bundle."""

    ejections: tuple[bytes, ...]
    """Granted ejection records that may still be in force, oldest first."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReports:
    """Evidence of one VM about one service, for the VMs that pool it."""

    service: str
    """Name of the service."""

    observer: evidence_pool.Observer
    """VM that collected the evidence."""

    items: tuple[evidence_pool.Report, ...]
    """Outcomes by target and kind of request."""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionLevels:
    """Scores computed from pooled evidence, relayed from VM to VM."""

    service: str
    """Name of the service."""

    pooled_by: str
    """VM that pooled the evidence."""

    sequence: int
    """Increases with each such message from that VM for that service."""

    items: tuple[evidence_pool.Level, ...]
    """Scores of the suspected targets."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """Announces that a target has refused a request because it is leaving."""

    service: str
    """Name of the service."""

    target: str
    """Name of the target."""

    address: str
    """``host:port`` of the target."""

    until: float
    """Unix seconds from which it may get work again."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Requests a claim from the VM that appends for its slice."""

    claim: claim_records.Claim
    """The claim to append."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResponse:
    """Answers a claim request."""

    claim_id: bytes
    """Identifier of the claim."""

    denial: claimer.Denial | None
    """Why the claim was denied, or None if it was granted."""

    entry: claim_ledger.Entry | None
    """State of the key if another claim owns it, otherwise None."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettleRequest:
    """Requests the VM that appends for a slice to append outcomes."""

    data: bytes
    """Packed records of one slice."""


Message = (
    Heartbeat
    | Sightings
    | MembersRequest
    | ConfigRequest
    | ConfigEntries
    | ConfigState
    | EvidenceReports
    | SuspicionLevels
    | ClaimRequest
    | ClaimResponse
    | SettleRequest
    | ConfigNotice
    | TargetLeaving
)


def encode(message: Message) -> bytes:
    """Return the CBOR encoding of a message."""
    match message:
        case Heartbeat():
            fields = _pack_heartbeat(message)
        case Sightings():
            fields = [2, [_pack_sighting(item) for item in message.items]]
        case MembersRequest():
            fields = [3]
        case ConfigRequest():
            fields = [4, message.next_offset, message.version]
        case ConfigEntries():
            fields = [5, message.offset, list(message.data)]
        case ConfigState():
            ejections = list(message.ejections)
            fields = [6, message.next_offset, message.snapshot, ejections]
        case EvidenceReports():
            observer = [message.observer.vm, message.observer.data_centre]
            items = [_pack_report(item) for item in message.items]
            fields = [7, message.service, observer, items]
        case SuspicionLevels():
            levels = [_pack_level(level) for level in message.items]
            fields = [8, message.service, message.pooled_by, message.sequence, levels]
        case ClaimRequest():
            fields = [9, claim_records.pack([message.claim])]
        case ClaimResponse():
            denial = message.denial.value if message.denial else None
            fields = [10, message.claim_id, denial, _pack_entry(message.entry)]
        case SettleRequest():
            fields = [11, message.data]
        case ConfigNotice():
            fields = [12, message.next_offset, message.version]
        case TargetLeaving():
            until = round(message.until * FIXED_POINT_SCALE)
            fields = [13, message.service, message.target, message.address, until]
    return codec.encode(fields)


def _pack_heartbeat(heartbeat: Heartbeat) -> list[object]:
    return [
        1,
        _pack_sighting(heartbeat.sighting),
        heartbeat.sequence,
        heartbeat.last_received,
        heartbeat.next_offset,
        heartbeat.version,
        heartbeat.members_digest,
        _pack_stamp(heartbeat.stamp),
        heartbeat.is_reply,
    ]


def decode(data: bytes) -> expression.Result[Message, str]:
    """Decode one message.

    Parameters
    ----------
    data : bytes
        The message as received; it may come from a faulty or hostile sender.

    Returns
    -------
    expression.Result
        The message, or the reason why it cannot be read.
    """
    decoded = codec.decode(data)
    if decoded.is_error():
        return expression.Error(decoded.error)
    try:
        message = _read(decoded.ok)
    # The readers raise one of these for a field of the wrong type or range. Such a
    # sender is faulty or hostile, so the whole message is dropped.
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        return expression.Error(f"malformed message: {type(error).__name__}")
    if message is None:
        return expression.Error("unknown or malformed message")
    return expression.Ok(message)


def _read(fields: typing.Any) -> Message | None:
    return (
        _read_member_or_evidence_message(fields)
        or _read_config_message(fields)
        or _read_claim_message(fields)
    )


def _read_member_or_evidence_message(fields: typing.Any) -> Message | None:
    match fields:
        case [
            1,
            sighting,
            int(sequence),
            int(received),
            int(offset),
            int(version),
            bytes(digest),
            stamp,
            bool(is_reply),
        ]:
            return Heartbeat(
                _read_sighting(sighting),
                sequence,
                received,
                offset,
                version,
                digest,
                _read_stamp(stamp),
                is_reply,
            )
        case [2, list(items)]:
            return Sightings(tuple(_read_sighting(item) for item in items))
        case [3]:
            return MembersRequest()
        case [7, str(service), [str(vm), str(data_centre)], list(items)]:
            observer = evidence_pool.Observer(vm, data_centre)
            reports = tuple(_read_report(item) for item in items)
            return EvidenceReports(service, observer, reports)
        case [8, str(service), str(pooled_by), int(sequence), list(items)]:
            levels = tuple(_read_level(item) for item in items)
            return SuspicionLevels(service, pooled_by, sequence, levels)
        case [13, str(service), str(target), str(address), int(until)]:
            return TargetLeaving(service, target, address, until / FIXED_POINT_SCALE)
        case _:
            return None


def _read_config_message(fields: typing.Any) -> Message | None:
    match fields:
        case [4, int(offset), int(version)]:
            return ConfigRequest(offset, version)
        case [5, int(offset), list(data)]:
            return ConfigEntries(offset, tuple(_expect_bytes(item) for item in data))
        case [6, int(offset), bytes(snapshot), list(ejections)]:
            granted = tuple(_expect_bytes(item) for item in ejections)
            return ConfigState(offset, snapshot, granted)
        case [12, int(offset), int(version)]:
            return ConfigNotice(offset, version)
        case _:
            return None


def _read_claim_message(fields: typing.Any) -> Message | None:
    match fields:
        case [9, bytes(packed)]:
            return _read_claim_request(packed)
        case [10, bytes(claim_id), denial, entry]:
            reason = None if denial is None else claimer.Denial(denial)
            return ClaimResponse(claim_id, reason, _read_entry(entry))
        case [11, bytes(packed)]:
            return SettleRequest(packed)
        case _:
            return None


def _expect_bytes(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("expected bytes")
    return value


def _pack_stamp(stamp: hybrid_clock.Stamp) -> list[object]:
    return [round(stamp.time * FIXED_POINT_SCALE), stamp.count]


def _read_stamp(value: typing.Any) -> hybrid_clock.Stamp:
    time, count = value
    return hybrid_clock.Stamp(int(time) / FIXED_POINT_SCALE, int(count))


def _pack_sighting(sighting: membership.Sighting) -> list[object]:
    member = sighting.member
    return [
        member.vm,
        member.data_centre,
        member.url,
        member.incarnation,
        sighting.beat,
        sighting.status.value,
    ]


def _read_sighting(value: typing.Any) -> membership.Sighting:
    match value:
        case [
            str(vm),
            str(member_data_centre),
            str(url),
            int(incarnation),
            int(heartbeat),
            int(status),
        ]:
            member = membership.Member(vm, member_data_centre, url, incarnation)
            return membership.Sighting(member, heartbeat, membership.Status(status))
        case _:
            raise TypeError("expected a sighting")


def _pack_report(report: evidence_pool.Report) -> list[object]:
    tally = report.tally
    counts = [tally.good, tally.error, tally.slow]
    return [report.subject.target, report.subject.kind, *counts]


def _read_report(value: typing.Any) -> evidence_pool.Report:
    match value:
        case [str(target), str(kind), int(good), int(error), int(slow)] if (
            min(good, error, slow) >= 0 and max(good, error, slow) < MAX_OUTCOMES
        ):
            subject = baselines.Subject(target, kind)
            return evidence_pool.Report(subject, evidence.Tally(good, error, slow))
        case _:
            raise TypeError("expected a report")


def _pack_level(level: evidence_pool.Level) -> list[object]:
    scores_by_data_centre = {
        scored_data_centre: round(score * FIXED_POINT_SCALE)
        for scored_data_centre, score in level.by_data_centre
    }
    return [
        level.target,
        round(level.overall * FIXED_POINT_SCALE),
        scores_by_data_centre,
    ]


def _read_level(value: typing.Any) -> evidence_pool.Level:
    match value:
        case [str(target), int(overall), dict(scores_by_data_centre)]:
            scores = sorted(
                (str(k), int(v) / FIXED_POINT_SCALE)
                for k, v in scores_by_data_centre.items()
            )
            return evidence_pool.Level(
                target, overall / FIXED_POINT_SCALE, tuple(scores)
            )
        case _:
            raise TypeError("expected a level")


def _pack_entry(entry: claim_ledger.Entry | None) -> list[object] | None:
    if entry is None:
        return None
    return [claim_records.pack([entry.claim]), entry.phase.value, entry.status]


def _read_entry(value: typing.Any) -> claim_ledger.Entry | None:
    if value is None:
        return None
    match value:
        case [bytes(packed), str(phase), int(status)]:
            claim = _read_claim(packed)
            return claim_ledger.Entry(claim, claim_ledger.Phase(phase), status)
        case _:
            raise TypeError("expected an entry")


def _read_claim_request(packed: bytes) -> ClaimRequest:
    return ClaimRequest(_read_claim(packed))


def _read_claim(packed: bytes) -> claim_records.Claim:
    match claim_records.unpack(packed):
        case expression.Result(tag="ok", ok=(claim_records.Claim() as claim,)):
            return claim
        case _:
            raise TypeError("expected one claim")
