"""Opens connections to targets through other VMs, which relay them."""

from __future__ import annotations

import random

import anyio
import anyio.abc

from zinniastand_core.deployment import targets

from . import members, ports, relay_messages, target_connector

CONNECT_TIMEOUT_S = 0.1
"""Seconds allowed for a connection to another VM: some round trips, even to a busy
one."""

REPLY_TIMEOUT_S = 0.3
"""Seconds allowed for a reply of another VM, which connects to the target meanwhile."""

MAX_RELAYS = 12
"""Relays that are asked for one connection. A relay without links refuses at once, so
that also where two thirds of all VMs have none, 99 of 100 connections find one."""

SEARCH_TIMEOUT_S = 0.6
"""Seconds for which a relay is searched for one connection."""

MAX_UNREACHABLE_REPLIES = 2
"""Relays that must fail to connect to a target before it counts as unreachable."""

EXCLUSION_DURATION_S = 1.0
"""Seconds for which a VM without links to the service is not asked again."""

SHORT_EXCLUSION_DURATION_S = 0.25
"""The same for a VM that did not answer, or that is busy or stopping."""

TARGET_REASONS = frozenset(
    {
        relay_messages.RefusalReason.UNREACHABLE,
        relay_messages.RefusalReason.UNKNOWN_TARGET,
    }
)
"""Refusals that concern the target and not the relay."""


class NoRelayError(Exception):
    """No VM could be found that relays a connection."""


class RelayClient:
    """Opens relayed connections to targets.

    It stays with a relay that works, and prefers those of its own data centre.

    Parameters
    ----------
    fleet : members.Members
        The VMs of the fleet.
    rng : random.Random
        Spreads the VMs over the relays.

    Attributes
    ----------
    used : int
        Number of connections that were relayed.
    """

    def __init__(self, fleet: members.Members, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self.used = 0
        self._current = ""
        self._excluded_until: dict[str, float] = {}

    async def connect(
        self, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream:
        """Return a relayed connection to a target.

        Parameters
        ----------
        target : targets.Entry
            The target.
        time_left : float
            Seconds until nobody waits for an answer on the connection.

        Raises
        ------
        NoRelayError
            If no VM relays one.
        target_connector.UnreachableError
            If VMs with links could not connect to the target either.
        """
        with anyio.move_on_after(SEARCH_TIMEOUT_S):
            return await self._search(target, time_left)
        raise NoRelayError("no relay in time")

    async def _search(
        self, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream:
        unreachable_replies = 0
        is_resting = False
        for relay in self._list_relays(target, anyio.current_time()):
            opened = await self._ask(relay, target, time_left)
            if isinstance(opened, target_connector.TargetStream):
                self._current = relay.vm
                self.used += 1
                return opened
            if opened in TARGET_REASONS:
                unreachable_replies += 1
                if unreachable_replies == MAX_UNREACHABLE_REPLIES:
                    raise target_connector.UnreachableError("unreachable for relays")
                continue
            if opened is relay_messages.RefusalReason.RESTING:
                is_resting = True
                continue
            self._exclude(relay.vm, opened)
        if is_resting:
            raise target_connector.UnreachableError(
                "resting for relays", is_evidence=False
            )
        raise NoRelayError("no relay")

    def _exclude(self, vm: str, reason: relay_messages.RefusalReason | None) -> None:
        now = anyio.current_time()
        has_no_links = reason is relay_messages.RefusalReason.NO_LINK
        self._excluded_until = {
            name: until for name, until in self._excluded_until.items() if until > now
        }
        self._excluded_until[vm] = now + (
            EXCLUSION_DURATION_S if has_no_links else SHORT_EXCLUSION_DURATION_S
        )
        if vm == self._current:
            self._current = ""

    def _list_relays(self, target: targets.Entry, now: float) -> list[ports.Member]:
        """Return the VMs to ask, in this order.

        A VM that was slow to answer a datagram is suspected, and may still relay.
        """
        candidates = [
            member
            for member in self._fleet.list_remaining()
            if self._excluded_until.get(member.vm, 0.0) <= now
        ]
        self._rng.shuffle(candidates)
        near = (self._fleet.own.data_centre, target.data_centre)
        candidates.sort(
            key=lambda member: (
                member.vm != self._current,
                not self._fleet.is_reachable(member.vm, now),
                near.index(member.data_centre) if member.data_centre in near else 2,
            )
        )
        return candidates[:MAX_RELAYS]

    async def _ask(
        self, relay: ports.Member, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream | relay_messages.RefusalReason | None:
        """Return the connection, why it was refused, or None if there was no reply."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(relay.host, relay.port)
        except (OSError, TimeoutError):
            return None
        is_open = False
        try:
            target_connector.limit_unacknowledged_time(stream)
            request = relay_messages.RelayRequest(
                self._fleet.own.vm, target.target_id, time_left
            )
            with anyio.fail_after(REPLY_TIMEOUT_S):
                await stream.send(relay_messages.encode_request(request))
                data = await relay_messages.receive_message(stream)
            refusal = relay_messages.decode_reply(data)
            is_open = refusal is None
        except (
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            relay_messages.UnreadableError,
        ):
            return None
        finally:
            if not is_open:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
        if refusal is not None:
            return refusal
        relayed_stream = relay_messages.RelayedStream(stream)
        return target_connector.TargetStream(relayed_stream, relay.vm)
