"""The control plane of one VM: members, configuration and pooled evidence.

A state machine without I/O. It takes messages of peers, entries of the log and ticks,
and returns what to tell whom and what to append.
"""

from __future__ import annotations

import collections.abc

from . import (
    config_exchange,
    control_actions,
    evidence_exchange,
    member_exchange,
    membership,
    peer_messages,
    services,
    timeline,
)

BEAT_PAUSE = 0.9

Actions = list[control_actions.Action]


class Control:
    """Control plane of one VM.

    Parameters
    ----------
    own : membership.Member
        This VM.
    trusted : services.Operators
        The operators whom the settings name.
    retention : float
        Seconds for which the log keeps a record.
    events : timeline.Timeline
        Where events are recorded.
    """

    def __init__(
        self,
        own: membership.Member,
        trusted: services.Operators,
        retention: float,
        events: timeline.Timeline,
    ) -> None:
        self.events = events
        self._beat_at = 0.0
        self._neighbours = member_exchange.MemberExchange(own, events)
        self.members = self._neighbours.members
        flood = self._neighbours.flood
        self._exchange = config_exchange.ConfigExchange(
            trusted, retention, events, flood
        )
        self.config = self._exchange.config
        self.evidence = evidence_exchange.EvidenceExchange(
            self.members, self.config.ejections, events, flood
        )

    def tick(self, now: float) -> Actions:
        """Do what is due; call about twice a second."""
        actions: Actions = []
        if now >= self._beat_at:
            self._beat_at = now + BEAT_PAUSE
            actions += self._neighbours.make_beats(
                self.config.next_offset, self.config.chain.version, now
            )
        actions += self._neighbours.check_links(now)
        actions += self.evidence.report(now)
        actions += self.evidence.tell_levels(now)
        actions += self.evidence.propose_ejections(now)
        self.evidence.apply_ejections(now)
        self.members.forget_gone(now)
        return actions

    def list_neighbours(self, now: float) -> list[str]:
        """Return the VMs that this one calls."""
        return self._neighbours.list_neighbours(now)

    def leave(self, now: float) -> Actions:
        """Announce that this VM is stopping."""
        return self._neighbours.leave(now)

    def take_message(
        self, sender: str, message: peer_messages.Message, now: float
    ) -> Actions:
        """Take in a message of another VM."""
        match message:
            case peer_messages.Heartbeat():
                return self._take_beat(sender, message, now)
            case peer_messages.Sightings():
                return self._neighbours.take_sightings(sender, message, now)
            case peer_messages.MembersRequest():
                return self._neighbours.answer_members(sender)
            case peer_messages.ConfigRequest():
                return self._exchange.answer_request(sender, message, now)
            case peer_messages.ConfigEntries():
                return self._exchange.apply_entries(sender, message, now)
            case peer_messages.ConfigState():
                return self._exchange.apply_state(sender, message, now)
            case peer_messages.ConfigNotice(next_offset=offset, version=version):
                return self._exchange.handle_notice(sender, offset, version, now)
            case peer_messages.EvidenceReports():
                self.evidence.take_reports(message, now)
                return []
            case peer_messages.SuspicionLevels():
                return self.evidence.take_levels(sender, message, now)
            case _:
                return []

    def take_log_entries(
        self, offset: int, data: collections.abc.Sequence[bytes], now: float
    ) -> Actions:
        """Take in entries of the configuration stream, read from the log.

        An `offset` past what was read means that the log no longer keeps the entries
        between; the head is appended again often enough not to be among them.
        """
        self.config.skip_to(offset)
        entries = peer_messages.ConfigEntries(offset, tuple(data))
        return self._exchange.apply_entries("", entries, now)

    def find_due_snapshot(self, now: float) -> bytes | None:
        """Return the head as a record, if this VM is to append it again now."""
        others = [member.vm for member in self.members.list_alive()]
        return self._exchange.find_due_snapshot(self.members.own.vm, others, now)

    def _take_beat(
        self, sender: str, beat: peer_messages.Heartbeat, now: float
    ) -> Actions:
        actions, wants_reply = self._neighbours.take_beat(sender, beat, now)
        if wants_reply:
            reply = self._neighbours.make_beat(
                sender, self.config.next_offset, self.config.chain.version, True, now
            )
            actions.append(control_actions.Tell(sender, reply))
        return actions + self._exchange.handle_notice(
            sender, beat.next_offset, beat.version, now
        )
