"""Exchanges heartbeats with neighbours and sightings of members with the fleet."""

from __future__ import annotations

import dataclasses

from . import control_actions, membership, overlay, peer_messages, timeline

NEIGHBOUR_TIMEOUT_S = 3.0
"""Time without heartbeats after which a neighbour is declared down."""

ONE_WAY_LINK_DURATION_S = 60.0
"""Time for which a VM that contradicted such a report is not declared down again."""

REUNION_INTERVAL_S = 5.0
"""Interval at which a VM that is down is sent a heartbeat, to heal partitions."""

RING_CACHE_S = 2.0
"""Maximum time for which the neighbours picked are kept."""

Actions = list[control_actions.Action]


@dataclasses.dataclass(frozen=True, slots=True)
class _Link:
    """Heartbeats sent and received over the link to a neighbour."""

    received: int
    """Sequence number of the heartbeat received last."""

    silent_at: float
    """Unix seconds at which the neighbour counts as silent."""

    sent: int
    """Number of heartbeats sent."""


class MemberExchange:
    """The part of the control plane that tracks the members of the fleet.

    Parameters
    ----------
    own : membership.Member
        This VM.
    events : timeline.Timeline
        Timeline in which events are recorded.
    """

    def __init__(self, own: membership.Member, events: timeline.Timeline) -> None:
        self.members = membership.Membership(own)
        self._events = events
        self._links: dict[str, _Link] = {}
        self._one_way_links: dict[str, float] = {}
        self._reunion_at = 0.0
        self._ring_revision = -1
        self._ring_until = 0.0
        self._neighbours: list[str] = []

    def list_neighbours(self, now: float) -> list[str]:
        """Return the names of the VMs that this one connects to."""
        revision = self.members.revision
        if revision != self._ring_revision or now >= self._ring_until:
            names = [member.vm for member in self.members.list_callable(now)]
            own = self.members.own.vm
            self._neighbours = overlay.pick_neighbours(own, names)
            self._ring_revision = revision
            self._ring_until = now + RING_CACHE_S
        return list(self._neighbours)

    def make_beats(self, next_offset: int, version: int, now: float) -> Actions:
        """Return the heartbeats that are due."""
        actions: Actions = []
        receivers = self.list_neighbours(now)
        receivers += self._pick_down_vm(now)
        for vm in receivers:
            previous = self._links.get(vm, _Link(0, now + NEIGHBOUR_TIMEOUT_S, 0))
            self._links[vm] = dataclasses.replace(previous, sent=previous.sent + 1)
            beat = self.make_beat(vm, next_offset, version, False, now)
            actions.append(control_actions.SendMessage(vm, beat))
        return actions

    def make_beat(
        self, vm: str, next_offset: int, version: int, is_reply: bool, now: float
    ) -> peer_messages.Heartbeat:
        """Return a heartbeat for a VM with which a link exists."""
        link = self._links[vm]
        return peer_messages.Heartbeat(
            sighting=self.members.own_sighting,
            sequence=link.sent,
            last_received=link.received,
            next_offset=next_offset,
            version=version,
            members_digest=self.members.digest(),
            stamp=self._events.clock.tick(now),
            is_reply=is_reply,
        )

    def handle_beat(
        self, sender: str, beat: peer_messages.Heartbeat, now: float
    ) -> tuple[Actions, bool]:
        """Handle a heartbeat; return the actions and whether to send a reply."""
        self._events.clock.merge(beat.stamp, now)
        # While two VMs know different members, neither may have the other among its
        # neighbours. Replies to replies would then go back and forth endlessly.
        wants_reply = not beat.is_reply and sender not in self.list_neighbours(now)
        previous = self._links.get(sender, _Link(0, now, 0))
        self._links[sender] = _Link(
            beat.sequence, now + NEIGHBOUR_TIMEOUT_S, previous.sent + int(wants_reply)
        )
        actions = self.apply_sightings(
            sender, peer_messages.Sightings((beat.sighting,)), now
        )
        if beat.members_digest != self.members.digest():
            actions.append(
                control_actions.SendMessage(sender, peer_messages.MembersRequest())
            )
        return actions, wants_reply

    def answer_members(self, sender: str) -> Actions:
        """Return all sightings, for a VM whose digest differs."""
        sightings = tuple(self.members.list_sightings())
        return [control_actions.SendMessage(sender, peer_messages.Sightings(sightings))]

    def apply_sightings(
        self, sender: str, message: peer_messages.Sightings, now: float
    ) -> Actions:
        """Apply sightings of members and relay those that are new."""
        changed: list[membership.Sighting] = []
        for sighting in message.items:
            before = self.members.find_status(sighting.member.vm)
            relayed = self.members.apply_sighting(sighting, now)
            if relayed is None:
                continue
            changed.append(relayed)
            self._record_status(relayed, before, now)
            if relayed.status is membership.Status.ALIVE and relayed.beat > 0:
                # The VM contradicted a report that it is down: only a link is broken.
                self._one_way_links[relayed.member.vm] = now + ONE_WAY_LINK_DURATION_S
        if not changed:
            return []
        return self.flood(peer_messages.Sightings(tuple(changed)), sender, now)

    def check_links(self, now: float) -> Actions:
        """Declare neighbours down that sent no heartbeat for `NEIGHBOUR_TIMEOUT_S`.

        If a link works in one direction only, the VM behind it contradicts the report.
        The report is then not repeated for `ONE_WAY_LINK_DURATION_S`, so that
        membership does not flap.
        """
        actions: Actions = []
        for vm in self.list_neighbours(now):
            link = self._links.get(vm)
            if link is None or now < link.silent_at:
                continue
            if self._one_way_links.get(vm, 0.0) > now:
                continue
            down_sighting = self.members.declare_down(vm, now)
            del self._links[vm]
            if down_sighting is not None:
                self._record_status(down_sighting, membership.Status.ALIVE, now)
                actions += self.flood(
                    peer_messages.Sightings((down_sighting,)), "", now
                )
        return actions

    def leave(self, now: float) -> Actions:
        """Return the messages that announce that this VM is stopping."""
        sighting = self.members.leave()
        return self.flood(peer_messages.Sightings((sighting,)), "", now)

    def flood(self, message: peer_messages.Message, sender: str, now: float) -> Actions:
        """Return the messages to all neighbours but `sender`.

        The neighbours are the VMs that this one connects to and those that send it
        heartbeats.
        """
        senders = {vm for vm, link in self._links.items() if now < link.silent_at}
        receivers = senders.union(self.list_neighbours(now)) - {sender}
        return [control_actions.SendMessage(vm, message) for vm in sorted(receivers)]

    def _pick_down_vm(self, now: float) -> list[str]:
        """Return a VM thought to be down to contact, every `REUNION_INTERVAL_S`.

        After a partition each side considers the other down, and neither would connect
        again. One heartbeat from side to side is enough: the receiver contradicts the
        outdated sightings, and both sides learn of each other. The list has one name,
        or none if no attempt is due.
        """
        if now < self._reunion_at:
            return []
        self._reunion_at = now + REUNION_INTERVAL_S
        down_vms = [
            sighting.member.vm
            for sighting in self.members.list_sightings()
            if sighting.status is membership.Status.DOWN
        ]
        if not down_vms:
            return []
        return [sorted(down_vms)[int(now / REUNION_INTERVAL_S) % len(down_vms)]]

    def _record_status(
        self,
        sighting: membership.Sighting,
        before: membership.Status | None,
        now: float,
    ) -> None:
        vm, status = sighting.member.vm, sighting.status
        if vm == self.members.own.vm or status is before:
            return
        alive = status is membership.Status.ALIVE
        kind = timeline.EventKind.PEER_UP if alive else timeline.EventKind.PEER_DOWN
        detail = f"incarnation {sighting.member.incarnation}, {status.name.lower()}"
        self._events.record(kind, vm, detail, now)
