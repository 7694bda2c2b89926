"""Messages between VMs, and their CBOR form."""

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
MAX_OUTCOMES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat between neighbours, which also tells how far each has read."""

    sighting: membership.Sighting
    """What the sender says of itself."""

    sequence: int
    """Grows with each heartbeat on this link."""

    last_received: int
    """Last sequence heard from the receiver: shows a link that works one way only."""

    next_offset: int
    """First offset of the configuration stream that the sender has not read."""

    version: int
    """Version of its bundle."""

    members_digest: bytes
    """Digest of the members that it knows."""

    stamp: hybrid_clock.Stamp
    """Its hybrid clock."""

    is_reply: bool
    """Whether it answers a heartbeat; a reply is never replied to."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sightings:
    """News of members."""

    items: tuple[membership.Sighting, ...]
    """The news."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRequest:
    """Asks for all members, after two digests differed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRequest:
    """Asks for what comes after an offset of the configuration stream."""

    next_offset: int
    """First offset not read yet."""

    version: int
    """Version of the bundle in force at the asker."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigNotice:
    """Says how far the sender has read, so that others can ask for what they lack."""

    next_offset: int
    """First offset not read yet."""

    version: int
    """Version of the bundle in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigEntries:
    """Entries of the configuration stream, as they stand on the log."""

    offset: int
    """Offset of the first one."""

    data: tuple[bytes, ...]
    """The entries, without a gap."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigState:
    """The state after the entries that the sender no longer keeps."""

    next_offset: int
    """First offset not read yet."""

    snapshot: bytes
    """The bundle, as a snapshot record, or empty."""

    ejections: tuple[bytes, ...]
    """Ejection records granted and perhaps still in force, oldest first."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReports:
    """Evidence of one VM about one service, for those who pool it."""

    service: str
    """Name of the service."""

    observer: evidence_pool.Observer
    """Who saw it."""

    items: tuple[evidence_pool.Report, ...]
    """What it saw."""


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionLevels:
    """Scores that the pooled evidence supports, told on from VM to VM."""

    service: str
    """Name of the service."""

    pooled_by: str
    """VM that pooled them."""

    sequence: int
    """Grows with each such message of that VM and service."""

    items: tuple[evidence_pool.Level, ...]
    """Scores of the accused targets."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks the VM that appends for a slice to seek a claim."""

    claim: claim_records.Claim
    """The claim."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResponse:
    """The verdict on a claim."""

    claim_id: bytes
    """Which."""

    denial: claimer.Denial | None
    """Why it was denied, or None where it was granted."""

    entry: claim_ledger.Entry | None
    """What is known of the key, where somebody else owns it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettleRequest:
    """Asks the VM that appends for a slice to append outcomes."""

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
)


def encode(message: Message) -> bytes:
    """Return the CBOR form of a message."""
    match message:
        case Heartbeat():
            fields = _pack_beat(message)
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
    return codec.encode(fields)


def _pack_beat(beat: Heartbeat) -> list[object]:
    return [
        1,
        _pack_sighting(beat.sighting),
        beat.sequence,
        beat.last_received,
        beat.next_offset,
        beat.version,
        beat.members_digest,
        _pack_stamp(beat.stamp),
        beat.is_reply,
    ]


def decode(data: bytes) -> expression.Result[Message, str]:
    """Return the message in `data`, or why there is none."""
    decoded = codec.decode(data)
    if decoded.is_error():
        return expression.Error(decoded.error)
    try:
        message = _read(decoded.ok)
    # A field of the wrong type or range shows up as one of these; the sender is
    # broken or hostile, and its message is dropped whole.
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        return expression.Error(f"malformed message: {type(error).__name__}")
    if message is None:
        return expression.Error("unknown or malformed message")
    return expression.Ok(message)


def _read(fields: typing.Any) -> Message | None:
    return _read_news(fields) or _read_config(fields) or _read_claims(fields)


def _read_news(fields: typing.Any) -> Message | None:
    match fields:
        case [
            1,
            sighting,
            int(sequence),
            int(heard),
            int(offset),
            int(version),
            bytes(digest),
            stamp,
            bool(is_reply),
        ]:
            return Heartbeat(
                _read_sighting(sighting),
                sequence,
                heard,
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
        case _:
            return None


def _read_config(fields: typing.Any) -> Message | None:
    match fields:
        case [4, int(offset), int(version)]:
            return ConfigRequest(offset, version)
        case [5, int(offset), list(data)]:
            return ConfigEntries(offset, tuple(_expect_bytes(item) for item in data))
        case [6, int(offset), bytes(snapshot), list(ejections)]:
            kept = tuple(_expect_bytes(item) for item in ejections)
            return ConfigState(offset, snapshot, kept)
        case [12, int(offset), int(version)]:
            return ConfigNotice(offset, version)
        case _:
            return None


def _read_claims(fields: typing.Any) -> Message | None:
    match fields:
        case [9, bytes(packed)]:
            return _read_claim_asked(packed)
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
        case [str(vm), str(place), str(url), int(incarnation), int(beat), int(status)]:
            member = membership.Member(vm, place, url, incarnation)
            return membership.Sighting(member, beat, membership.Status(status))
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
    places = {
        place: round(score * FIXED_POINT_SCALE) for place, score in level.by_data_centre
    }
    return [level.target, round(level.overall * FIXED_POINT_SCALE), places]


def _read_level(value: typing.Any) -> evidence_pool.Level:
    match value:
        case [str(target), int(overall), dict(places)]:
            scores = sorted(
                (str(k), int(v) / FIXED_POINT_SCALE) for k, v in places.items()
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


def _read_claim_asked(packed: bytes) -> ClaimRequest:
    return ClaimRequest(_read_claim(packed))


def _read_claim(packed: bytes) -> claim_records.Claim:
    match claim_records.unpack(packed):
        case expression.Result(tag="ok", ok=(claim_records.Claim() as claim,)):
            return claim
        case _:
            raise TypeError("expected one claim")
