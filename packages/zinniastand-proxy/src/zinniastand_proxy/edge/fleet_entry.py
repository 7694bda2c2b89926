"""Enters this VM into the fleet, at its start and whenever its entry may be lost."""

from __future__ import annotations

import collections.abc
import random

import anyio

from . import (
    datagrams,
    members,
    peer_link,
    ports,
    reading_turn,
    start_turn,
    store_contact,
)

ERA_CHECK = 0.2
"""Seconds between two looks whether the store is in a later era."""

ENTRY_SPREAD = 1.5
"""Seconds over which VMs enter again: hundreds of them would reach the store's limit of
calls at once, and nobody needs their entries before a VM starts."""


class FleetEntry:
    """Announces this VM, reads who is there, and greets them.

    Parameters
    ----------
    directory : ports.MemberDirectory
        Where VMs find each other.
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    turn : reading_turn.ReadingTurn
        Learns when this VM has entered.
    start : start_turn.StartTurn
        Learns the same.
    contact : store_contact.StoreContact
        Paces calls while the store is lost.
    read_era : callable
        Returns the newest era of the store that this VM knows of.
    rng : random.Random
        Spreads entries.
    """

    def __init__(
        self,
        directory: ports.MemberDirectory,
        fleet: members.Members,
        link: peer_link.PeerLink,
        turn: reading_turn.ReadingTurn,
        start: start_turn.StartTurn,
        contact: store_contact.StoreContact,
        read_era: collections.abc.Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._fleet = fleet
        self._link = link
        self._turn = turn
        self._start = start
        self._contact = contact
        self._read_era = read_era
        self._rng = rng
        self._has_entered = False

    async def run(self) -> None:
        """Enter the fleet, and again whenever the store may have lost the entry."""
        while True:
            era = await self._enter()
            while self._read_era() <= era:
                await anyio.sleep(ERA_CHECK)
            # Not all VMs at the same moment.
            await anyio.sleep(self._rng.random() * ENTRY_SPREAD)

    async def _enter(self) -> int:
        """Enter the fleet, as soon as the store answers; return in which era."""
        is_announced = False
        era = 0
        while True:
            try:
                if not is_announced:
                    await self._directory.announce(self._fleet.own)
                    is_announced = True
                    era = self._directory.era
                found = await self._directory.read_members()
            except ports.StoreUnavailableError as error:
                await self._contact.pause_lost(error)
                continue
            self._contact.note_back()
            self._greet(found)
            return era

    def _greet(self, found: tuple[ports.Member, ...]) -> None:
        """Greet the VMs that are there, after the first time only new ones."""
        new = [member for member in found if self._fleet.add(member)]
        hello = datagrams.Hello(self._fleet.own, wants_answer=True)
        others = self._fleet.list_others()
        self._link.send_many(hello, new if self._has_entered else others)
        if self._has_entered:
            return
        self._has_entered = True
        now = anyio.current_time()
        self._turn.join(now, is_alone=not others)
        self._start.join(now, is_alone=not others)
