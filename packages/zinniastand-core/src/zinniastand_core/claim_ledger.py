"""Owners of keys, derived from the records of one slice in log order.

The rule is deterministic, so every VM that reads the same log finds the same owners.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq

from . import claim_records


class Phase(enum.StrEnum):
    """Progress of the work of a key."""

    CLAIMED = "claimed"
    """The holder of the claim may have sent the work."""

    DONE = "done"
    """The work ran, and its complete answer was received."""

    UNKNOWN = "unknown"
    """The work was sent, but no complete answer was received."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """State of one key according to the log."""

    claim: claim_records.Claim
    """The claim that owns the key."""

    phase: Phase
    """Progress of the work."""

    status: int = 0
    """HTTP status of the answer, where the phase is DONE."""


class ClaimLedger:
    """The claims of one slice.

    The first claim of a key owns it permanently, unless its holder releases it, which
    states that the work was never sent. Each later claim is void, and stays void even
    if the first is released, because its VM has already refused its caller's request.

    Parameters
    ----------
    horizon : float
        Seconds for which the records of a key are kept, counted from the time
        in the key.
    """

    def __init__(self, horizon: float) -> None:
        self._horizon = horizon
        self._entries: dict[bytes, Entry] = {}
        self._void_claims: dict[bytes, bytes] = {}
        self._expiry: list[tuple[float, bytes, bytes]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key_digest: bytes) -> Entry | None:
        """Return the state of a key, or None if no claim owns it."""
        return self._entries.get(key_digest)

    def is_void(self, claim_id: bytes) -> bool:
        """Return whether a claim lost to an earlier one or was released."""
        return claim_id in self._void_claims

    def apply(self, record: claim_records.Record, now: float) -> None:
        """Apply the next record of the log.

        Parameters
        ----------
        record : claim_records.Record
            The record. An outcome of a claim that owns no key is ignored.
        now : float
            Unix seconds.
        """
        match record:
            case claim_records.Claim():
                self._apply_claim(record)
            case claim_records.Done():
                self._settle(record, Phase.DONE, record.status)
            case claim_records.Unknown():
                self._settle(record, Phase.UNKNOWN, 0)
            case claim_records.Released():
                self._apply_release(record, now)

    def forget_expired(self, now: float) -> None:
        """Remove keys and void claims past the horizon.

        Nothing is lost: requests with keys that old are refused.
        """
        while self._expiry and self._expiry[0][0] <= now:
            _, key_digest, claim_id = heapq.heappop(self._expiry)
            entry = self._entries.get(key_digest)
            if entry is not None and entry.claim.claim_id == claim_id:
                del self._entries[key_digest]
            self._void_claims.pop(claim_id, None)

    def _apply_claim(self, claim: claim_records.Claim) -> None:
        # An append whose answer was lost is repeated, and the first copy may reach the
        # log after the claim's release. A void claim must stay void: otherwise a holder
        # that has given up would block the key.
        if claim.claim_id in self._void_claims:
            return
        owner = self._entries.get(claim.key_digest)
        if owner is not None and owner.claim.claim_id == claim.claim_id:
            return
        expires_at = claim.key_made_at + self._horizon
        heapq.heappush(self._expiry, (expires_at, claim.key_digest, claim.claim_id))
        if owner is not None:
            self._void_claims[claim.claim_id] = claim.key_digest
            return
        self._entries[claim.key_digest] = Entry(claim, Phase.CLAIMED)

    def _apply_release(self, record: claim_records.Released, now: float) -> None:
        entry = self._entries.get(record.key_digest)
        if entry is not None and entry.claim.claim_id == record.claim_id:
            if entry.phase is Phase.CLAIMED:
                del self._entries[record.key_digest]
            else:
                return
        if record.claim_id not in self._void_claims:
            expires_at = now + self._horizon
            heapq.heappush(
                self._expiry, (expires_at, record.key_digest, record.claim_id)
            )
        self._void_claims[record.claim_id] = record.key_digest

    def _settle(
        self,
        record: claim_records.Done | claim_records.Unknown,
        phase: Phase,
        status: int,
    ) -> None:
        entry = self._entries.get(record.key_digest)
        if entry is None or entry.claim.claim_id != record.claim_id:
            return
        if entry.phase is Phase.DONE:
            return
        self._entries[record.key_digest] = Entry(entry.claim, phase, status)
