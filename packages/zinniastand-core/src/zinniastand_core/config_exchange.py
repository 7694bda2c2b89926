"""The configuration stream, shared between VMs whether or not the log is up."""

from __future__ import annotations

import collections
import collections.abc

from . import (
    chain,
    config_log,
    control_actions,
    ejections,
    peer_messages,
    rendezvous,
    services,
    timeline,
)

KEPT_ENTRIES = 512
KEPT_BYTES = 8 * 1024 * 1024
FIRST_REFRESH_SHARE = 0.25
REFRESH_SHARE = 0.4
RANK_PAUSE = 20.0
ASK_PATIENCE = 0.4

Flood = collections.abc.Callable[
    [peer_messages.Message, str, float], list[control_actions.Action]
]
Actions = list[control_actions.Action]


class ConfigExchange:
    """The part of the control plane that keeps the configuration.

    Entries are told on with their offsets, exactly as they stand on the log, so a VM
    that hears them from a peer decides as one that reads the log itself.

    Parameters
    ----------
    trusted : services.Operators
        The operators whom the settings name.
    retention : float
        Seconds for which the log keeps a record.
    events : timeline.Timeline
        Where events are recorded.
    flood : callable
        Makes the actions that tell a message to all neighbours but one.
    """

    def __init__(
        self,
        trusted: services.Operators,
        retention: float,
        events: timeline.Timeline,
        flood: Flood,
    ) -> None:
        self.config = config_log.ConfigLog(trusted)
        self._retention = retention
        self._events = events
        self._flood = flood
        self._entries: collections.deque[tuple[int, bytes]] = collections.deque()
        self._entries_bytes = 0
        self._refresh_at: float | None = None
        self._asked_until = 0.0

    def take_entries(
        self, sender: str, message: peer_messages.Entries, now: float
    ) -> Actions:
        """Take in entries, from the log (empty `sender`) or from a peer."""
        actions: Actions = []
        is_fresh = False
        for index, data in enumerate(message.data):
            offset = message.offset + index
            if offset != self.config.next_offset:
                continue
            applied = self.config.take_entry(offset, data, now)
            self._keep(offset, data)
            is_fresh = True
            actions += self._note(applied, now)
        self._asked_until = 0.0
        if is_fresh:
            actions += self._flood(self._make_notice(), sender, now)
        elif sender and message.offset > self.config.next_offset:
            actions += self.ask(sender, now)
        return actions

    def take_notice(
        self, sender: str, next_offset: int, version: int, now: float
    ) -> Actions:
        """Ask a VM that has read further, unless another is being asked.

        Most VMs read the log themselves at the same moment. A notice of a few bytes
        costs them next to nothing, where the entries would come eight times over.
        """
        is_ahead = (
            next_offset > self.config.next_offset or version > self.config.chain.version
        )
        if not is_ahead or now < self._asked_until:
            return []
        return self.ask(sender, now)

    def ask(self, vm: str, now: float) -> Actions:
        """Return the question for what this VM lacks."""
        self._asked_until = now + ASK_PATIENCE
        asked = peer_messages.ConfigAsked(
            self.config.next_offset, self.config.chain.version
        )
        return [control_actions.SendMessage(vm, asked)]

    def answer(
        self, sender: str, asked: peer_messages.ConfigAsked, now: float
    ) -> Actions:
        """Return the entries that the asker lacks, or the whole state."""
        kept = [data for offset, data in self._entries if offset >= asked.next_offset]
        first = self._entries[0][0] if self._entries else self.config.next_offset
        if kept and first <= asked.next_offset:
            entries = peer_messages.Entries(asked.next_offset, tuple(kept))
            return [control_actions.SendMessage(sender, entries)]
        granted = self.config.ejections.list_granted()
        state = peer_messages.ConfigState(
            self.config.next_offset,
            self.config.chain.pack_snapshot() or b"",
            tuple(ejections.pack(ejection) for ejection in granted),
        )
        return [control_actions.SendMessage(sender, state)]

    def take_state(
        self, sender: str, state: peer_messages.ConfigState, now: float
    ) -> Actions:
        """Take over a peer's state, where it is ahead and proves its bundle."""
        if state.next_offset < self.config.next_offset or not state.snapshot:
            return []
        applied = self.config.take_state(
            state.next_offset, state.snapshot, state.ejections, now
        )
        self._entries.clear()
        self._entries_bytes = 0
        self._asked_until = 0.0
        actions = self._note(applied, now)
        if actions:
            actions += self._flood(self._make_notice(), sender, now)
        return actions

    def _make_notice(self) -> peer_messages.ConfigNotice:
        return peer_messages.ConfigNotice(
            self.config.next_offset, self.config.chain.version
        )

    def find_due_snapshot(
        self, own: str, others: collections.abc.Iterable[str], now: float
    ) -> bytes | None:
        """Return the head as a record, if it is time to append it again.

        The log forgets; the head must be appended again before it does. Every VM runs
        the same clock from the last record that it read, and the one that ranks first
        is due first. When its copy is read, all start again: no leader, no stampede.
        """
        if self._refresh_at is None or self.config.chain.head is None:
            return None
        task = f"head/{self.config.chain.version}"
        rank = rendezvous.pick(task, [own, *others], 8)
        place = rank.index(own) if own in rank else len(rank)
        if now < self._refresh_at + RANK_PAUSE * place:
            return None
        self._refresh_at = now + REFRESH_SHARE * self._retention
        return self.config.chain.pack_snapshot()

    def _keep(self, offset: int, data: bytes) -> None:
        self._entries.append((offset, data))
        self._entries_bytes += len(data)
        while len(self._entries) > KEPT_ENTRIES or self._entries_bytes > KEPT_BYTES:
            _, dropped = self._entries.popleft()
            self._entries_bytes -= len(dropped)

    def _note(self, applied: config_log.Applied, now: float) -> Actions:
        for ejection in applied.revoked:
            self._events.record(
                timeline.EventKind.EJECTION_REVOKED,
                f"{ejection.service}/{ejection.target}",
                "the new bundle leaves no room for it above the floor",
                now,
            )
        if applied.decision is not None:
            self._note_decision(applied.decision, now)
        if applied.ruling is None:
            return []
        return self._note_ruling(applied.ruling, now)

    def _note_ruling(self, ruling: chain.Ruling, now: float) -> Actions:
        if ruling.verdict is chain.Verdict.KNOWN:
            self._refresh_at = now + REFRESH_SHARE * self._retention
            return []
        if ruling.verdict is not chain.Verdict.ACCEPTED:
            detail = f"{ruling.verdict}: {ruling.reason}"
            kind = timeline.EventKind.BUNDLE_REFUSED
            self._events.record(kind, ruling.proposal_id, detail, now)
            return []
        # A VM that has just started cannot tell how old the record is.
        is_first = self._refresh_at is None
        share = FIRST_REFRESH_SHARE if is_first else REFRESH_SHARE
        self._refresh_at = now + share * self._retention
        version = self.config.chain.version
        kind = timeline.EventKind.BUNDLE_ACCEPTED
        self._events.record(kind, ruling.proposal_id, f"version {version}", now)
        return [control_actions.Reconfigure(version)]

    def _note_decision(self, decision: ejections.Decision, now: float) -> None:
        ejection = decision.ejection
        kind = timeline.EventKind.EJECTED
        detail = (
            f"level {ejection.level:.1f} pooled by {ejection.ejected_by}, "
            f"for {ejection.deadline - ejection.proposed_at:.0f} s"
        )
        if not decision.granted:
            kind = timeline.EventKind.EJECTION_REFUSED
            detail = decision.reason
        self._events.record(kind, f"{ejection.service}/{ejection.target}", detail, now)
