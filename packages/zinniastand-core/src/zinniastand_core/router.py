"""Choice of targets for one service on one VM: which one gets the next attempt."""

from __future__ import annotations

import collections
import math
import random
import typing

from . import (
    admission,
    baselines,
    budgets,
    choice,
    evidence,
    health,
    services,
    steering,
)

COLD_START_S = 5.0
"""Time over which the weight of a new or readmitted target rises to its full value."""

SHED_DELAY_S = 0.05
"""Time for which other targets are preferred to one that refused for lack of slots."""

WEIGHTS_LIFETIME_S = 0.05
"""Time for which calculated weights are reused."""

LEAVING_DURATION_S = 30.0
"""Time for which a target that announced that it is leaving gets no new work."""


class Router:
    """State of one service's targets on one VM; implements `attempt_actions.Chooser`.

    Parameters
    ----------
    service : services.Service
        The service, from the bundle.
    generator : random.Random
        Source of randomness.
    now : float
        Unix seconds. The targets of `service` start warm.
    """

    def __init__(
        self, service: services.Service, generator: random.Random, now: float
    ) -> None:
        self.service = service
        self.health = health.Health(evidence.find_threshold(service.detection_weight))
        self.admission = admission.Admission(service.max_in_flight, service.max_queue)
        self._generator = generator
        self._in_flight: dict[str, float] = collections.defaultdict(float)
        self._warm_at: dict[str, float] = {t.name: now for t in service.targets}
        self._shed_until: dict[str, float] = {}
        self._leaving_until: dict[str, float] = {}
        self._untold_leaving: set[str] = set()
        self._ejected: set[str] = set()
        self._pooled: dict[str, tuple[float, float]] = {}
        self._weighted: tuple[float, list[steering.Weighted]] | None = None
        self._retries = budgets.ShareBudget(budgets.RETRY_SHARE, budgets.RETRY_RESERVE)
        self._hedges = budgets.ShareBudget(budgets.HEDGE_SHARE, budgets.HEDGE_RESERVE)

    def replace_service(self, service: services.Service, now: float) -> None:
        """Apply the service's definition from a new bundle.

        Targets that are new or have moved to another address start cold; the others
        keep their state.
        """
        for target in service.targets:
            old = self.service.find_target(target.name)
            is_new = old is None or (old.host, old.port) != (target.host, target.port)
            if is_new:
                self._warm_at[target.name] = now + COLD_START_S
                self.health.reset_scores(target.name)
        names = {target.name for target in service.targets}
        for table in (self._warm_at, self._shed_until, self._leaving_until):
            for name in [name for name in table if name not in names]:
                del table[name]
        self.health.keep_only(names)
        self.health.threshold = evidence.find_threshold(service.detection_weight)
        self.admission.resize(service.max_in_flight, service.max_queue)
        self.service = service
        self._weighted = None

    def choose(
        self, kind: services.Kind, excluded: typing.AbstractSet[str], now: float
    ) -> services.Target | None:
        """Return a target for the next attempt, or None if none may get it.

        At-most-once work avoids suspects, and all work avoids targets that have just
        refused for lack of slots, as long as other targets are left.
        """
        weighted = [w for w in self.weigh(now) if w.target.name not in excluded]
        if kind.work is services.Work.AT_MOST_ONCE:
            healthy = [item for item in weighted if not item.is_suspect]
            weighted = healthy or weighted
        free = [w for w in weighted if self._shed_until.get(w.target.name, 0) <= now]
        return choice.pick_target(free or weighted, self._in_flight, self._generator)

    def may_retry(self, now: float) -> bool:
        """Return whether the retry budget allows one more attempt, and spend it.

        Attempts after a refusal for lack of slots don't use this budget: such a refusal
        costs a target next to nothing, and delays keep them few.
        """
        return self._retries.spend()

    def may_hedge(self, now: float) -> bool:
        """Return whether the hedge budget allows one more, and spend it.

        In an overload every answer is late, and hedges without a limit would add load.
        """
        return self._hedges.spend()

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return the unix time at which to hedge, or None while no limit is known."""
        subject = baselines.Subject(target.name, kind.name)
        after = self.health.find_overdue_after(subject)
        return None if after is None else now + after

    def weigh(self, now: float) -> list[steering.Weighted]:
        """Return the targets that may get work, with their weights.

        The list is cached for `WEIGHTS_LIFETIME_S`, or until there is evidence against
        a target: calculating it for each request would cost more than all other
        decisions together.
        """
        if self._weighted is None or self._weighted[0] <= now:
            weighted = self._calculate_weights(now)
            self._weighted = (now + WEIGHTS_LIFETIME_S, weighted)
        return self._weighted[1]

    def _calculate_weights(self, now: float) -> list[steering.Weighted]:
        conditions = [
            steering.Condition(
                target,
                self.find_level(target.name, now) / self.health.threshold,
                self._find_warmth(target.name, now),
            )
            for target in self.service.targets
            if self.is_in_service(target, now)
        ]
        return steering.calculate_weights(conditions, self.service.floor_slots)

    def is_in_service(self, target: services.Target, now: float) -> bool:
        """Return whether a target may get new work."""
        if target.draining or target.name in self._ejected:
            return False
        return not self.is_leaving(target.name, now)

    def is_leaving(self, target: str, now: float) -> bool:
        """Return whether a target has announced lately that it is leaving."""
        return self._leaving_until.get(target, 0.0) > now

    def find_level(self, target: str, now: float) -> float:
        """Return the higher of a target's own score on this VM and its pooled score."""
        own = self.health.find_level(target, now)
        pooled, valid_until = self._pooled.get(target, (0.0, 0.0))
        return max(own, pooled) if now < valid_until else own

    def set_pooled_score(self, target: str, level: float, valid_until: float) -> None:
        """Set the score of a target that follows from the evidence of several VMs.

        Parameters
        ----------
        target : str
            Name of the target.
        level : float
            The score.
        valid_until : float
            Unix seconds from which the score no longer counts.
        """
        self._pooled[target] = (level, valid_until)
        self._weighted = None

    def list_ejected(self) -> set[str]:
        """Return the targets that are ejected now."""
        return set(self._ejected)

    def set_ejected(self, ejected: set[str], now: float) -> None:
        """Set the ejections in force; targets that are readmitted start cold."""
        for name in self._ejected - ejected:
            self._warm_at[name] = now + COLD_START_S
            self.health.reset_scores(
                name, level=self.health.threshold * steering.FULL_WEIGHT_LEVEL
            )
            self._pooled.pop(name, None)
        if ejected != self._ejected:
            self._weighted = None
        self._ejected = set(ejected)

    def mark_leaving(self, target: str, now: float, until: float = math.inf) -> None:
        """Send no new work to a target for `LEAVING_DURATION_S`, or until sooner.

        The target itself, or the VM list, has announced that it is leaving.
        """
        self._leaving_until[target] = min(until, now + LEAVING_DURATION_S)
        self._weighted = None

    def record_leaving(self, target: str, now: float) -> None:
        """Record that a target has refused a request of this VM because it is leaving.

        Other VMs have yet to be told.
        """
        if not self.is_leaving(target, now):
            self._untold_leaving.add(target)
        self.mark_leaving(target, now)

    def take_leaving(self) -> list[services.Target]:
        """Return the leaving targets of which other VMs have yet to be told."""
        names, self._untold_leaving = self._untold_leaving, set()
        return [target for target in self.service.targets if target.name in names]

    def record_start(self, target: str, is_first: bool) -> None:
        """Record that an attempt was sent.

        Parameters
        ----------
        target : str
            Name of the target.
        is_first : bool
            Whether it is the first attempt of its request, which refills the budgets
            of retries and hedges.
        """
        self._in_flight[target] += 1
        if is_first:
            self._retries.record_first_attempt()
            self._hedges.record_first_attempt()

    def record_end(self, target: str) -> None:
        """Record that an attempt ended, whatever its result."""
        self._in_flight[target] -= 1
        if self._in_flight[target] <= 0:
            del self._in_flight[target]

    def record_shed(self, target: str, now: float) -> None:
        """Record that a target refused for lack of slots, which is not a fault."""
        self._shed_until[target] = now + SHED_DELAY_S

    def find_pause_end(
        self, kind: services.Kind, deadline: float, now: float
    ) -> float | None:
        """Return the unix time at which to try again after several full targets.

        Several targets without a free slot mean that the fleet sends more than it has
        slots for, so this VM also admits fewer requests. Returns None if an answer
        could not arrive by the deadline any more; the request is then refused at once.
        """
        self.admission.lower_limit(now)
        typical = self.health.find_typical_latency(kind.name) or 0.0
        resume_at = now + self._generator.uniform(SHED_DELAY_S / 2, 2 * SHED_DELAY_S)
        return resume_at if resume_at + typical < deadline else None

    def observe(self, target: str, kind: str, sign: evidence.Sign, now: float) -> None:
        """Record the outcome of an attempt as evidence for or against a target.

        Slow answers of a target that is still warming up are ignored.
        """
        is_cold = self._find_warmth(target, now) < 1.0
        if is_cold and sign is evidence.Sign.SLOW:
            return
        self.health.observe(baselines.Subject(target, kind), sign, now)
        if sign is not evidence.Sign.GOOD:
            self._weighted = None

    def _find_warmth(self, target: str, now: float) -> float:
        remaining = self._warm_at.get(target, now) - now
        return 1.0 - min(1.0, max(0.0, remaining / COLD_START_S))
