"""Enters this VM into the fleet, once, at its start."""

from __future__ import annotations

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
    """

    def __init__(
        self,
        directory: ports.MemberDirectory,
        fleet: members.Members,
        link: peer_link.PeerLink,
        turn: reading_turn.ReadingTurn,
        start: start_turn.StartTurn,
        contact: store_contact.StoreContact,
    ) -> None:
        self._directory = directory
        self._fleet = fleet
        self._link = link
        self._turn = turn
        self._start = start
        self._contact = contact

    async def run(self) -> None:
        """Enter the fleet, as soon as the store answers."""
        is_announced = False
        while True:
            try:
                if not is_announced:
                    await self._directory.announce(self._fleet.own)
                    is_announced = True
                found = await self._directory.read_members()
            except ports.StoreUnavailableError as error:
                await self._contact.pause_lost(error)
                continue
            self._contact.note_back()
            self._greet(found)
            return

    def _greet(self, found: tuple[ports.Member, ...]) -> None:
        for member in found:
            self._fleet.add(member)
        hello = datagrams.Hello(self._fleet.own, wants_answer=True)
        others = self._fleet.list_others()
        self._link.send_many(hello, others)
        now = anyio.current_time()
        self._turn.join(now, is_alone=not others)
        self._start.join(now, is_alone=not others)
