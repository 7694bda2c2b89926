"""Tracks which VMs are alive, from the platform's list and sightings among VMs.

The list lags: it names VMs that are gone and misses new ones. A sighting carries the
member's incarnation, so a replaced VM is not mistaken for its predecessor, nor a paused
one that resumes for its replacement. Only changes are sent; a steady fleet of any size
sends only heartbeats between neighbours.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import hashlib

from . import evidence_pool

UNSEEN_CALL_DURATION_S = 15.0
"""Time for which this VM tries to connect to a listed VM that has not been seen."""

GONE_RETENTION_S = 600.0
"""Time for which the sighting of a member that is gone is kept."""

DIGEST_BYTES = 8


class Status(enum.IntEnum):
    """State of a member; of two sightings with equal beats the higher state wins."""

    ALIVE = 0
    LEAVING = 1
    DOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet."""

    vm: str
    """Name of the VM."""

    data_centre: str
    """Data centre in which the VM runs."""

    url: str
    """URL at which peers reach it."""

    incarnation: int
    """Number that increases with every start."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """Reported state of a member."""

    member: Member
    """Member that the sighting is about."""

    beat: int
    """Number that the member increases to contradict a false report about itself."""

    status: Status
    """State of the member."""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of sightings of one member; the highest wins."""
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
        """Sighting of this VM by itself."""
        return self._own_sighting

    def leave(self) -> Sighting:
        """Mark this VM as stopping and return its new sighting."""
        self._own_sighting = dataclasses.replace(
            self._own_sighting, status=Status.LEAVING
        )
        self._invalidate_caches()
        return self._own_sighting

    def merge_list(self, members: collections.abc.Iterable[Member], now: float) -> None:
        """Merge the platform's list, which names the VMs to connect to at first."""
        for member in members:
            if member.vm == self.own.vm:
                continue
            _, deadline = self._listed.get(
                member.vm, (member, now + UNSEEN_CALL_DURATION_S)
            )
            self._listed[member.vm] = (member, deadline)

    def apply_sighting(self, sighting: Sighting, now: float) -> Sighting | None:
        """Apply a sighting.

        Returns the sighting to relay: the given one, or this VM's contradiction of it.
        Returns None if it adds nothing.
        """
        if sighting.member.vm == self.own.vm:
            return self._contradict(sighting)
        previous = self._sightings.get(sighting.member.vm)
        if previous is not None and sighting.rank <= previous.rank:
            return None
        self._sightings[sighting.member.vm] = sighting
        self._invalidate_caches()
        if sighting.status is Status.ALIVE:
            self._remove_at.pop(sighting.member.vm, None)
        else:
            self._remove_at[sighting.member.vm] = now + GONE_RETENTION_S
        return sighting

    def declare_down(self, vm: str, now: float) -> Sighting | None:
        """Record that a neighbour stopped sending heartbeats.

        Returns the sighting to relay, or None if the VM was not known to be alive.
        """
        previous = self._sightings.get(vm)
        if previous is None or previous.status is not Status.ALIVE:
            return None
        return self.apply_sighting(
            dataclasses.replace(previous, status=Status.DOWN), now
        )

    def find(self, vm: str) -> Member | None:
        """Return a VM by name, alive or not, or None if it is unknown."""
        sighting = self._sightings.get(vm)
        if sighting is not None:
            return sighting.member
        return self._listed[vm][0] if vm in self._listed else None

    def find_status(self, vm: str) -> Status | None:
        """Return the state of a VM, or None if there is no sighting of it."""
        sighting = self._sightings.get(vm)
        return sighting.status if sighting else None

    def list_alive(self) -> list[Member]:
        """Return the other members whose latest sighting says that they are alive."""
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
        """Return the members to connect to, sorted by name.

        They are alive, or were listed less than `UNSEEN_CALL_DURATION_S` ago and not
        seen yet.
        """
        found = {member.vm: member for member in self.list_alive()}
        for vm, (member, deadline) in self._listed.items():
            if vm not in self._sightings and now < deadline:
                found[vm] = member
        return [found[vm] for vm in sorted(found)]

    def list_sightings(self) -> list[Sighting]:
        """Return the sightings of all members, this one included."""
        return [self._own_sighting, *self._sightings.values()]

    def digest(self) -> bytes:
        """Return a digest of all sightings, equal on VMs with equal knowledge."""
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
        """Return how many VMs and data centres can give evidence, this VM included."""
        if self._observer_counts is None:
            alive = self.list_alive()
            data_centres = {member.data_centre for member in alive} | {
                self.own.data_centre
            }
            self._observer_counts = evidence_pool.ObserverCounts(
                len(alive) + 1, len(data_centres)
            )
        return self._observer_counts

    def remove_departed(self, now: float) -> None:
        """Drop members that have been gone for `GONE_RETENTION_S`.

        Until then they are kept, since a late sighting could otherwise bring them back.
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
            # This VM was paused, and a replacement has taken its name meanwhile.
            return None
        self._own_sighting = dataclasses.replace(own, beat=sighting.beat + 1)
        self._invalidate_caches()
        return self._own_sighting
