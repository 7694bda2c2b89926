"""Broadcasts updates to all VMs, through relays in the other data centres.

Updates sent to every VM directly would make up most of the traffic between data
centres.
"""

from __future__ import annotations

import dataclasses

from . import datagrams, members, peer_link, ports

RELAY_COUNT = 2
"""Number of VMs in each other data centre that are used as relays. Regular updates go
through one of them in turn: if one of the two is dead, every second update arrives."""

RELAY_TASK = "relay news"
"""Name of the task by which VMs are ranked as relays."""

BroadcastMessage = datagrams.TargetUpdate | datagrams.ConfigurationUpdate
"""Messages that are broadcast."""


class Broadcaster:
    """Sends messages to the VMs of the own data centre and to relays in the others.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    """

    def __init__(self, fleet: members.Members, link: peer_link.PeerLink) -> None:
        self._fleet = fleet
        self._link = link
        self._broadcast_count = 0

    def broadcast(
        self, message: BroadcastMessage, now: float, relays: int = RELAY_COUNT
    ) -> None:
        """Send a message to the own data centre and to `relays` VMs of each other one.

        The relays are taken in turn.
        """
        self._link.send_many(message, self._fleet.list_in(self._own_data_centre))
        self.send_to_relays(message, now, relays)

    def send_to_relays(
        self, message: BroadcastMessage, now: float, relays: int = RELAY_COUNT
    ) -> None:
        """Send a message to `relays` VMs of each other data centre, taken in turn."""
        self._broadcast_count += 1
        relayed = dataclasses.replace(message, is_for_relay=True)
        self._link.send_many(relayed, self._choose_relays(now, relays))

    def relay(self, message: BroadcastMessage) -> None:
        """Forward a message to the own data centre if it was sent for relaying."""
        if message.is_for_relay:
            forwarded = dataclasses.replace(message, is_for_relay=False)
            self._link.send_many(forwarded, self._fleet.list_in(self._own_data_centre))

    def _choose_relays(self, now: float, count: int) -> list[ports.Member]:
        relays: list[ports.Member] = []
        for other_data_centre in self._fleet.data_centres - {self._own_data_centre}:
            ranked = self._fleet.rank(RELAY_TASK, now, RELAY_COUNT, other_data_centre)
            for number in range(min(count, len(ranked))):
                vm = ranked[(self._broadcast_count + number) % len(ranked)]
                member = self._fleet.find(vm)
                # If all VMs there are leaving or silent, VMs of other data centres
                # are ranked instead.
                if member is not None and member.data_centre == other_data_centre:
                    relays.append(member)
        return relays

    @property
    def _own_data_centre(self) -> str:
        return self._fleet.own.data_centre
