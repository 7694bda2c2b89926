"""Keeps what targets tell this VM, and tells it to VMs that relayed their answers.

A target counts its requests by the VM that its connections come from. What it tells a
VM over a relayed connection therefore binds the relaying VM, too, which does not read
the answers that it passes on.
"""

from __future__ import annotations

import math

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import target_notices

from . import datagrams, members, peer_link, target_client


class NoticeExchange:
    """Records what targets tell this VM.

    Parameters
    ----------
    notices : target_notices.TargetNotices
        Targets that want no requests of this VM.
    registry : targets.Registry
        Targets known to this VM.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to them.
    """

    def __init__(
        self,
        notices: target_notices.TargetNotices,
        registry: targets.Registry,
        fleet: members.Members,
        link: peer_link.PeerLink,
    ) -> None:
        self._notices = notices
        self._registry = registry
        self._fleet = fleet
        self._link = link

    def wants_requests(self, target: targets.Entry, now: float) -> bool:
        """Return whether a target wants requests of this VM."""
        return self._notices.find_end(target, now) is None

    def list_excluded(self, now: float) -> tuple[str, ...]:
        """Return the targets that want no requests of this VM."""
        entries = [
            self._registry.find(name) for name in self._notices.list_current(now)
        ]
        return tuple(
            entry.target_id
            for entry in entries
            if entry is not None and not self.wants_requests(entry, now)
        )

    def record_answer(
        self, target: targets.Entry, attempt: target_client.Attempt
    ) -> None:
        """Record what a target has told in an answer, and tell its relay."""
        if attempt.rest is None and not attempt.is_leaving:
            return
        rest = attempt.rest or 0.0
        self._record(target, rest, attempt.is_leaving)
        relay = self._fleet.find(attempt.relay) if attempt.relay else None
        if relay is not None:
            notice = datagrams.TargetNotice(
                target.target_id, target.born, rest, attempt.is_leaving
            )
            self._link.send(notice, relay)

    def apply(self, notice: datagrams.TargetNotice) -> None:
        """Record what a target has told over a connection that this VM relayed."""
        target = self._registry.find(notice.target_id)
        if target is None or target.born != notice.born:
            return
        if math.isfinite(notice.rest):
            rest = min(notice.rest, target_client.MAX_REST_S)
            self._record(target, rest, notice.is_leaving)

    def _record(self, target: targets.Entry, rest: float, is_leaving: bool) -> None:
        now = anyio.current_time()
        self._notices.record_rest(target, now + rest)
        if is_leaving:
            self._notices.record_leaving(target, now)
