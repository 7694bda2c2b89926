"""Spreads what one VM has read to all others, with one hop between data centres.

Told to every VM directly, news would make up most of what goes between data centres.
"""

from __future__ import annotations

import dataclasses

from . import datagrams, members, peer_link, ports

RELAY_COUNT = 2
"""VMs of another data centre that pass on there what is told. Where one of the two is
dead, regular news through one of them in turn still come every second time."""

RELAY_TASK = "relay news"
"""Name of the task of passing on."""

BroadcastMessage = datagrams.TargetUpdate | datagrams.ConfigurationUpdate
"""Messages that are spread."""


class Broadcaster:
    """Tells the own data centre, and relays of the others.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    """

    def __init__(self, fleet: members.Members, link: peer_link.PeerLink) -> None:
        self._fleet = fleet
        self._link = link
        self._turns = 0

    def broadcast(
        self, message: BroadcastMessage, now: float, relays: int = RELAY_COUNT
    ) -> None:
        """Tell the own data centre and some relays of each other, in turn."""
        self._turns += 1
        self._link.send_many(message, self._fleet.list_in(self._own_data_centre))
        relayed = dataclasses.replace(message, is_for_relay=True)
        self._link.send_many(relayed, self._choose_relays(now, relays))

    def relay(self, message: BroadcastMessage) -> None:
        """Tell what came from another data centre in this one, if it is relayed."""
        if message.is_for_relay:
            passed = dataclasses.replace(message, is_for_relay=False)
            self._link.send_many(passed, self._fleet.list_in(self._own_data_centre))

    def _choose_relays(self, now: float, count: int) -> list[ports.Member]:
        relays: list[ports.Member] = []
        for place in self._fleet.data_centres - {self._own_data_centre}:
            ranked = self._fleet.rank(RELAY_TASK, now, RELAY_COUNT, place)
            for number in range(min(count, len(ranked))):
                vm = ranked[(self._turns + number) % len(ranked)]
                member = self._fleet.find(vm)
                # Where all that are known there leave or are silent, others rank.
                if member is not None and member.data_centre == place:
                    relays.append(member)
        return relays

    @property
    def _own_data_centre(self) -> str:
        return self._fleet.own.data_centre
