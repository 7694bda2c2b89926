"""Targets that register themselves, and which of them may get work."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from . import positions

LEASE_LAPSE_SHARE = 0.34
"""Share of a service's targets that must vanish together to look like a lapse of the
store's leases and not like targets that leave; a release or a scale-in takes a few at a
time."""

LEASE_LAPSE_GRACE_S = 1.2
"""Seconds for which targets that vanished together stay in use. Below the two seconds
after which a target that has left may get nothing, by the time that the news takes."""


REWRITE_GRACE_S = 1.8
"""Seconds for which targets stay in use that a store lacks which has returned from an
older copy: they write with every heartbeat, and a target that has left may get nothing
after two seconds."""

MAX_REMOVED_ENTRIES = 4096
"""Removed targets whose last entry is kept: a store that returns from a copy may show
it again."""


class Phase(enum.StrEnum):
    """What a target says of itself."""

    READY = "ready"
    """Takes work."""

    DRAINING = "draining"
    """Is leaving: serves what it has, and gets nothing new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A target as it registered itself."""

    target_id: str
    """Unique name of this start of the target."""

    service: str
    """Service that it belongs to."""

    host: str
    """IP number."""

    port: int
    """TCP port."""

    data_centre: str
    """Where it runs."""

    slots: int
    """Requests that it works on at the same time."""

    phase: Phase
    """Whether it takes work."""

    born: int
    """Start of this incarnation, unix milliseconds by the target's own clock; 0 where
    it is not stated."""

    cold_until: float
    """Until when it is slow after its start, in the reader's clock."""

    position: int
    """Place of the entry in the order of all entries ever written."""

    sequence: int = 0
    """Number of the entry among those of this start of the target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """A target whose entry was removed."""

    target_id: str
    """Its name."""

    position: int
    """Place of the removal in the order of all entries ever written."""


Change = Entry | Removal


class Registry:
    """All targets known, and what is known of their leaving.

    Changes come from the store and from peers, which read it at different times. Only
    what stands later in the order of entries counts, so that an old page or a slow
    peer cannot bring back a target that has left.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._positions: dict[str, int] = {}
        self._lapsing: dict[str, float] = {}
        self._removed: dict[str, Entry] = {}
        self._listed_to = 0

    def __len__(self) -> int:
        return len(self._entries)

    def list_entries(self) -> list[Entry]:
        """Return all entries, draining ones included."""
        return list(self._entries.values())

    def list_registered(self) -> list[Entry]:
        """Return all entries but those of targets that have vanished.

        Those are in use for a moment, in case they come back. Whoever learns of them
        from here would not hear that they are gone, and keep them.
        """
        return [
            one for one in self._entries.values() if one.target_id not in self._lapsing
        ]

    def find(self, target_id: str) -> Entry | None:
        """Return the entry of a target, leaving or not."""
        return self._entries.get(target_id)

    def find_usable(self, target_id: str) -> Entry | None:
        """Return the entry of a target, if it may get new work."""
        entry = self._entries.get(target_id)
        return entry if entry and entry.phase is Phase.READY else None

    def list_usable(self, service: str, now: float) -> list[Entry]:
        """Return the targets of a service that may get new work."""
        self.drop_vanished(now)
        return [
            entry
            for entry in self._entries.values()
            if entry.service == service and entry.phase is Phase.READY
        ]

    def apply(
        self, changes: collections.abc.Iterable[Change], now: float
    ) -> list[Change]:
        """Take in changes; return those that say more than "still there"."""
        gone: list[Removal] = []
        news: list[Change] = []
        for change in changes:
            if change.position <= self._positions.get(change.target_id, -1):
                continue
            if change.position < self._listed_to:
                continue  # The last listing knew of it.
            self._positions[change.target_id] = change.position
            if isinstance(change, Removal):
                gone.append(change)
            elif self._take_entry(change):
                news.append(change)
        return news + self._remove(gone, now)

    def replace(
        self, entries: collections.abc.Iterable[Entry], position: int, now: float
    ) -> list[Change]:
        """Take in a whole listing, read at `position`: what it lacks has gone."""
        listed = list(entries)
        names = {entry.target_id for entry in listed}
        missing = [
            Removal(name, position) for name in self._entries if name not in names
        ]
        if positions.find_era(position) > positions.find_era(self._listed_to):
            # They write again what the store has lost, if they are still there.
            for gone in missing:
                self._lapsing.setdefault(gone.target_id, now + REWRITE_GRACE_S)
            missing = []
        # Entries of the listing are older than its end.
        self._listed_to = 0
        news = self.apply([*listed, *missing], now)
        self._listed_to = position
        return news

    def remove_misplaced(self, target_id: str) -> None:
        """Drop a target at whose address another one answered."""
        self._entries.pop(target_id, None)

    def _take_entry(self, entry: Entry) -> bool:
        if self._is_outdated(entry):
            return False
        known = self._entries.get(entry.target_id)
        # A heartbeat that was held up may arrive after its sender started again.
        if known is not None and entry.born < known.born:
            return False
        self._lapsing.pop(entry.target_id, None)
        self._removed.pop(entry.target_id, None)
        self._entries[entry.target_id] = entry
        return known is None or _differs(known, entry)

    def _is_outdated(self, entry: Entry) -> bool:
        """Return whether an entry of a later era says what was known before it.

        A store that returns from a copy shows what its targets wrote before the copy
        was made: one that has left since would be ready again. Within an era the order
        of the entries decides.
        """
        current = self._entries.get(entry.target_id)
        known = current or self._removed.get(entry.target_id)
        if known is None or entry.born != known.born:
            return False
        if positions.find_era(entry.position) <= positions.find_era(known.position):
            return False
        # One that is in use may write the same again; one that was removed has left.
        is_again = current is not None and entry.sequence == known.sequence
        return entry.sequence <= known.sequence and not is_again

    def _remove(self, gone: list[Removal], now: float) -> list[Change]:
        """Remove targets, slowly where many vanish at the same moment.

        While the store is away the leases of live targets run out, and all of a
        service may vanish at once though they serve on. Refusing everything until
        they have registered again would cost seconds of service; a target that has
        really left is still dropped before it may get no more work.
        """
        removed: list[Change] = []
        known = [one for one in gone if one.target_id in self._entries]
        for one in known:
            entry = self._entries[one.target_id]
            self._note_removed(entry)
            removed.append(one)
            if entry.phase is Phase.READY and self._is_lapse(entry.service, known):
                self._lapsing.setdefault(one.target_id, now + LEASE_LAPSE_GRACE_S)
            else:
                del self._entries[one.target_id]
        return removed

    def _note_removed(self, entry: Entry) -> None:
        """Keep the last entry of a target for a while, the newest of them only."""
        self._removed[entry.target_id] = entry
        if len(self._removed) > MAX_REMOVED_ENTRIES:
            del self._removed[next(iter(self._removed))]

    def _is_lapse(self, service: str, gone: list[Removal]) -> bool:
        total = sum(1 for one in self._entries.values() if one.service == service)
        vanished = {one.target_id for one in gone} | self._lapsing.keys()
        lost = sum(
            1
            for name in vanished
            if name in self._entries and self._entries[name].service == service
        )
        return lost > 1 and lost > LEASE_LAPSE_SHARE * total

    def drop_vanished(self, now: float) -> bool:
        """Drop targets that vanished and did not come back; return whether any did."""
        due = [name for name, at in self._lapsing.items() if at <= now]
        for name in due:
            del self._lapsing[name]
            self._entries.pop(name, None)
        return bool(due)


def _differs(known: Entry, entry: Entry) -> bool:
    """Return whether an entry says more than that its target is still there."""
    same = dataclasses.replace(
        known,
        cold_until=entry.cold_until,
        position=entry.position,
        sequence=entry.sequence,
    )
    return same != entry
