"""Gets a VM that has just started what it lacks, from peers that know it."""

from __future__ import annotations

import collections.abc
import random

import anyio

from . import members

CHECK_PAUSE = 0.02
"""Seconds between two looks for a peer that knows all."""

SPREAD = 0.06
"""Seconds over which VMs that start together ask: the first that knows all would
otherwise be asked by all others in the same moment."""


class StartFetcher:
    """Asks peers until this VM knows enough to serve.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    is_complete : callable
        Returns whether nothing is lacking.
    fetch : callable
        Gets and takes in what a VM knows.
    rng : random.Random
        Draws peers.
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
        self._holders: set[str] = set()

    def note_holder(self, vm: str) -> None:
        """Take in that a VM knows all targets."""
        if not self._is_complete():
            self._holders.add(vm)

    async def run(self) -> None:
        """Ask one peer after the other until nothing is lacking."""
        while not self._is_complete():
            await anyio.sleep(CHECK_PAUSE)
            vm = self._draw_holder()
            if vm is None:
                continue
            await anyio.sleep(self._rng.random() * SPREAD)
            if not self._is_complete():
                await self._fetch(vm)
        self._holders.clear()

    def _draw_holder(self) -> str | None:
        """Return one that was not asked yet, of the own data centre if possible."""
        place = self._fleet.own.data_centre
        near = [
            vm
            for vm in self._holders
            if (member := self._fleet.find(vm)) and member.data_centre == place
        ]
        drawn = sorted(near or self._holders)
        if not drawn:
            return None
        vm = self._rng.choice(drawn)
        self._holders.discard(vm)
        return vm
