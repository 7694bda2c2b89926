"""Acquisition of claims in one slice, with group commit on the log.

At most one append is in flight. Records that arrive meanwhile are queued and appended
together, so the number of appends does not grow with the number of claims.
"""

from __future__ import annotations

import dataclasses
import enum

from . import claim_ledger, claim_records

MAX_BATCH = 512
"""Maximum number of records in one append."""

MAX_WAITING = 8192
"""Number of queued records from which on new claims are denied."""


class Denial(enum.StrEnum):
    """Why a claim was not granted."""

    OWNED = "owned"
    """Another claim owns the key."""

    KEY_REUSED = "key-reused"
    """Another claim owns the key, for a different request."""

    LOG_DOWN = "log-down"
    """The claim was not appended, because the log refuses appends."""

    UNSETTLED = "unsettled"
    """The claim may be on the log, but the log now refuses appends.

    The holder must release the claim.
    """

    LAPSED = "lapsed"
    """The claim was not decided by its start deadline."""

    OVERLOADED = "overloaded"
    """Too many records wait to be appended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Action: append an entry to the slice's stream."""

    batch: int
    """Number of the batch, to be passed back with the result."""

    data: bytes
    """Content of the entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Action: read the slice's stream."""

    offset: int
    """First offset to read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Action: tell the holder that it may send until the claim's start deadline."""

    claim: claim_records.Claim
    """The claim that owns its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Action: tell the holder that it must not send."""

    claim: claim_records.Claim
    """The claim that was denied."""

    reason: Denial
    """Why the claim was denied."""

    entry: claim_ledger.Entry | None
    """State of the key, where another claim owns it, else None."""


Action = Append | Read | Granted | Denied


class Claimer:
    """Acquires claims in one slice for one VM.

    Parameters
    ----------
    ledger : claim_ledger.ClaimLedger
        Ledger of the slice; only this object applies records to it.
    next_offset : int
        First offset to read from the stream.
    batch_wait : float
        Seconds for which a record may wait for others to share its append. With
        zero, it is appended at once unless an append is in flight.
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
        self._queue: list[claim_records.Record] = []
        self._flush_at: float | None = None
        self._in_flight: dict[int, tuple[claim_records.Record, ...]] = {}
        self._batch = 0
        self._undecided: dict[bytes, claim_records.Claim] = {}
        self._possibly_appended: set[bytes] = set()
        self._unlogged_outcomes: dict[
            bytes, claim_records.Done | claim_records.Unknown
        ] = {}

    @property
    def next_offset(self) -> int:
        """First offset not applied yet."""
        return self._next_offset

    @property
    def is_settled(self) -> bool:
        """Whether no record is queued or in flight."""
        return not self._queue and not self._in_flight

    def find_deadline(self) -> float | None:
        """Return when `process_due` is due next in Unix seconds, or None if never."""
        deadlines = [claim.start_deadline for claim in self._undecided.values()]
        if self._flush_at is not None and not self._in_flight:
            deadlines.append(self._flush_at)
        return min(deadlines, default=None)

    def skip_to(self, offset: int) -> None:
        """Continue at `offset`; older entries concern no key within the window."""
        self._next_offset = max(self._next_offset, offset)

    @property
    def is_seeking(self) -> bool:
        """Whether any claim is undecided."""
        return bool(self._undecided)

    def seek(self, claim: claim_records.Claim, now: float) -> list[Action]:
        """Start to acquire a claim.

        Parameters
        ----------
        claim : claim_records.Claim
            The claim.
        now : float
            Unix seconds.

        Returns
        -------
        list[Action]
            The decision, if it is known already, or an append that is due. Otherwise a
            later call returns the decision.
        """
        entry = self._ledger.find(claim.key_digest)
        if claim.start_deadline <= now:
            return [Denied(claim, Denial.LAPSED, entry)]
        if entry is not None and entry.claim.claim_id == claim.claim_id:
            return [Granted(claim)]
        if entry is not None or self._ledger.is_void(claim.claim_id):
            return [self._deny_owned(claim, entry)]
        if len(self._queue) >= MAX_WAITING:
            return [Denied(claim, Denial.OVERLOADED, None)]
        self._undecided[claim.claim_id] = claim
        return self._enqueue(claim, now)

    def settle(self, record: claim_records.Record, now: float) -> list[Action]:
        """Queue an outcome or a release for the next append."""
        if isinstance(record, claim_records.Done | claim_records.Unknown):
            self._unlogged_outcomes[record.claim_id] = record
        return self._enqueue(record, now)

    def handle_appended(self, batch: int, offset: int, now: float) -> list[Action]:
        """Handle an append that took effect at `offset`."""
        records = self._in_flight.pop(batch, ())
        if offset == self._next_offset:
            # No other VM appended in between, so no read is needed.
            actions = self._apply(records, offset, now)
        else:
            actions = [Read(self._next_offset)]
        return actions + self._flush_due(now)

    def handle_uncertain(self, batch: int, now: float) -> list[Action]:
        """Handle an append that may or may not have taken effect.

        Its records are queued again. A copy is harmless, because claims are identified
        by their ids, and the read that follows shows which claim came first.
        """
        records = self._in_flight.pop(batch, ())
        self._possibly_appended.update(
            record.claim_id for record in records if record.claim_id in self._undecided
        )
        self._queue = self._drop_decided(records) + self._queue
        self._flush_at = now + self._batch_wait if self._queue else None
        return [Read(self._next_offset)]

    def handle_refused(self, batch: int, now: float) -> list[Action]:
        """Handle an append that certainly took no effect.

        Its claims and all queued ones are denied at once, so their callers get an early
        "not run". Outcomes stay queued until the log accepts appends again.
        """
        records = self._in_flight.pop(batch, ())
        actions: list[Action] = []
        still_queued: list[claim_records.Record] = []
        for record in (*records, *self._queue):
            if not isinstance(record, claim_records.Claim):
                still_queued.append(record)
            elif self._undecided.pop(record.claim_id, None) is not None:
                actions.append(self._deny_unappended(record))
        self._queue = still_queued
        self._flush_at = None
        return actions

    def apply_entry(self, offset: int, data: bytes, now: float) -> list[Action]:
        """Apply the entry at `offset` read from the log; ignore one applied before."""
        if offset < self._next_offset:
            return []
        records = claim_records.unpack(data)
        # Every VM skips a malformed entry, so their ledgers stay equal.
        return self._apply(records.ok if records.is_ok() else (), offset, now)

    def process_due(self, now: float) -> list[Action]:
        """Deny claims past their start deadline, and append the queue if it is due.

        A denied claim is not released here. Only its holder knows whether it sent the
        work by another path, so only the holder may release the claim.
        """
        actions: list[Action] = []
        for claim in list(self._undecided.values()):
            if claim.start_deadline <= now:
                self._remove_undecided(claim)
                actions.append(Denied(claim, Denial.LAPSED, None))
        self._ledger.forget_expired(now)
        return actions + self._flush_due(now)

    def retry(self, now: float) -> list[Action]:
        """Append the records that stayed queued after a refused append."""
        return self._flush(now)

    def _remove_undecided(self, claim: claim_records.Claim) -> None:
        del self._undecided[claim.claim_id]
        self._possibly_appended.discard(claim.claim_id)
        if claim in self._queue:
            self._queue.remove(claim)

    def _deny_unappended(self, claim: claim_records.Claim) -> Denied:
        if claim.claim_id in self._possibly_appended:
            self._possibly_appended.discard(claim.claim_id)
            return Denied(claim, Denial.UNSETTLED, None)
        return Denied(claim, Denial.LOG_DOWN, None)

    def _drop_decided(
        self, records: tuple[claim_records.Record, ...]
    ) -> list[claim_records.Record]:
        return [
            record
            for record in records
            if not isinstance(record, claim_records.Claim)
            or record.claim_id in self._undecided
        ]

    def _enqueue(self, record: claim_records.Record, now: float) -> list[Action]:
        self._queue.append(record)
        if self._flush_at is None:
            self._flush_at = now + self._batch_wait
        if self._batch_wait > 0 and len(self._queue) < MAX_BATCH:
            return []
        return self._flush(now)

    def _flush_due(self, now: float) -> list[Action]:
        is_full = len(self._queue) >= MAX_BATCH
        if is_full or (self._flush_at is not None and self._flush_at <= now):
            return self._flush(now)
        return []

    def _flush(self, now: float) -> list[Action]:
        if self._in_flight or not self._queue:
            return []
        records = tuple(self._queue[:MAX_BATCH])
        self._queue = self._queue[MAX_BATCH:]
        self._flush_at = now if self._queue else None
        self._batch += 1
        self._in_flight[self._batch] = records
        return [Append(self._batch, claim_records.pack(records))]

    def _apply(
        self, records: tuple[claim_records.Record, ...], offset: int, now: float
    ) -> list[Action]:
        for record in records:
            self._ledger.apply(record, now)
            if not isinstance(record, claim_records.Claim):
                self._unlogged_outcomes.pop(record.claim_id, None)
        self._next_offset = offset + 1
        return self._decide(records)

    def _decide(self, records: tuple[claim_records.Record, ...]) -> list[Action]:
        """Decide every undecided claim among `records`."""
        actions: list[Action] = []
        for record in records:
            claim = self._undecided.get(record.claim_id)
            if claim is None:
                continue
            entry = self._ledger.find(claim.key_digest)
            if entry is not None and entry.claim.claim_id == claim.claim_id:
                actions.append(Granted(claim))
            else:
                actions.append(self._deny_owned(claim, entry))
            self._remove_undecided(claim)
        return actions

    def _deny_owned(
        self, claim: claim_records.Claim, entry: claim_ledger.Entry | None
    ) -> Denied:
        reason = Denial.OWNED
        if entry is not None and entry.claim.fingerprint != claim.fingerprint:
            reason = Denial.KEY_REUSED
        return Denied(claim, reason, self._merge_known_outcome(entry))

    def _merge_known_outcome(
        self, entry: claim_ledger.Entry | None
    ) -> claim_ledger.Entry | None:
        """Return `entry` with its outcome if that is known but not on the log yet."""
        outcome = self._unlogged_outcomes.get(entry.claim.claim_id) if entry else None
        if entry is None or outcome is None or entry.phase is claim_ledger.Phase.DONE:
            return entry
        if isinstance(outcome, claim_records.Done):
            return dataclasses.replace(
                entry, phase=claim_ledger.Phase.DONE, status=outcome.status
            )
        return dataclasses.replace(entry, phase=claim_ledger.Phase.UNKNOWN)
