"""Targets that register themselves, and which of them may get requests."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from . import positions

LEASE_LAPSE_SHARE = 0.34
"""Share of a service's targets above which removals at the same moment count as a lapse
of leases in the store and not as targets that leave. A release or a scale-in removes
only a few at a time."""

LEASE_LAPSE_GRACE_S = 1.2
"""Seconds for which targets that were removed together stay in use. A target that has
left may get no requests after two seconds, and the removal needs time to reach all
VMs."""

REWRITE_GRACE_S = 1.8
"""Seconds for which targets that are missing from a store restored from an older copy
stay in use. Running targets register again with their next heartbeat, and a target that
has left may get no requests after two seconds."""

MAX_REMOVED_ENTRIES = 4096
"""Upper limit of removed targets whose last entry is kept. It is needed because a store
restored from a copy may list them again."""


class Phase(enum.StrEnum):
    """State that a target reports of itself."""

    READY = "ready"
    """Accepts new requests."""

    DRAINING = "draining"
    """Finishes the requests that it has and accepts no new ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Registration of a target, as the target wrote it."""

    target_id: str
    """Unique name of the target's current run."""

    service: str
    """Service that it belongs to."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    data_centre: str
    """Data centre in which it runs."""

    slots: int
    """Requests that it can work on at the same time."""

    phase: Phase
    """Whether it accepts new requests."""

    born: int
    """Start time of this incarnation, in Unix milliseconds of the target's own clock;
    0 if it is not stated."""

    cold_until: float
    """Time until which it is slow after its start, in seconds of the reader's clock."""

    position: int
    """Position of the entry among all entries ever written; see `positions`."""

    sequence: int = 0
    """Sequence number of the entry among those that this incarnation has written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Removal of a target's entry from the store."""

    target_id: str
    """Name of the target."""

    position: int
    """Position of the removal among all entries ever written; see `positions`."""


Change = Entry | Removal


MAX_TARGETS = 100_000
"""Limit on the targets of all services. Anyone who can write to the topic could
otherwise fill the memory of all VMs."""

MAX_POSITIONS = 200_000
"""Limit on the targets whose last position is kept, including those that have left."""


class Registry:
    """Known targets, including removed ones that stay in use for a grace time.

    Changes come from the store and from peers, which read it at different times. A
    change applies only if its position is higher than that of the latest change for the
    same target, so that a stale page or a slow peer cannot restore a target that has
    left.

    Attributes
    ----------
    refused_entries : int
        Number of entries that were refused beyond `MAX_TARGETS`.
    """

    def __init__(self) -> None:
        self.refused_entries = 0
        self._entries: dict[str, Entry] = {}
        self._positions: dict[str, int] = {}
        self._grace_ends: dict[str, float] = {}
        self._removed: dict[str, Entry] = {}
        self._listing_end = 0

    def __len__(self) -> int:
        return len(self._entries)

    def list_entries(self) -> list[Entry]:
        """Return all entries, including those of draining targets."""
        return list(self._entries.values())

    def list_registered(self) -> list[Entry]:
        """Return all entries except those that are kept only for a grace time.

        The targets of the latter have vanished, and stay in use briefly in case they
        register again. Another VM that received such an entry would not receive its
        removal and would keep it.
        """
        return [
            each
            for each in self._entries.values()
            if each.target_id not in self._grace_ends
        ]

    def find(self, target_id: str) -> Entry | None:
        """Return the entry of a target in any phase, or None if it is unknown."""
        return self._entries.get(target_id)

    def find_usable(self, target_id: str) -> Entry | None:
        """Return the entry of a target if it may get new requests, else None."""
        entry = self._entries.get(target_id)
        return entry if entry and entry.phase is Phase.READY else None

    def list_usable(self, service: str, now: float) -> list[Entry]:
        """Return the entries of a service's targets that may get new requests."""
        self.drop_vanished(now)
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and entry.phase is Phase.READY
        ]

    def apply(
        self, changes: collections.abc.Iterable[Change], now: float
    ) -> list[Change]:
        """Apply changes; return those that change more than a heartbeat does."""
        removals: list[Removal] = []
        effective: list[Change] = []
        for change in changes:
            if change.position <= self._positions.get(change.target_id, -1):
                continue
            if change.position < self._listing_end:
                continue  # The last listing included it.
            self._positions[change.target_id] = change.position
            if len(self._positions) > MAX_POSITIONS:
                self._forget_positions()
            if isinstance(change, Removal):
                removals.append(change)
            elif self._store_entry(change):
                effective.append(change)
        return effective + self._remove(removals, now)

    def replace(
        self, entries: collections.abc.Iterable[Entry], position: int, now: float
    ) -> list[Change]:
        """Apply a full listing, read at `position`; missing targets are removed.

        Returns
        -------
        list of Change
            Changes that change more than a heartbeat does.
        """
        listed = list(entries)
        listed_ids = {entry.target_id for entry in listed}
        missing = [
            Removal(name, position) for name in self._entries if name not in listed_ids
        ]
        if positions.find_era(position) > positions.find_era(self._listing_end):
            # Running targets write again the entries that the store has lost.
            for removal in missing:
                self._grace_ends.setdefault(removal.target_id, now + REWRITE_GRACE_S)
            missing = []
        # Entries of the listing apply although their positions are below its end.
        self._listing_end = 0
        effective = self.apply([*listed, *missing], now)
        self._listing_end = position
        return effective

    def remove_misplaced(self, target_id: str) -> None:
        """Remove a target at whose address another target answered."""
        self._entries.pop(target_id, None)

    def _store_entry(self, entry: Entry) -> bool:
        if self._is_outdated(entry):
            return False
        stored = self._entries.get(entry.target_id)
        # A delayed heartbeat may arrive after its target has restarted.
        if stored is not None and entry.born < stored.born:
            return False
        if stored is None and len(self._entries) >= MAX_TARGETS:
            self.refused_entries += 1
            return False
        self._grace_ends.pop(entry.target_id, None)
        self._removed.pop(entry.target_id, None)
        self._entries[entry.target_id] = entry
        return stored is None or _changes_state(stored, entry)

    def _forget_positions(self) -> None:
        """Forget the positions of targets that left long ago."""
        self._positions = {
            name: position
            for name, position in self._positions.items()
            if name in self._entries or name in self._removed
        }

    def _is_outdated(self, entry: Entry) -> bool:
        """Return whether an entry of a later era is older than the last one applied.

        A store that is restored from a copy lists what its targets wrote before the
        copy was made. A target that has left since would become ready again. Within an
        era, the position of entries decides.
        """
        current = self._entries.get(entry.target_id)
        latest = current or self._removed.get(entry.target_id)
        if latest is None or entry.born != latest.born:
            return False
        if positions.find_era(entry.position) <= positions.find_era(latest.position):
            return False
        # A target in use may write the same entry again; a removed target has left.
        is_repeat = current is not None and entry.sequence == latest.sequence
        return entry.sequence <= latest.sequence and not is_repeat

    def _remove(self, removals: list[Removal], now: float) -> list[Change]:
        """Remove targets, after a grace time if many vanish at the same moment.

        While the store is unavailable, the leases of running targets expire, and all
        targets of a service may vanish at once although they still serve. Refusing all
        requests until they have registered again would cost seconds of service. The
        grace time ends before a target that has really left may get no more requests.
        """
        removed: list[Change] = []
        applicable = [
            vanishing for vanishing in removals if vanishing.target_id in self._entries
        ]
        for vanishing in applicable:
            entry = self._entries[vanishing.target_id]
            self._keep_removed(entry)
            removed.append(vanishing)
            if entry.phase is Phase.READY and self._is_lease_lapse(
                entry.service, applicable
            ):
                self._grace_ends.setdefault(
                    vanishing.target_id, now + LEASE_LAPSE_GRACE_S
                )
            else:
                del self._entries[vanishing.target_id]
        return removed

    def _keep_removed(self, entry: Entry) -> None:
        """Keep the last entry of a removed target, up to `MAX_REMOVED_ENTRIES`."""
        self._removed[entry.target_id] = entry
        if len(self._removed) > MAX_REMOVED_ENTRIES:
            del self._removed[next(iter(self._removed))]

    def _is_lease_lapse(self, service: str, removals: list[Removal]) -> bool:
        total = sum(1 for each in self._entries.values() if each.service == service)
        vanished = {
            vanishing.target_id for vanishing in removals
        } | self._grace_ends.keys()
        lost_count = sum(
            1
            for name in vanished
            if name in self._entries and self._entries[name].service == service
        )
        return lost_count > 1 and lost_count > LEASE_LAPSE_SHARE * total

    def drop_vanished(self, now: float) -> bool:
        """Drop vanished targets whose grace time is over; return whether any were."""
        expired = [name for name, end in self._grace_ends.items() if end <= now]
        for name in expired:
            del self._grace_ends[name]
            self._entries.pop(name, None)
        return bool(expired)


def _changes_state(stored: Entry, entry: Entry) -> bool:
    """Return whether an entry changes more than a heartbeat does."""
    refreshed = dataclasses.replace(
        stored,
        cold_until=entry.cold_until,
        position=entry.position,
        sequence=entry.sequence,
    )
    return refreshed != entry
