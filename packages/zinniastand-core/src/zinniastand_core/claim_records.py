"""Log records about at-most-once work, and their encoding."""

from __future__ import annotations

import dataclasses
import enum
import typing

import expression

from . import codec

MS_PER_S = 1000


class RecordType(enum.IntEnum):
    """Type of a record: the first field of its encoding."""

    CLAIM = 1
    DONE = 2
    RELEASED = 3
    UNKNOWN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A request for the sole right to run one piece of work.

    The first claim of a key on the log holds that right.
    """

    key_digest: bytes
    """Digest of the idempotency key, which identifies the work."""

    claim_id: bytes
    """Unique id; a claim that is appended twice counts once."""

    holder: str
    """VM that may send the work if the claim is granted."""

    incarnation: int
    """Incarnation of the holder: a replaced VM is not the same holder."""

    start_deadline: float
    """Unix seconds, in whole milliseconds; the work must not start after this."""

    key_made_at: float
    """Unix seconds at which the key was made; sets when the record expires."""

    fingerprint: bytes
    """Digest of the request, which detects a key used for two requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The work ran, and its complete answer was received."""

    key_digest: bytes
    """Digest of the idempotency key, which identifies the work."""

    claim_id: bytes
    """Claim under which the work ran."""

    status: int
    """HTTP status of the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """The claim's work was never sent and never will be."""

    key_digest: bytes
    """Digest of the idempotency key, which identifies the work."""

    claim_id: bytes
    """Claim that is given up by its holder."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The work was sent, but no complete answer was received."""

    key_digest: bytes
    """Digest of the idempotency key, which identifies the work."""

    claim_id: bytes
    """Claim under which the work was sent."""


Record = Claim | Done | Released | Unknown


def pack(records: typing.Sequence[Record]) -> bytes:
    """Encode records as one log entry."""
    return codec.encode([_pack_one(record) for record in records])


def unpack(data: bytes) -> expression.Result[tuple[Record, ...], str]:
    """Decode a log entry.

    Parameters
    ----------
    data : bytes
        Content of the entry, untrusted.

    Returns
    -------
    expression.Result[tuple[Record, ...], str]
        The records, or why the entry is malformed. One malformed record rejects the
        whole entry.
    """
    match codec.decode(data):
        case expression.Result(tag="ok", ok=list(items)):
            pass
        case _:
            return expression.Error("not a list of records")
    records: list[Record] = []
    for item in items:
        record = _unpack_one(item)
        if record is None:
            return expression.Error("a record is malformed")
        records.append(record)
    return expression.Ok(tuple(records))


def _pack_one(record: Record) -> list[object]:
    match record:
        case Claim():
            return [
                RecordType.CLAIM.value,
                record.key_digest,
                record.claim_id,
                record.holder,
                record.incarnation,
                round(record.start_deadline * MS_PER_S),
                [round(record.key_made_at * MS_PER_S), record.fingerprint],
            ]
        case Done():
            kind = RecordType.DONE.value
            return [kind, record.key_digest, record.claim_id, record.status]
        case Released():
            return [RecordType.RELEASED.value, record.key_digest, record.claim_id]
        case Unknown():
            return [RecordType.UNKNOWN.value, record.key_digest, record.claim_id]


def _unpack_one(item: object) -> Record | None:
    match item:
        case [
            RecordType.CLAIM.value,
            bytes(key),
            bytes(claim_id),
            str(holder),
            int(incarnation),
            int(deadline),
            [int(made_at), bytes(fingerprint)],
        ]:
            return Claim(
                key,
                claim_id,
                holder,
                incarnation,
                deadline / MS_PER_S,
                made_at / MS_PER_S,
                fingerprint,
            )
        case [RecordType.DONE.value, bytes(key), bytes(claim_id), int(status)]:
            return Done(key, claim_id, status)
        case [RecordType.RELEASED.value, bytes(key), bytes(claim_id)]:
            return Released(key, claim_id)
        case [RecordType.UNKNOWN.value, bytes(key), bytes(claim_id)]:
            return Unknown(key, claim_id)
        case _:
            return None
