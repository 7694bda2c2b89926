"""Fetches what a newly started VM lacks from peers that have complete data."""

from __future__ import annotations

import collections.abc
import random

import anyio

from . import members

CHECK_INTERVAL_S = 0.02
"""Seconds between two checks for a peer that has complete data."""

MAX_JITTER_S = 0.06
"""Seconds over which the fetches of VMs that start together are spread: otherwise all
of them would ask the first complete VM at the same moment."""


class StartFetcher:
    """Fetches data from peers until this VM has enough to serve requests.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    is_complete : callable
        Returns whether this VM has all the data it needs.
    fetch : callable
        Fetches and applies the data of the VM that is named.
    rng : random.Random
        Chooses peers and draws the jitter.
    """

    def __init__(
        self,
        fleet: members.Members,
        is_complete: collections.abc.Callable[[], bool],
        fetch: collections.abc.Callable[[str], collections.abc.Awaitable[None]],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._is_complete = is_complete
        self._fetch = fetch
        self._rng = rng
        self._complete_peers: set[str] = set()

    def record_complete_peer(self, vm: str) -> None:
        """Record that a VM knows all targets; ignored once this VM is complete."""
        if not self._is_complete():
            self._complete_peers.add(vm)

    async def run(self) -> None:
        """Ask one peer after the other until this VM is complete."""
        while not self._is_complete():
            await anyio.sleep(CHECK_INTERVAL_S)
            vm = self._choose_peer()
            if vm is None:
                continue
            await anyio.sleep(self._rng.random() * MAX_JITTER_S)
            if not self._is_complete():
                await self._fetch(vm)
        self._complete_peers.clear()

    def _choose_peer(self) -> str | None:
        """Return a complete peer that has not been asked since it was last recorded.

        Peers in this VM's data centre are preferred. Returns None if there is no peer
        left to ask.
        """
        own_data_centre = self._fleet.own.data_centre
        near = [
            vm
            for vm in self._complete_peers
            if (member := self._fleet.find(vm))
            and member.data_centre == own_data_centre
        ]
        candidates = sorted(near or self._complete_peers)
        if not candidates:
            return None
        vm = self._rng.choice(candidates)
        self._complete_peers.discard(vm)
        return vm
