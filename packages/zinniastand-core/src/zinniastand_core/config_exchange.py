"""Exchange of the configuration stream between VMs, with or without the log."""

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

MAX_KEPT_ENTRIES = 512
"""Maximum number of entries kept for peers that lack them."""

MAX_KEPT_BYTES = 8 * 1024 * 1024
"""Maximum size of these entries together."""

FIRST_REFRESH_SHARE = 0.25
"""Share of the log's retention after which a VM that has just started first appends the
head again."""

REFRESH_SHARE = 0.4
"""Share of the log's retention after which the head is appended again."""

RANK_DELAY_S = 20.0
"""Time by which each VM appends the head later than the VM ranked before it."""

REQUEST_TIMEOUT_S = 0.4
"""Time for which no further entries are requested while an answer is outstanding."""

Flood = collections.abc.Callable[
    [peer_messages.Message, str, float], list[control_actions.Action]
]
Actions = list[control_actions.Action]


class ConfigExchange:
    """The part of the control plane that keeps the configuration up to date.

    Entries are passed on with their offsets, byte for byte as on the log. A VM that
    receives them from a peer therefore decides as one that reads the log itself.

    Parameters
    ----------
    trusted : services.Operators
        The operators named in the settings.
    retention : float
        How long the log keeps a record, in seconds.
    events : timeline.Timeline
        Records the events of this VM.
    flood : callable
        Returns the actions that send a message to all neighbours but one.
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
        self._request_pending_until = 0.0

    def apply_entries(
        self, sender: str, message: peer_messages.ConfigEntries, now: float
    ) -> Actions:
        """Apply entries from the log or from a peer.

        Parameters
        ----------
        sender : str
            Name of the peer, or empty for the log.
        message : peer_messages.ConfigEntries
            The entries; those that do not come next are skipped.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Action
            What to do about the entries: reconfigure, notify the neighbours, or
            request the entries missing before these from the sender.
        """
        actions: Actions = []
        has_new_entries = False
        for index, data in enumerate(message.data):
            offset = message.offset + index
            if offset != self.config.next_offset:
                continue
            result = self.config.apply_entry(offset, data, now)
            self._keep_entry(offset, data)
            has_new_entries = True
            actions += self._record_result(result, now)
        self._request_pending_until = 0.0
        if has_new_entries:
            actions += self._flood(self._make_notice(), sender, now)
        elif sender and message.offset > self.config.next_offset:
            actions += self.request_missing(sender, now)
        return actions

    def handle_notice(
        self, sender: str, next_offset: int, version: int, now: float
    ) -> Actions:
        """Request entries from a VM that has read further, unless a request is pending.

        Most VMs read the log themselves at about the same time. A notice takes a few
        bytes, while the entries themselves would reach each VM eight times.
        """
        is_ahead = (
            next_offset > self.config.next_offset or version > self.config.chain.version
        )
        if not is_ahead or now < self._request_pending_until:
            return []
        return self.request_missing(sender, now)

    def request_missing(self, vm: str, now: float) -> Actions:
        """Return the action that requests the missing entries from `vm`."""
        self._request_pending_until = now + REQUEST_TIMEOUT_S
        request = peer_messages.ConfigRequest(
            self.config.next_offset, self.config.chain.version
        )
        return [control_actions.SendMessage(vm, request)]

    def answer_request(
        self, sender: str, request: peer_messages.ConfigRequest, now: float
    ) -> Actions:
        """Answer a request with the missing entries.

        The whole state is sent instead if the first of them is no longer kept.
        """
        missing = [
            data for offset, data in self._entries if offset >= request.next_offset
        ]
        first = self._entries[0][0] if self._entries else self.config.next_offset
        if missing and first <= request.next_offset:
            entries = peer_messages.ConfigEntries(request.next_offset, tuple(missing))
            return [control_actions.SendMessage(sender, entries)]
        granted = self.config.ejections.list_granted()
        state = peer_messages.ConfigState(
            self.config.next_offset,
            self.config.chain.pack_snapshot() or b"",
            tuple(ejections.pack(ejection) for ejection in granted),
        )
        return [control_actions.SendMessage(sender, state)]

    def apply_state(
        self, sender: str, state: peer_messages.ConfigState, now: float
    ) -> Actions:
        """Adopt the state of a peer that is not behind and whose bundle is valid.

        A state that is behind, or has no bundle, is ignored.
        """
        if state.next_offset < self.config.next_offset or not state.snapshot:
            return []
        result = self.config.apply_state(
            state.next_offset, state.snapshot, state.ejections, now
        )
        self._entries.clear()
        self._entries_bytes = 0
        self._request_pending_until = 0.0
        actions = self._record_result(result, now)
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
        """Return the head as a record if this VM should append it again now.

        The log drops old records, so the head is appended again before it expires.
        Each VM runs a timer from the last copy of the head that it read. The timers
        are staggered by the rank of the VM, and reading the new copy restarts them
        all. So there is no leader, and the VMs do not all append at once.

        Parameters
        ----------
        own : str
            Name of this VM.
        others : iterable of str
            Names of the other VMs.
        now : float
            Current time, in seconds.

        Returns
        -------
        bytes or None
            The snapshot record to append, or None if none is due.
        """
        if self._refresh_at is None or self.config.chain.head is None:
            return None
        task = f"head/{self.config.chain.version}"
        ranked_vms = rendezvous.pick(task, [own, *others], 8)
        rank = ranked_vms.index(own) if own in ranked_vms else len(ranked_vms)
        if now < self._refresh_at + RANK_DELAY_S * rank:
            return None
        self._refresh_at = now + REFRESH_SHARE * self._retention
        return self.config.chain.pack_snapshot()

    def _keep_entry(self, offset: int, data: bytes) -> None:
        self._entries.append((offset, data))
        self._entries_bytes += len(data)
        while (
            len(self._entries) > MAX_KEPT_ENTRIES
            or self._entries_bytes > MAX_KEPT_BYTES
        ):
            _, dropped = self._entries.popleft()
            self._entries_bytes -= len(dropped)

    def _record_result(self, result: config_log.ApplyResult, now: float) -> Actions:
        for ejection in result.revoked:
            self._events.record(
                timeline.EventKind.EJECTION_REVOKED,
                f"{ejection.service}/{ejection.target}",
                "the new bundle leaves no room for it above the floor",
                now,
            )
        if result.decision is not None:
            self._record_decision(result.decision, now)
        if result.ruling is None:
            return []
        return self._record_ruling(result.ruling, now)

    def _record_ruling(self, ruling: chain.Ruling, now: float) -> Actions:
        if ruling.verdict is chain.Verdict.KNOWN:
            self._refresh_at = now + REFRESH_SHARE * self._retention
            return []
        if ruling.verdict is not chain.Verdict.ACCEPTED:
            detail = f"{ruling.verdict}: {ruling.reason}"
            kind = timeline.EventKind.BUNDLE_REFUSED
            self._events.record(kind, ruling.proposal_id, detail, now)
            return []
        # A VM that has just started does not know how old the record is, so its first
        # refresh comes earlier.
        is_first = self._refresh_at is None
        share = FIRST_REFRESH_SHARE if is_first else REFRESH_SHARE
        self._refresh_at = now + share * self._retention
        version = self.config.chain.version
        kind = timeline.EventKind.BUNDLE_ACCEPTED
        self._events.record(kind, ruling.proposal_id, f"version {version}", now)
        return [control_actions.Reconfigure(version)]

    def _record_decision(self, decision: ejections.Decision, now: float) -> None:
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
