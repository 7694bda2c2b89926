"""Evidence about targets, pooled by a few VMs and acted on by all."""

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

POOLS_PER_SERVICE = 2
LEVELS_VALID_FOR = 3.0
FIRST_LEASE = 20.0
MOST_LEASE = 320.0
FLAP_MEMORY = 900.0
PROPOSAL_PAUSE = 2.0
NOTICED_SHARE = 0.45
CHANGED_SHARE = 0.3
RETELL_AFTER = 1.4

Flood = collections.abc.Callable[
    [peer_messages.Message, str, float], list[control_actions.Action]
]
Actions = list[control_actions.Action]
Routers = collections.abc.Mapping[str, router.Router]


class EvidenceExchange:
    """The part of the control plane that judges targets together.

    Each service has two VMs that pool its evidence, by rendezvous hashing. They tell
    the scores to the whole fleet, and the first of them proposes ejections.

    Parameters
    ----------
    members : membership.Membership
        Who is there.
    ledger : ejections.EjectionLedger
        Ejections granted so far.
    events : timeline.Timeline
        Where events are recorded.
    flood : callable
        Makes the actions that tell a message to all neighbours but one.
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
        self._told_at: dict[str, float] = {}
        self._levels_seen: dict[tuple[str, str], int] = {}
        self._picked: dict[str, list[str]] = {}
        self._picked_at = -1
        self._sequence = 0
        self._proposed_at: dict[tuple[str, str], float] = {}
        self._doubting: set[str] = set()
        self._noticed: set[tuple[str, str]] = set()

    def use_routers(self, routers: Routers) -> None:
        """Name the routers whose health is shared and steered, by service."""
        self._routers = routers

    def apply_ejections(self, now: float) -> None:
        """Bring every router up to the ejections in force."""
        for name, routing in self._routers.items():
            ejected = self._ledger.list_ejected(routing.service, now)
            for target in routing.list_ejected() - ejected:
                kind = timeline.EventKind.READMITTED
                self._events.record(kind, f"{name}/{target}", "ramping up", now)
            for target in ejected - routing.list_ejected():
                # Old evidence must not eject it again the moment it comes back.
                if name in self._pools:
                    self._pools[name].forget(target)
            routing.set_ejected(ejected, now)

    def report(self, now: float) -> Actions:
        """Send fresh evidence to the VMs that pool it."""
        actions: Actions = []
        own = self._members.own
        observer = evidence_pool.Observer(own.vm, own.data_centre)
        for name, routing in self._routers.items():
            items = self._collect(name, routing, now)
            if not items:
                continue
            message = peer_messages.EvidenceReports(name, observer, items)
            for vm in self._pick_pools(name):
                if vm == own.vm:
                    self.take_reports(message, now)
                else:
                    actions.append(control_actions.Tell(vm, message))
        return actions

    def take_reports(self, message: peer_messages.EvidenceReports, now: float) -> None:
        """Pool another VM's evidence."""
        pool = self._find_pool(message.service)
        if pool is not None:
            for report in message.items:
                pool.add(message.observer, report, now)

    def tell_levels(self, now: float) -> Actions:
        """Tell the fleet the pooled scores that matter."""
        actions: Actions = []
        watch = self._members.watch()
        for service, pool in self._pools.items():
            least = NOTICED_SHARE * pool.threshold
            levels = [
                level
                for level in pool.list_levels(watch, now)
                if _find_highest(level) >= least
            ]
            scores = {level.target: _find_highest(level) for level in levels}
            cleared = set(self._levels_sent.get(service, {})) - set(scores)
            if not self._is_worth_telling(service, scores, pool.threshold, now):
                continue
            self._levels_sent[service] = scores
            self._told_at[service] = now
            self._sequence += 1
            levels += [evidence_pool.Level(name, 0.0, ()) for name in sorted(cleared)]
            message = peer_messages.SuspicionLevels(
                service, self._members.own.vm, self._sequence, tuple(levels)
            )
            self._use_levels(message, now)
            actions += self._flood(message, "", now)
        return actions

    def _is_worth_telling(
        self, service: str, scores: dict[str, float], threshold: float, now: float
    ) -> bool:
        """Return whether scores have changed, or are about to lapse.

        Every VM hears each telling about eight times, so noise must not be told.
        """
        before = self._levels_sent.get(service, {})
        if set(before) != set(scores):
            return True
        step = CHANGED_SHARE * threshold
        if any(abs(scores[name] - before[name]) > step for name in scores):
            return True
        return bool(scores) and now >= self._told_at.get(service, now) + RETELL_AFTER

    def take_levels(
        self, sender: str, message: peer_messages.SuspicionLevels, now: float
    ) -> Actions:
        """Steer by another VM's pooled scores, and tell them on."""
        key = (message.service, message.pooled_by)
        if message.sequence <= self._levels_seen.get(key, 0):
            return []
        self._levels_seen[key] = message.sequence
        self._use_levels(message, now)
        return self._flood(message, sender, now)

    def propose_ejections(self, now: float) -> Actions:
        """Propose what the evidence supports, where this VM pools first."""
        actions: Actions = []
        watch = self._members.watch()
        for service, pool in self._pools.items():
            routing = self._routers.get(service)
            if routing is None or self._pick_pools(service)[0] != self._members.own.vm:
                continue
            places = {
                target.name: target.data_centre
                for target in routing.service.targets
                if routing.is_in_service(target, now)
            }
            for level in pool.list_condemned(places, watch, now):
                actions += self._propose(service, level.target, level.overall, now)
        return actions

    def _collect(
        self, name: str, routing: router.Router, now: float
    ) -> tuple[evidence_pool.Report, ...]:
        """Return all fresh outcomes.

        The good ones matter as much: told only of the bad, a pool would sum up the
        bad luck of many VMs, and condemn healthy targets (see docs/DETECTION.md).
        """
        fresh = routing.health.take_unsent()
        targets = [target.name for target in routing.service.targets]
        doubts = routing.health.suspects_observer(targets, now)
        self._note_doubt(name, doubts, now)
        if doubts:
            return ()
        return tuple(
            evidence_pool.Report(subject, tally) for subject, tally in fresh.items()
        )

    def _note_doubt(self, name: str, doubts: bool, now: float) -> None:
        if doubts and name not in self._doubting:
            self._doubting.add(name)
            kind = timeline.EventKind.SELF_DOUBTED
            detail = "most targets look bad from here: evidence is kept back"
            self._events.record(kind, name, detail, now)
        elif not doubts:
            self._doubting.discard(name)

    def _pick_pools(self, service: str) -> list[str]:
        if self._members.revision != self._picked_at:
            self._picked_at = self._members.revision
            self._picked.clear()
        found = self._picked.get(service)
        if found is None:
            names = [member.vm for member in self._members.list_alive()]
            names.append(self._members.own.vm)
            found = rendezvous.pick(f"pool/{service}", names, POOLS_PER_SERVICE)
            self._picked[service] = found
        return found

    def _find_pool(self, service: str) -> evidence_pool.EvidencePool | None:
        routing = self._routers.get(service)
        if routing is None:
            return None
        pool = self._pools.get(service)
        if pool is None or pool.threshold != routing.health.threshold:
            pool = evidence_pool.EvidencePool(routing.health.threshold)
            self._pools[service] = pool
        return pool

    def _use_levels(self, message: peer_messages.SuspicionLevels, now: float) -> None:
        routing = self._routers.get(message.service)
        if routing is None:
            return
        threshold = routing.health.threshold
        place = self._members.own.data_centre
        for level in message.items:
            score = level.find_for(place)
            routing.set_pooled_score(level.target, score, now + LEVELS_VALID_FOR)
            self._note_level(message, level.target, score, threshold, now)

    def _note_level(
        self,
        message: peer_messages.SuspicionLevels,
        target: str,
        level: float,
        threshold: float,
        now: float,
    ) -> None:
        key = (message.service, target)
        subject = f"{message.service}/{target}"
        if level > 0 and key not in self._noticed:
            self._noticed.add(key)
            detail = f"level {level:.1f} of {threshold:.1f}, by {message.pooled_by}"
            kind = timeline.EventKind.SUSPECTED
            self._events.record(kind, subject, detail, now)
        elif level == 0 and key in self._noticed:
            self._noticed.discard(key)
            kind = timeline.EventKind.CLEARED
            self._events.record(kind, subject, "evidence has sunk", now)

    def _propose(self, service: str, target: str, level: float, now: float) -> Actions:
        key = (service, target)
        if now < self._proposed_at.get(key, now - PROPOSAL_PAUSE) + PROPOSAL_PAUSE:
            return []
        self._proposed_at[key] = now
        count = self._ledger.count_ejections(service, target, now - FLAP_MEMORY)
        lease = min(MOST_LEASE, FIRST_LEASE * 2**count)
        ejection = ejections.Ejection(
            service, target, self._members.own.vm, now, now + lease, level
        )
        kind = timeline.EventKind.EJECTION_PROPOSED
        detail = f"level {level:.1f}, for {lease:.0f} s"
        self._events.record(kind, f"{service}/{target}", detail, now)
        return [control_actions.AppendConfig(ejections.pack(ejection))]


def _find_highest(level: evidence_pool.Level) -> float:
    return max([level.overall, *(score for _, score in level.by_data_centre)])
