"""Who owns which key: one pure rule over the records of a slice, in log order."""

from __future__ import annotations

import dataclasses
import enum
import heapq

from . import claim_records


class Phase(enum.StrEnum):
    """How far the work of a key has come."""

    CLAIMED = "claimed"
    """Its holder may have sent it."""

    DONE = "done"
    """It ran, and its answer came back."""

    UNKNOWN = "unknown"
    """It was sent, and no whole answer came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What the log says of one key."""

    claim: claim_records.Claim
    """The claim that owns the key."""

    phase: Phase
    """How far its work has come."""

    status: int = 0
    """HTTP status of the answer, where the phase is DONE."""


class ClaimLedger:
    """The claims of one slice.

    The first claim of a key owns it for good, unless a release says that its work was
    never sent. A claim that came second is dead: a later release does not revive it,
    because whoever appended it has told its caller so.

    Parameters
    ----------
    horizon : float
        Seconds after a key was made for which its records are remembered.
    """

    def __init__(self, horizon: float) -> None:
        self._horizon = horizon
        self._entries: dict[bytes, Entry] = {}
        self._dead: dict[bytes, bytes] = {}
        self._expiry: list[tuple[float, bytes, bytes]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key_digest: bytes) -> Entry | None:
        """Return what is known of a key."""
        return self._entries.get(key_digest)

    def is_void(self, claim_id: bytes) -> bool:
        """Return whether a claim came second or was released."""
        return claim_id in self._dead

    def apply(self, record: claim_records.Record, now: float) -> None:
        """Take in the next record of the log."""
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
        """Drop keys that are past the horizon; such keys are refused anyway."""
        while self._expiry and self._expiry[0][0] <= now:
            _, key_digest, claim_id = heapq.heappop(self._expiry)
            entry = self._entries.get(key_digest)
            if entry is not None and entry.claim.claim_id == claim_id:
                del self._entries[key_digest]
            self._dead.pop(claim_id, None)

    def _apply_claim(self, claim: claim_records.Claim) -> None:
        # An append whose answer was lost is appended again, and its first copy may
        # land after the release. A claim once dead stays dead, or the key would be
        # blocked by a holder that has long given up.
        if claim.claim_id in self._dead:
            return
        owner = self._entries.get(claim.key_digest)
        if owner is not None and owner.claim.claim_id == claim.claim_id:
            return
        expires_at = claim.key_made_at + self._horizon
        heapq.heappush(self._expiry, (expires_at, claim.key_digest, claim.claim_id))
        if owner is not None:
            self._dead[claim.claim_id] = claim.key_digest
            return
        self._entries[claim.key_digest] = Entry(claim, Phase.CLAIMED)

    def _apply_release(self, record: claim_records.Released, now: float) -> None:
        entry = self._entries.get(record.key_digest)
        if entry is not None and entry.claim.claim_id == record.claim_id:
            if entry.phase is Phase.CLAIMED:
                del self._entries[record.key_digest]
            else:
                return
        if record.claim_id not in self._dead:
            expires_at = now + self._horizon
            heapq.heappush(
                self._expiry, (expires_at, record.key_digest, record.claim_id)
            )
        self._dead[record.claim_id] = record.key_digest

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
