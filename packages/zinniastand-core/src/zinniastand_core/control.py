"""The control plane of one VM: members, configuration and pooled evidence.

A state machine without I/O. Its inputs are messages of peers, entries of the log and
ticks; it returns the messages to send and the records to append.
"""

from __future__ import annotations

import collections.abc

from . import (
    config_exchange,
    control_actions,
    evidence_exchange,
    leaving_exchange,
    member_exchange,
    membership,
    peer_messages,
    services,
    timeline,
)

HEARTBEAT_INTERVAL_S = 0.9
"""Minimum time between two rounds of heartbeats to the neighbours."""

Actions = list[control_actions.Action]


class Control:
    """Control plane of one VM.

    Parameters
    ----------
    own : membership.Member
        This VM.
    trusted : services.Operators
        Operators named in the settings.
    retention : float
        Seconds for which the log keeps a record.
    events : timeline.Timeline
        Timeline in which events are recorded.
    """

    def __init__(
        self,
        own: membership.Member,
        trusted: services.Operators,
        retention: float,
        events: timeline.Timeline,
    ) -> None:
        self.events = events
        self._next_beat_at = 0.0
        self._member_exchange = member_exchange.MemberExchange(own, events)
        self.members = self._member_exchange.members
        flood = self._member_exchange.flood
        self._config_exchange = config_exchange.ConfigExchange(
            trusted, retention, events, flood
        )
        self.config = self._config_exchange.config
        self.evidence = evidence_exchange.EvidenceExchange(
            self.members, self.config.ejections, events, flood
        )
        self.leaving_targets = leaving_exchange.LeavingExchange(events, flood)

    def tick(self, now: float) -> Actions:
        """Return the actions that are due; call about twice a second."""
        actions: Actions = []
        if now >= self._next_beat_at:
            self._next_beat_at = now + HEARTBEAT_INTERVAL_S
            actions += self._member_exchange.make_beats(
                self.config.next_offset, self.config.chain.version, now
            )
        actions += self._member_exchange.check_links(now)
        actions += self.leaving_targets.report(now)
        actions += self.evidence.report(now)
        actions += self.evidence.announce_levels(now)
        actions += self.evidence.propose_ejections(now)
        self.evidence.apply_ejections(now)
        self.members.remove_departed(now)
        return actions

    def list_neighbours(self, now: float) -> list[str]:
        """Return the names of the VMs that this one connects to."""
        return self._member_exchange.list_neighbours(now)

    def leave(self, now: float) -> Actions:
        """Return the messages that announce that this VM is stopping."""
        return self._member_exchange.leave(now)

    def handle_message(
        self, sender: str, message: peer_messages.Message, now: float
    ) -> Actions:
        """Handle a message of another VM.

        Messages of kinds that do not concern the control plane cause no actions.
        """
        match message:
            case peer_messages.Heartbeat():
                return self._handle_beat(sender, message, now)
            case peer_messages.Sightings():
                return self._member_exchange.apply_sightings(sender, message, now)
            case peer_messages.MembersRequest():
                actions = self._member_exchange.answer_members(sender)
                return actions + self.leaving_targets.answer(sender, now)
            case peer_messages.ConfigRequest():
                return self._config_exchange.answer_request(sender, message, now)
            case peer_messages.ConfigEntries():
                return self._config_exchange.apply_entries(sender, message, now)
            case peer_messages.ConfigState():
                return self._config_exchange.apply_state(sender, message, now)
            case peer_messages.ConfigNotice(next_offset=offset, version=version):
                return self._config_exchange.handle_notice(sender, offset, version, now)
            case peer_messages.EvidenceReports():
                self.evidence.pool_reports(message, now)
                return []
            case peer_messages.SuspicionLevels():
                return self.evidence.apply_levels(sender, message, now)
            case peer_messages.TargetLeaving():
                return self.leaving_targets.apply(sender, message, now)
            case _:
                return []

    def apply_log_entries(
        self, offset: int, data: collections.abc.Sequence[bytes], now: float
    ) -> Actions:
        """Apply entries of the configuration stream, read from the log.

        If `offset` is past the next entry expected, the log has dropped the entries
        between. The head is appended again within each retention period, so it is not
        among them.
        """
        self.config.skip_to(offset)
        entries = peer_messages.ConfigEntries(offset, tuple(data))
        return self._config_exchange.apply_entries("", entries, now)

    def find_due_snapshot(self, now: float) -> bytes | None:
        """Return the head as a record if it is due to be appended, else None."""
        others = [member.vm for member in self.members.list_alive()]
        return self._config_exchange.find_due_snapshot(self.members.own.vm, others, now)

    def _handle_beat(
        self, sender: str, beat: peer_messages.Heartbeat, now: float
    ) -> Actions:
        actions, wants_reply = self._member_exchange.handle_beat(sender, beat, now)
        if wants_reply:
            reply = self._member_exchange.make_beat(
                sender, self.config.next_offset, self.config.chain.version, True, now
            )
            actions.append(control_actions.SendMessage(sender, reply))
        return actions + self._config_exchange.handle_notice(
            sender, beat.next_offset, beat.version, now
        )
