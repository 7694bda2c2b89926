"""Which VMs are alive: the platform's list, corrected by the VMs' own news.

The list lags: it names VMs that are gone and misses new ones. News of a member carries
its incarnation, so a replaced VM is not mistaken for its predecessor, nor a paused one
that wakes up for its replacement. Only changes travel; a steady fleet of any size says
nothing but its neighbours' heartbeats.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import hashlib

from . import evidence_pool

UNSEEN_CALL_DURATION_S = 15.0
GONE_RETENTION_S = 600.0
DIGEST_BYTES = 8


class Status(enum.IntEnum):
    """State of a member; of two claims about one beat the higher one holds."""

    ALIVE = 0
    LEAVING = 1
    DOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet."""

    vm: str
    """Name."""

    data_centre: str
    """Where it runs."""

    url: str
    """Where peers reach it."""

    incarnation: int
    """Grows with every start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """News of a member."""

    member: Member
    """Who."""

    beat: int
    """Grows when the member contradicts a false report about itself."""

    status: Status
    """Its state."""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Order of news about one member; the highest holds."""
        return self.member.incarnation, self.beat, self.status.value


class Membership:
    """The fleet as one VM knows it.

    Parameters
    ----------
    own : Member
        This VM.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self._own_sighting = Sighting(own, 0, Status.ALIVE)
        self._sightings: dict[str, Sighting] = {}
        self._listed: dict[str, tuple[Member, float]] = {}
        self._remove_at: dict[str, float] = {}
        self._digest: bytes | None = None
        self._alive: list[Member] | None = None
        self._observer_counts: evidence_pool.ObserverCounts | None = None
        self.revision = 0

    @property
    def own_sighting(self) -> Sighting:
        """What this VM says of itself."""
        return self._own_sighting

    def leave(self) -> Sighting:
        """Say from now on that this VM is stopping."""
        self._own_sighting = dataclasses.replace(
            self._own_sighting, status=Status.LEAVING
        )
        self._invalidate_caches()
        return self._own_sighting

    def merge_list(self, members: collections.abc.Iterable[Member], now: float) -> None:
        """Take in the platform's list, which tells whom to call at first."""
        for member in members:
            if member.vm == self.own.vm:
                continue
            _, deadline = self._listed.get(
                member.vm, (member, now + UNSEEN_CALL_DURATION_S)
            )
            self._listed[member.vm] = (member, deadline)

    def apply_sighting(self, sighting: Sighting, now: float) -> Sighting | None:
        """Take in news; return what is to be told on, or None where it is no news."""
        if sighting.member.vm == self.own.vm:
            return self._contradict(sighting)
        known = self._sightings.get(sighting.member.vm)
        if known is not None and sighting.rank <= known.rank:
            return None
        self._sightings[sighting.member.vm] = sighting
        self._invalidate_caches()
        if sighting.status is Status.ALIVE:
            self._remove_at.pop(sighting.member.vm, None)
        else:
            self._remove_at[sighting.member.vm] = now + GONE_RETENTION_S
        return sighting

    def declare_down(self, vm: str, now: float) -> Sighting | None:
        """Say that a neighbour fell silent; return the news to be told on."""
        known = self._sightings.get(vm)
        if known is None or known.status is not Status.ALIVE:
            return None
        return self.apply_sighting(dataclasses.replace(known, status=Status.DOWN), now)

    def find(self, vm: str) -> Member | None:
        """Return what is known of a VM, alive or not."""
        sighting = self._sightings.get(vm)
        if sighting is not None:
            return sighting.member
        return self._listed[vm][0] if vm in self._listed else None

    def find_status(self, vm: str) -> Status | None:
        """Return the state of a VM, or None where nobody has seen it."""
        sighting = self._sightings.get(vm)
        return sighting.status if sighting else None

    def list_alive(self) -> list[Member]:
        """Return the other members that were seen and are thought to be up."""
        if self._alive is None:
            self._alive = self._find_alive()
        return self._alive

    def _find_alive(self) -> list[Member]:
        return [
            self._sightings[vm].member
            for vm in sorted(self._sightings)
            if self._sightings[vm].status is Status.ALIVE
        ]

    def list_callable(self, now: float) -> list[Member]:
        """Return the members worth calling: alive, or listed and not seen yet."""
        found = {member.vm: member for member in self.list_alive()}
        for vm, (member, deadline) in self._listed.items():
            if vm not in self._sightings and now < deadline:
                found[vm] = member
        return [found[vm] for vm in sorted(found)]

    def list_sightings(self) -> list[Sighting]:
        """Return the news of every member, this one included."""
        return [self._own_sighting, *self._sightings.values()]

    def digest(self) -> bytes:
        """Return a digest of all news, equal where two VMs know the same."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _invalidate_caches(self) -> None:
        self._digest = None
        self._alive = None
        self._observer_counts = None
        self.revision += 1

    def _compute_digest(self) -> bytes:
        total = 0
        for sighting in self.list_sightings():
            content = f"{sighting.member.vm}\0{sighting.rank}".encode()
            hashed = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
            total ^= int.from_bytes(hashed, "big")
        return total.to_bytes(DIGEST_BYTES, "big")

    def count_observers(self) -> evidence_pool.ObserverCounts:
        """Return how many VMs and data centres can give evidence, with this one."""
        if self._observer_counts is None:
            alive = self.list_alive()
            places = {member.data_centre for member in alive} | {self.own.data_centre}
            self._observer_counts = evidence_pool.ObserverCounts(
                len(alive) + 1, len(places)
            )
        return self._observer_counts

    def remove_departed(self, now: float) -> None:
        """Drop members that have been gone for long.

        They are remembered for a while, or late news of their being alive would bring
        them back.
        """
        for vm, deadline in list(self._remove_at.items()):
            if deadline <= now:
                del self._remove_at[vm]
                self._sightings.pop(vm, None)
                self._listed.pop(vm, None)
                self._invalidate_caches()

    def _contradict(self, sighting: Sighting) -> Sighting | None:
        own = self._own_sighting
        if sighting.rank <= own.rank:
            return None
        if sighting.member.incarnation > own.member.incarnation:
            # This VM was paused and has been replaced under its name.
            return None
        self._own_sighting = dataclasses.replace(own, beat=sighting.beat + 1)
        self._invalidate_caches()
        return self._own_sighting
