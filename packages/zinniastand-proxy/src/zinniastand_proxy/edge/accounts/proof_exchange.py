"""Keeps the configuration of this VM proven to be the newest.

Only the VM that reads the store learns that there is no later version. The others ask
for its proof, and count its age from when they asked. A proof that was delayed on its
way, or that waited while this VM was frozen, is therefore never taken for younger than
it is. Each data centre asks through its relays.
"""

from __future__ import annotations

import collections.abc
import itertools
import random

import anyio

from zinniastand_core.deployment import configuration

from .. import broadcasting, members, peer_link, ports, reading_turn
from . import account_messages

CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether the proof is due to be renewed."""

RENEW_AFTER_S = 1.2
"""Age in seconds from which a proof is renewed."""

REQUEST_INTERVAL_S = 0.25
"""Seconds between two requests for a proof."""

OVERDUE_AFTER_S = 2.0
"""Age in seconds from which VMs drawn at random are asked as well."""

READ_AFTER_S = 2.6
"""Age in seconds from which this VM reads the store itself."""

READ_INTERVAL_S = 1.2
"""Seconds between two such reads: the store may be unavailable to all VMs."""

READ_TIMEOUT_S = 0.8
"""Seconds after which such a read is given up."""

MAX_TOLD_AGE_S = 10.0
"""Age in seconds from which a proof is of no use to others."""

MAX_PENDING_REQUESTS = 16
"""Number of requests that may still be answered."""

RANDOM_SOURCES = 2
"""Number of VMs drawn at random that are asked when the proof is overdue."""


class ProofExchange:
    """Renews the proof of this VM, and tells it to others.

    Parameters
    ----------
    state : configuration.ConfigurationState
        The configuration in force and its proof.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    needs_proof : callable
        Returns whether this VM needs a proof.
    read_store : callable
        Reads the configuration from the store.
    record_version : callable
        Called with a VM and its version if that is later than the one here.
    rng : random.Random
        Draws VMs to ask.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        fleet: members.Members,
        link: peer_link.PeerLink,
        needs_proof: collections.abc.Callable[[], bool],
        read_store: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        record_version: collections.abc.Callable[[str, int], None],
        rng: random.Random,
    ) -> None:
        self._state = state
        self._fleet = fleet
        self._link = link
        self._needs_proof = needs_proof
        self._read_store = read_store
        self._record_version = record_version
        self._rng = rng
        self._numbers = itertools.count()
        self._requested_at: dict[int, float] = {}
        self._last_request_at = 0.0
        self._last_read_at = 0.0

    async def run(self) -> None:
        """Renew the proof whenever it is due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._needs_proof():
                continue
            now = anyio.current_time()
            age = now - self._state.proven_at
            if (
                age > RENEW_AFTER_S
                and now - self._last_request_at >= REQUEST_INTERVAL_S
            ):
                self._request_proof(now, is_overdue=age > OVERDUE_AFTER_S)
            if age > READ_AFTER_S and now - self._last_read_at >= READ_INTERVAL_S:
                await self._read(now)

    def answer(self, request: account_messages.ProofRequested) -> None:
        """Tell a VM that asks how old the proof of this VM is."""
        member = self._fleet.find(request.vm)
        age = anyio.current_time() - self._state.proven_at
        if member is not None and age < MAX_TOLD_AGE_S:
            proof = account_messages.Proof(
                self._fleet.own.vm, request.number, self._state.version, age
            )
            self._link.send(proof, member)

    def apply(self, proof: account_messages.Proof) -> None:
        """Record the proof of another VM, if this VM asked for it."""
        requested_at = self._requested_at.get(proof.number)
        if requested_at is None:
            return
        if not self._state.prove(proof.version, requested_at - proof.age):
            self._record_version(proof.vm, proof.version)

    def forget_requests(self) -> None:
        """Ignore replies to earlier requests, after a suspension of this VM.

        The monotonic clock did not count the suspension, so that the replies would look
        younger than they are.
        """
        self._requested_at.clear()

    async def _read(self, now: float) -> None:
        self._last_read_at = now
        try:
            with anyio.move_on_after(READ_TIMEOUT_S):
                await self._read_store()
        except ports.StoreUnavailableError:
            return  # Logged with the call; other VMs may reach the store.

    def _request_proof(self, now: float, is_overdue: bool) -> None:
        self._last_request_at = now
        number = next(self._numbers)
        self._requested_at[number] = now
        self._requested_at.pop(number - MAX_PENDING_REQUESTS, None)
        sources = self._list_sources(now, is_overdue)
        own = self._fleet.own.vm
        self._link.send_many(account_messages.ProofRequested(own, number), sources)

    def _list_sources(self, now: float, is_overdue: bool) -> list[ports.Member]:
        """Return the VMs to ask: a relay of this data centre, or the reader itself."""
        fleet = self._fleet
        own = fleet.own
        relays = fleet.rank(
            broadcasting.RELAY_TASK, now, broadcasting.RELAY_COUNT, own.data_centre
        )
        chosen = fleet.rank(reading_turn.READER_TASK, now, 1)
        if relays and own.vm not in relays:
            chosen = [self._rng.choice(relays)]
        names = set(chosen) - {own.vm}
        if is_overdue:
            others = [other.vm for other in fleet.list_others()]
            names.update(self._rng.sample(others, min(RANDOM_SOURCES, len(others))))
        found = [fleet.find(vm) for vm in sorted(names)]
        return [member for member in found if member is not None]
