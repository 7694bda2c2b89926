"""Registers this VM in the fleet, at its start and whenever its entry may be lost."""

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

ERA_CHECK_INTERVAL_S = 0.2
"""Seconds between two checks whether the store is in a later era."""

ENTRY_SPREAD_S = 1.5
"""Seconds over which VMs spread their renewed registrations. Hundreds of simultaneous
calls would reach the rate limit of the store, and no VM needs the entries before
another one starts."""


class FleetEntry:
    """Announces this VM in the directory, reads the other VMs and greets them.

    Parameters
    ----------
    directory : ports.MemberDirectory
        The directory in the store through which VMs find each other.
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Sends datagrams to them.
    turn : reading_turn.ReadingTurn
        Notified when this VM has joined.
    start : start_turn.StartTurn
        Notified when this VM has joined.
    contact : store_contact.StoreContact
        Paces calls while the store is unavailable.
    read_era : callable
        Returns the latest era of the store that this VM knows of.
    rng : random.Random
        Randomises the time of renewed registrations.
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
        self._has_joined = False

    async def run(self) -> None:
        """Register this VM, and again whenever the store may have lost its entry."""
        while True:
            era = await self._announce_and_greet()
            while self._read_era() <= era:
                await anyio.sleep(ERA_CHECK_INTERVAL_S)
            # Spread the registrations, so that not all VMs call at the same moment.
            await anyio.sleep(self._rng.random() * ENTRY_SPREAD_S)

    async def _announce_and_greet(self) -> int:
        """Register this VM as soon as the store answers, and greet the others.

        Returns
        -------
        int
            Era of the store in which the entry was written.
        """
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
                await self._contact.wait_after_failure(error)
                continue
            self._contact.record_success()
            self._greet(found)
            return era

    def _greet(self, found: tuple[ports.Member, ...]) -> None:
        """Greet all other VMs the first time, and only new ones afterwards."""
        new = [member for member in found if self._fleet.add(member)]
        hello = datagrams.Hello(self._fleet.own, wants_answer=True)
        others = self._fleet.list_others()
        self._link.send_many(hello, new if self._has_joined else others)
        if self._has_joined:
            return
        self._has_joined = True
        now = anyio.current_time()
        self._turn.join(now, is_alone=not others)
        self._start.join(now, is_alone=not others)
