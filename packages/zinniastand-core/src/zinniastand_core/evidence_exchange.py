"""Exchanges evidence about targets: a few VMs pool it, and all act on the scores."""

from __future__ import annotations

import collections.abc

from . import (
    control_actions,
    ejections,
    evidence_pool,
    membership,
    peer_messages,
    rendezvous,
    router,
    timeline,
)

POOLING_VMS_PER_SERVICE = 2
"""Number of VMs that pool the evidence about one service."""

LEVELS_VALIDITY_S = 3.0
"""Time for which an announced score counts in routing."""

FIRST_LEASE_S = 20.0
"""Length of a target's first ejection; each further one is twice as long."""

MAX_LEASE_S = 320.0
"""Upper bound of the length of an ejection."""

FLAP_WINDOW_S = 900.0
"""Time after the end of a target's last ejection at which the count starts again."""

PROPOSAL_INTERVAL_S = 2.0
"""Minimum time between two proposals to eject the same target."""

ANNOUNCED_SHARE = 0.45
"""Share of the threshold from which on a score is announced."""

CHANGED_SHARE = 0.3
"""Share of the threshold by which a score must change to be announced at once."""

REPEAT_INTERVAL_S = 1.4
"""Time after which unchanged scores are announced again, before they expire."""

Flood = collections.abc.Callable[
    [peer_messages.Message, str, float], list[control_actions.Action]
]
Actions = list[control_actions.Action]
Routers = collections.abc.Mapping[str, router.Router]


class EvidenceExchange:
    """The part of the control plane that combines the VMs' evidence about targets.

    Rendezvous hashing picks two VMs for each service to pool its evidence. They
    announce the scores to the whole fleet, and the first of them proposes ejections.

    Parameters
    ----------
    members : membership.Membership
        Members of the fleet.
    ledger : ejections.EjectionLedger
        Ejections granted so far.
    events : timeline.Timeline
        Timeline in which events are recorded.
    flood : callable
        Returns the actions that send a message to all neighbours but one.
    """

    def __init__(
        self,
        members: membership.Membership,
        ledger: ejections.EjectionLedger,
        events: timeline.Timeline,
        flood: Flood,
    ) -> None:
        self._members = members
        self._ledger = ledger
        self._events = events
        self._flood = flood
        self._routers: Routers = {}
        self._pools: dict[str, evidence_pool.EvidencePool] = {}
        self._levels_sent: dict[str, dict[str, float]] = {}
        self._announced_at: dict[str, float] = {}
        self._levels_seen: dict[tuple[str, str], int] = {}
        self._pooling_vms: dict[str, list[str]] = {}
        self._picked_at = -1
        self._sequence = 0
        self._proposed_at: dict[tuple[str, str], float] = {}
        self._self_doubting: set[str] = set()
        self._suspected: set[tuple[str, str]] = set()

    def use_routers(self, routers: Routers) -> None:
        """Set the routers, by service, that supply outcomes and follow the scores."""
        self._routers = routers

    def apply_ejections(self, now: float) -> None:
        """Apply the ejections in force to every router."""
        for name, routing in self._routers.items():
            ejected = self._ledger.list_ejected(routing.service, now)
            for target in routing.list_ejected() - ejected:
                kind = timeline.EventKind.READMITTED
                self._events.record(kind, f"{name}/{target}", "ramping up", now)
            for target in ejected - routing.list_ejected():
                # Outdated evidence must not eject the target again once it returns.
                if name in self._pools:
                    self._pools[name].forget(target)
            routing.set_ejected(ejected, now)

    def report(self, now: float) -> Actions:
        """Return the reports of new outcomes for the VMs that pool them."""
        actions: Actions = []
        own = self._members.own
        observer = evidence_pool.Observer(own.vm, own.data_centre)
        for name, routing in self._routers.items():
            items = self._collect(name, routing, now)
            if not items:
                continue
            message = peer_messages.EvidenceReports(name, observer, items)
            for vm in self._pick_pooling_vms(name):
                if vm == own.vm:
                    self.pool_reports(message, now)
                else:
                    actions.append(control_actions.SendMessage(vm, message))
        return actions

    def pool_reports(self, message: peer_messages.EvidenceReports, now: float) -> None:
        """Add reported evidence to the pool of its service."""
        pool = self._find_pool(message.service)
        if pool is not None:
            for report in message.items:
                pool.add(message.observer, report, now)

    def announce_levels(self, now: float) -> Actions:
        """Announce pooled scores from `ANNOUNCED_SHARE` of the threshold on."""
        actions: Actions = []
        observer_counts = self._members.count_observers()
        for service, pool in self._pools.items():
            minimum = ANNOUNCED_SHARE * pool.threshold
            levels = [
                level
                for level in pool.list_levels(observer_counts, now)
                if _find_highest(level) >= minimum
            ]
            scores = {level.target: _find_highest(level) for level in levels}
            cleared = set(self._levels_sent.get(service, {})) - set(scores)
            if not self._must_announce(service, scores, pool.threshold, now):
                continue
            self._levels_sent[service] = scores
            self._announced_at[service] = now
            self._sequence += 1
            levels += [evidence_pool.Level(name, 0.0, ()) for name in sorted(cleared)]
            message = peer_messages.SuspicionLevels(
                service, self._members.own.vm, self._sequence, tuple(levels)
            )
            self._steer_by_levels(message, now)
            actions += self._flood(message, "", now)
        return actions

    def _must_announce(
        self, service: str, scores: dict[str, float], threshold: float, now: float
    ) -> bool:
        """Return whether scores have changed notably or are about to expire.

        Flooding delivers each announcement to every VM about eight times, so small
        fluctuations are not announced.
        """
        before = self._levels_sent.get(service, {})
        if set(before) != set(scores):
            return True
        step = CHANGED_SHARE * threshold
        if any(abs(scores[name] - before[name]) > step for name in scores):
            return True
        return (
            bool(scores)
            and now >= self._announced_at.get(service, now) + REPEAT_INTERVAL_S
        )

    def apply_levels(
        self, sender: str, message: peer_messages.SuspicionLevels, now: float
    ) -> Actions:
        """Apply another VM's pooled scores to routing, and relay them.

        Announcements already received are ignored.
        """
        key = (message.service, message.pooled_by)
        if message.sequence <= self._levels_seen.get(key, 0):
            return []
        self._levels_seen[key] = message.sequence
        self._steer_by_levels(message, now)
        return self._flood(message, sender, now)

    def propose_ejections(self, now: float) -> Actions:
        """Propose ejections for services whose first pooling VM is this one."""
        actions: Actions = []
        observer_counts = self._members.count_observers()
        for service, pool in self._pools.items():
            routing = self._routers.get(service)
            if (
                routing is None
                or self._pick_pooling_vms(service)[0] != self._members.own.vm
            ):
                continue
            target_data_centres = {
                target.name: target.data_centre
                for target in routing.service.targets
                if routing.is_in_service(target, now)
            }
            for level in pool.list_ejectable(target_data_centres, observer_counts, now):
                actions += self._propose(service, level.target, level.overall, now)
        return actions

    def _collect(
        self, name: str, routing: router.Router, now: float
    ) -> tuple[evidence_pool.Report, ...]:
        """Return all new outcomes, or none if this VM may itself be at fault.

        The good ones matter as much: from bad outcomes alone, a pool would add up
        random failures seen by many VMs and eject healthy targets (see
        docs/DETECTION.md).
        """
        new_outcomes = routing.health.take_unsent()
        targets = [target.name for target in routing.service.targets]
        doubts = routing.health.suspects_observer(targets, now)
        self._record_self_doubt(name, doubts, now)
        if doubts:
            return ()
        return tuple(
            evidence_pool.Report(subject, tally)
            for subject, tally in new_outcomes.items()
        )

    def _record_self_doubt(self, name: str, doubts: bool, now: float) -> None:
        if doubts and name not in self._self_doubting:
            self._self_doubting.add(name)
            kind = timeline.EventKind.SELF_DOUBTED
            detail = "most targets look bad from here: evidence is kept back"
            self._events.record(kind, name, detail, now)
        elif not doubts:
            self._self_doubting.discard(name)

    def _pick_pooling_vms(self, service: str) -> list[str]:
        if self._members.revision != self._picked_at:
            self._picked_at = self._members.revision
            self._pooling_vms.clear()
        pooling_vms = self._pooling_vms.get(service)
        if pooling_vms is None:
            names = [member.vm for member in self._members.list_alive()]
            names.append(self._members.own.vm)
            pooling_vms = rendezvous.pick(
                f"pool/{service}", names, POOLING_VMS_PER_SERVICE
            )
            self._pooling_vms[service] = pooling_vms
        return pooling_vms

    def _find_pool(self, service: str) -> evidence_pool.EvidencePool | None:
        routing = self._routers.get(service)
        if routing is None:
            return None
        pool = self._pools.get(service)
        if pool is None or pool.threshold != routing.health.threshold:
            pool = evidence_pool.EvidencePool(routing.health.threshold)
            self._pools[service] = pool
        return pool

    def _steer_by_levels(
        self, message: peer_messages.SuspicionLevels, now: float
    ) -> None:
        routing = self._routers.get(message.service)
        if routing is None:
            return
        threshold = routing.health.threshold
        own_data_centre = self._members.own.data_centre
        for level in message.items:
            score = level.find_for(own_data_centre)
            routing.set_pooled_score(level.target, score, now + LEVELS_VALIDITY_S)
            self._record_level(message, level.target, score, threshold, now)

    def _record_level(
        self,
        message: peer_messages.SuspicionLevels,
        target: str,
        level: float,
        threshold: float,
        now: float,
    ) -> None:
        key = (message.service, target)
        subject = f"{message.service}/{target}"
        if level > 0 and key not in self._suspected:
            self._suspected.add(key)
            detail = f"level {level:.1f} of {threshold:.1f}, by {message.pooled_by}"
            kind = timeline.EventKind.SUSPECTED
            self._events.record(kind, subject, detail, now)
        elif level == 0 and key in self._suspected:
            self._suspected.discard(key)
            kind = timeline.EventKind.CLEARED
            self._events.record(kind, subject, "evidence has sunk", now)

    def _propose(self, service: str, target: str, level: float, now: float) -> Actions:
        key = (service, target)
        if (
            now
            < self._proposed_at.get(key, now - PROPOSAL_INTERVAL_S)
            + PROPOSAL_INTERVAL_S
        ):
            return []
        self._proposed_at[key] = now
        count = self._ledger.count_ejections(service, target, now - FLAP_WINDOW_S)
        lease = min(MAX_LEASE_S, FIRST_LEASE_S * 2**count)
        ejection = ejections.Ejection(
            service, target, self._members.own.vm, now, now + lease, level
        )
        kind = timeline.EventKind.EJECTION_PROPOSED
        detail = f"level {level:.1f}, for {lease:.0f} s"
        self._events.record(kind, f"{service}/{target}", detail, now)
        return [control_actions.AppendConfig(ejections.pack(ejection))]


def _find_highest(level: evidence_pool.Level) -> float:
    return max([level.overall, *(score for _, score in level.by_data_centre)])
