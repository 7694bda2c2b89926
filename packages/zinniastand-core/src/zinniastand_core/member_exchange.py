"""Heartbeats between neighbours, and news of members over the whole fleet."""

from __future__ import annotations

import dataclasses

from . import control_actions, membership, overlay, peer_messages, timeline

NEIGHBOUR_SILENT_FOR = 3.0
LINK_DOUBTED_FOR = 60.0
REUNION_PAUSE = 5.0
RING_VALID_FOR = 2.0

Actions = list[control_actions.Action]


@dataclasses.dataclass(frozen=True, slots=True)
class _Link:
    """What is known of the link to a neighbour."""

    heard: int
    heard_until: float
    sent: int


class MemberExchange:
    """The part of the control plane that knows who is there.

    Parameters
    ----------
    own : membership.Member
        This VM.
    events : timeline.Timeline
        Where events are recorded.
    """

    def __init__(self, own: membership.Member, events: timeline.Timeline) -> None:
        self.members = membership.Membership(own)
        self._events = events
        self._links: dict[str, _Link] = {}
        self._doubted_links: dict[str, float] = {}
        self._reunion_at = 0.0
        self._ring_revision = -1
        self._ring_until = 0.0
        self._neighbours: list[str] = []

    def list_neighbours(self, now: float) -> list[str]:
        """Return the VMs that this one calls."""
        revision = self.members.revision
        if revision != self._ring_revision or now >= self._ring_until:
            names = [member.vm for member in self.members.list_callable(now)]
            own = self.members.own.vm
            self._neighbours = overlay.pick_neighbours(own, names)
            self._ring_revision = revision
            self._ring_until = now + RING_VALID_FOR
        return list(self._neighbours)

    def make_beats(self, next_offset: int, version: int, now: float) -> Actions:
        """Return the heartbeats that are due."""
        actions: Actions = []
        receivers = self.list_neighbours(now)
        receivers += self._pick_lost(now)
        for vm in receivers:
            known = self._links.get(vm, _Link(0, now + NEIGHBOUR_SILENT_FOR, 0))
            self._links[vm] = dataclasses.replace(known, sent=known.sent + 1)
            beat = self.make_beat(vm, next_offset, version, False, now)
            actions.append(control_actions.Tell(vm, beat))
        return actions

    def make_beat(
        self, vm: str, next_offset: int, version: int, is_reply: bool, now: float
    ) -> peer_messages.Heartbeat:
        """Return a heartbeat for one VM."""
        link = self._links[vm]
        return peer_messages.Heartbeat(
            sighting=self.members.own_sighting,
            sequence=link.sent,
            last_received=link.heard,
            next_offset=next_offset,
            version=version,
            members_digest=self.members.digest(),
            stamp=self._events.clock.tick(now),
            is_reply=is_reply,
        )

    def take_beat(
        self, sender: str, beat: peer_messages.Heartbeat, now: float
    ) -> tuple[Actions, bool]:
        """Take in a heartbeat; return actions, and whether it wants a reply."""
        self._events.clock.merge(beat.stamp, now)
        # While two VMs see different members, each may hold the other for a caller
        # and no neighbour. Replies to replies would then go back and forth for ever.
        wants_reply = not beat.is_reply and sender not in self.list_neighbours(now)
        known = self._links.get(sender, _Link(0, now, 0))
        self._links[sender] = _Link(
            beat.sequence, now + NEIGHBOUR_SILENT_FOR, known.sent + int(wants_reply)
        )
        actions = self.take_sightings(
            sender, peer_messages.Sightings((beat.sighting,)), now
        )
        if beat.members_digest != self.members.digest():
            actions.append(control_actions.Tell(sender, peer_messages.MembersRequest()))
        return actions, wants_reply

    def answer_members(self, sender: str) -> Actions:
        """Return all news, for a VM that knows something else."""
        sightings = tuple(self.members.list_sightings())
        return [control_actions.Tell(sender, peer_messages.Sightings(sightings))]

    def take_sightings(
        self, sender: str, message: peer_messages.Sightings, now: float
    ) -> Actions:
        """Take in news of members and tell on what was new."""
        news: list[membership.Sighting] = []
        for sighting in message.items:
            before = self.members.find_status(sighting.member.vm)
            told = self.members.take_sighting(sighting, now)
            if told is None:
                continue
            news.append(told)
            self._note_status(told, before, now)
            if told.status is membership.Status.ALIVE and told.beat > 0:
                # It contradicted a report of its loss: a link is bad, not the VM.
                self._doubted_links[told.member.vm] = now + LINK_DOUBTED_FOR
        if not news:
            return []
        return self.flood(peer_messages.Sightings(tuple(news)), sender, now)

    def check_links(self, now: float) -> Actions:
        """Declare neighbours down that have not been heard for long.

        Where a link works one way only, the VM behind it contradicts; the report is
        then not repeated for a while, so that membership does not flap.
        """
        actions: Actions = []
        for vm in self.list_neighbours(now):
            link = self._links.get(vm)
            if link is None or now < link.heard_until:
                continue
            if self._doubted_links.get(vm, 0.0) > now:
                continue
            news = self.members.declare_down(vm, now)
            del self._links[vm]
            if news is not None:
                self._note_status(news, membership.Status.ALIVE, now)
                actions += self.flood(peer_messages.Sightings((news,)), "", now)
        return actions

    def leave(self, now: float) -> Actions:
        """Announce that this VM is stopping."""
        sighting = self.members.leave()
        return self.flood(peer_messages.Sightings((sighting,)), "", now)

    def flood(self, message: peer_messages.Message, sender: str, now: float) -> Actions:
        """Tell every neighbour in either direction, but not the one who told us."""
        callers = {vm for vm, link in self._links.items() if now < link.heard_until}
        receivers = callers.union(self.list_neighbours(now)) - {sender}
        return [control_actions.Tell(vm, message) for vm in sorted(receivers)]

    def _pick_lost(self, now: float) -> list[str]:
        """Return a lost VM to call now and then.

        After a partition each side holds the other for down, and nobody would call.
        One heartbeat across is enough: the news that it brings is contradicted.
        """
        if now < self._reunion_at:
            return []
        self._reunion_at = now + REUNION_PAUSE
        lost = [
            sighting.member.vm
            for sighting in self.members.list_sightings()
            if sighting.status is membership.Status.DOWN
        ]
        if not lost:
            return []
        return [sorted(lost)[int(now / REUNION_PAUSE) % len(lost)]]

    def _note_status(
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
