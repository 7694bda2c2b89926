"""Seeking claims for the holders of one slice, with group commit on the log.

One append is in flight at a time; claims that come meanwhile wait and go together in
the next, so the number of appends does not grow with the number of claims.
"""

from __future__ import annotations

import dataclasses
import enum

from . import claim_ledger, claim_records

MAX_BATCH = 512
MAX_WAITING = 8192


class Denial(enum.StrEnum):
    """Why a claim was not granted."""

    OWNED = "owned"
    """Another claim owns the key."""

    KEY_REUSED = "key-reused"
    """Another claim owns the key, for a different request."""

    LOG_DOWN = "log-down"
    """Nothing was appended, and nothing can be for now."""

    UNSETTLED = "unsettled"
    """An append may have taken effect, but the log cannot be read or is slow."""

    LAPSED = "lapsed"
    """Not known to be granted by its start deadline."""

    OVERLOADED = "overloaded"
    """Too many claims wait already."""


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Action: append an entry to the slice's stream."""

    batch: int
    """Number to report the result under."""

    data: bytes
    """The entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Action: read the slice's stream."""

    offset: int
    """First offset wanted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Action: tell the holder that it may send, until the claim's start deadline."""

    claim: claim_records.Claim
    """The claim that owns its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Action: tell the holder that it must not send."""

    claim: claim_records.Claim
    """The claim."""

    reason: Denial
    """Why."""

    entry: claim_ledger.Entry | None
    """What is known of the key, where somebody else owns it."""


Action = Append | Read | Granted | Denied


class Claimer:
    """The claims that one VM seeks in one slice.

    Parameters
    ----------
    ledger : claim_ledger.ClaimLedger
        Ledger of the slice, fed only through this object.
    next_offset : int
        Offset from which the stream is to be read first.
    batch_wait : float
        Seconds that a claim may wait for company. Zero sends at once when no append
        is in flight.
    """

    def __init__(
        self,
        ledger: claim_ledger.ClaimLedger,
        next_offset: int = 0,
        batch_wait: float = 0.0,
    ) -> None:
        self._ledger = ledger
        self._next_offset = next_offset
        self._batch_wait = batch_wait
        self._waiting: list[claim_records.Record] = []
        self._flush_at: float | None = None
        self._in_flight: dict[int, tuple[claim_records.Record, ...]] = {}
        self._batch = 0
        self._sought: dict[bytes, claim_records.Claim] = {}
        self._uncertain: set[bytes] = set()
        self._outcomes: dict[bytes, claim_records.Done | claim_records.Unknown] = {}

    @property
    def next_offset(self) -> int:
        """First offset not read yet."""
        return self._next_offset

    @property
    def is_settled(self) -> bool:
        """Whether no record waits to be appended."""
        return not self._waiting and not self._in_flight

    def find_deadline(self) -> float | None:
        """Return when `lapse` is due next, or None."""
        deadlines = [claim.start_deadline for claim in self._sought.values()]
        if self._flush_at is not None and not self._in_flight:
            deadlines.append(self._flush_at)
        return min(deadlines, default=None)

    def skip_to(self, offset: int) -> None:
        """Go on at `offset`: what is before it is older than any key in the window."""
        self._next_offset = max(self._next_offset, offset)

    @property
    def is_seeking(self) -> bool:
        """Whether any claim has no verdict yet."""
        return bool(self._sought)

    def seek(self, claim: claim_records.Claim, now: float) -> list[Action]:
        """Seek a claim; its verdict comes from this or a later call."""
        entry = self._ledger.find(claim.key_digest)
        if claim.start_deadline <= now:
            return [Denied(claim, Denial.LAPSED, entry)]
        if entry is not None and entry.claim.claim_id == claim.claim_id:
            return [Granted(claim)]
        if entry is not None or self._ledger.is_void(claim.claim_id):
            return [self._deny_owned(claim, entry)]
        if len(self._waiting) >= MAX_WAITING:
            return [Denied(claim, Denial.OVERLOADED, None)]
        self._sought[claim.claim_id] = claim
        return self._enqueue(claim, now)

    def settle(self, record: claim_records.Record, now: float) -> list[Action]:
        """Put an outcome on the log when the next append goes."""
        if isinstance(record, claim_records.Done | claim_records.Unknown):
            self._outcomes[record.claim_id] = record
        return self._enqueue(record, now)

    def handle_appended(self, batch: int, offset: int, now: float) -> list[Action]:
        """Take in that an append took effect at `offset`."""
        records = self._in_flight.pop(batch, ())
        if offset == self._next_offset:
            # Nobody else appended in between: no read is needed.
            actions = self._apply(records, offset, now)
        else:
            actions = [Read(self._next_offset)]
        return actions + self._flush_due(now)

    def handle_uncertain(self, batch: int, now: float) -> list[Action]:
        """Take in that an append may or may not have taken effect.

        Its records go again: a copy is harmless, because a claim counts once by its
        id, and the reading that follows shows which claim came first.
        """
        records = self._in_flight.pop(batch, ())
        self._uncertain.update(
            record.claim_id for record in records if record.claim_id in self._sought
        )
        self._waiting = self._keep_useful(records) + self._waiting
        self._flush_at = now + self._batch_wait if self._waiting else None
        return [Read(self._next_offset)]

    def handle_refused(self, batch: int, now: float) -> list[Action]:
        """Take in that an append certainly took no effect.

        The claims in it are refused at once, so that their callers can be told
        "not run" early; outcomes stay and go when the log is back.
        """
        records = self._in_flight.pop(batch, ())
        actions: list[Action] = []
        kept: list[claim_records.Record] = []
        for record in (*records, *self._waiting):
            if not isinstance(record, claim_records.Claim):
                kept.append(record)
            elif self._sought.pop(record.claim_id, None) is not None:
                actions.append(self._deny_unappended(record))
        self._waiting = kept
        self._flush_at = None
        return actions

    def apply_entry(self, offset: int, data: bytes, now: float) -> list[Action]:
        """Take in the entry at `offset`, as read from the log."""
        if offset < self._next_offset:
            return []
        records = claim_records.unpack(data)
        # An entry that cannot be read carries nothing: every VM skips it alike.
        return self._apply(records.ok if records.is_ok() else (), offset, now)

    def process_due(self, now: float) -> list[Action]:
        """Deny claims past their start deadline, and flush what is due.

        Only the holder knows whether it sent the work by another path, so only the
        holder may release the claim; this object never does so by itself.
        """
        actions: list[Action] = []
        for claim in list(self._sought.values()):
            if claim.start_deadline <= now:
                self._drop(claim)
                actions.append(Denied(claim, Denial.LAPSED, None))
        self._ledger.forget_expired(now)
        return actions + self._flush_due(now)

    def retry(self, now: float) -> list[Action]:
        """Try again to append outcomes that a refusal left behind."""
        return self._flush(now)

    def _drop(self, claim: claim_records.Claim) -> None:
        del self._sought[claim.claim_id]
        self._uncertain.discard(claim.claim_id)
        if claim in self._waiting:
            self._waiting.remove(claim)

    def _deny_unappended(self, claim: claim_records.Claim) -> Denied:
        if claim.claim_id in self._uncertain:
            self._uncertain.discard(claim.claim_id)
            return Denied(claim, Denial.UNSETTLED, None)
        return Denied(claim, Denial.LOG_DOWN, None)

    def _keep_useful(
        self, records: tuple[claim_records.Record, ...]
    ) -> list[claim_records.Record]:
        return [
            record
            for record in records
            if not isinstance(record, claim_records.Claim)
            or record.claim_id in self._sought
        ]

    def _enqueue(self, record: claim_records.Record, now: float) -> list[Action]:
        self._waiting.append(record)
        if self._flush_at is None:
            self._flush_at = now + self._batch_wait
        if self._batch_wait > 0 and len(self._waiting) < MAX_BATCH:
            return []
        return self._flush(now)

    def _flush_due(self, now: float) -> list[Action]:
        is_full = len(self._waiting) >= MAX_BATCH
        if is_full or (self._flush_at is not None and self._flush_at <= now):
            return self._flush(now)
        return []

    def _flush(self, now: float) -> list[Action]:
        if self._in_flight or not self._waiting:
            return []
        records = tuple(self._waiting[:MAX_BATCH])
        self._waiting = self._waiting[MAX_BATCH:]
        self._flush_at = now if self._waiting else None
        self._batch += 1
        self._in_flight[self._batch] = records
        return [Append(self._batch, claim_records.pack(records))]

    def _apply(
        self, records: tuple[claim_records.Record, ...], offset: int, now: float
    ) -> list[Action]:
        for record in records:
            self._ledger.apply(record, now)
            if not isinstance(record, claim_records.Claim):
                self._outcomes.pop(record.claim_id, None)
        self._next_offset = offset + 1
        return self._decide(records)

    def _decide(self, records: tuple[claim_records.Record, ...]) -> list[Action]:
        """Give the verdict on every sought claim among `records`."""
        actions: list[Action] = []
        for record in records:
            claim = self._sought.get(record.claim_id)
            if claim is None:
                continue
            entry = self._ledger.find(claim.key_digest)
            if entry is not None and entry.claim.claim_id == claim.claim_id:
                actions.append(Granted(claim))
            else:
                actions.append(self._deny_owned(claim, entry))
            self._drop(claim)
        return actions

    def _deny_owned(
        self, claim: claim_records.Claim, entry: claim_ledger.Entry | None
    ) -> Denied:
        reason = Denial.OWNED
        if entry is not None and entry.claim.fingerprint != claim.fingerprint:
            reason = Denial.KEY_REUSED
        return Denied(claim, reason, self._add_outcome(entry))

    def _add_outcome(
        self, entry: claim_ledger.Entry | None
    ) -> claim_ledger.Entry | None:
        """Return the entry with an outcome that is known, but not on the log yet."""
        known = self._outcomes.get(entry.claim.claim_id) if entry else None
        if entry is None or known is None or entry.phase is claim_ledger.Phase.DONE:
            return entry
        if isinstance(known, claim_records.Done):
            return dataclasses.replace(
                entry, phase=claim_ledger.Phase.DONE, status=known.status
            )
        return dataclasses.replace(entry, phase=claim_ledger.Phase.UNKNOWN)
