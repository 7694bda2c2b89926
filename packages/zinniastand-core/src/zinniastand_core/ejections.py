"""Ejections from service, granted by one pure rule in log order under the floor.

An ejection is a record on the same stream as the bundles, so every VM that has read
equally far grants the same ones. Each is a lease: it ends by itself at its deadline,
and a VM that cannot read the log ejects nothing new. A VM that has not heard of an
ejection goes on using the target, which never lowers capacity.
"""

from __future__ import annotations

import dataclasses
import typing

import expression

from . import bundles, codec, services

EJECTION = "ejection"
MAX_LEASE_S = 600.0
MS_PER_S = 1000
MAX_CLOCK_ERROR_S = 1.0
RAMP_S = 10.0
HOLD_AFTER_DEADLINE_S = 2 * MAX_CLOCK_ERROR_S + RAMP_S


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """A target taken out of service for a while."""

    service: str
    """Name of the service."""

    target: str
    """Name of the target."""

    ejected_by: str
    """VM that proposed it."""

    proposed_at: float
    """Unix seconds, whole milliseconds, by the proposer's clock."""

    deadline: float
    """Unix seconds, whole milliseconds, at which it ends by itself."""

    level: float
    """Pooled score that it rests on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether an ejection was granted."""

    ejection: Ejection
    """Which."""

    granted: bool
    """Whether it is in force."""

    reason: str
    """Why not, or empty."""


class EjectionLedger:
    """The ejections granted so far, as one VM has read them."""

    def __init__(self) -> None:
        self._granted: list[Ejection] = []
        self._counts: dict[tuple[str, str], tuple[int, Ejection]] = {}
        self._latest_grant_at = 0.0

    def apply(self, ejection: Ejection, bundle: bundles.Bundle) -> Decision:
        """Rule on the next ejection of the log."""
        service = bundle.find_service(ejection.service)
        if service is None:
            return Decision(ejection, False, "no such service")
        reason = self.find_objection(ejection, service)
        if not reason:
            self.grant(ejection)
        return Decision(ejection, not reason, reason)

    def grant(self, ejection: Ejection) -> None:
        """Put an ejection in force that nothing objects to."""
        self._latest_grant_at = max(self._latest_grant_at, ejection.proposed_at)
        self._granted = [
            e for e in self._granted if _holds_slots(e, ejection.proposed_at)
        ]
        self._granted.append(ejection)
        key = (ejection.service, ejection.target)
        count, _ = self._counts.get(key, (0, ejection))
        self._counts[key] = (count + 1, ejection)

    def revoke_for(self, bundle: bundles.Bundle) -> list[Ejection]:
        """Revoke the latest grants that a new bundle leaves no room for.

        It goes by the time of the latest grant, not by this VM's clock: two VMs that
        read the bundle at different times must revoke the same, or their later grants
        would differ and together go below the floor.
        """
        revoked: list[Ejection] = []
        for service in bundle.services:
            while (
                self._count_available(service, self._latest_grant_at)
                < service.floor_slots
            ):
                ours = [e for e in self._granted if e.service == service.name]
                ours = [e for e in ours if _holds_slots(e, self._latest_grant_at)]
                if not ours:
                    break
                self._granted.remove(ours[-1])
                revoked.append(ours[-1])
        return revoked

    def list_ejected(self, service: services.Service, now: float) -> set[str]:
        """Return the targets of `service` that are out now.

        The oldest grants come first, and no more than the floor allows in the view of
        this VM: drains that only this VM knows of may have lowered the capacity.
        """
        left = sum(target.slots for target in service.targets if not target.draining)
        ejected: set[str] = set()
        for ejection in self._granted:
            target = service.find_target(ejection.target)
            if ejection.service != service.name or target is None or target.draining:
                continue
            if ejection.deadline <= now or target.name in ejected:
                continue
            if left - target.slots >= service.floor_slots:
                left -= target.slots
                ejected.add(target.name)
        return ejected

    def list_granted(self) -> list[Ejection]:
        """Return the grants that may still hold slots, oldest first."""
        return list(self._granted)

    def count_ejections(self, service: str, target: str, since: float) -> int:
        """Return how often a target was ejected, or 0 if not since `since`."""
        known = self._counts.get((service, target))
        if known is None or known[1].deadline < since:
            return 0
        return known[0]

    def find_objection(self, ejection: Ejection, service: services.Service) -> str:
        """Return why an ejection is not granted, or an empty string."""
        target = service.find_target(ejection.target)
        if target is None:
            return "no such target"
        if target.draining:
            return "already draining"
        length = ejection.deadline - ejection.proposed_at
        if not 0 < length <= MAX_LEASE_S:
            return "lease out of bounds"
        at = ejection.proposed_at
        if any(
            e.service == service.name and e.target == target.name
            for e in self._granted
            if e.deadline > at
        ):
            return "already ejected"
        left = self._count_available(service, at) - target.slots
        if left < service.floor_slots:
            return f"{left} slots would be left, under the floor"
        return ""

    def _count_available(self, service: services.Service, at: float) -> int:
        """Return slots not draining and not held by a grant.

        A grant holds its slots a while past its deadline: clocks differ, and a target
        that comes back ramps up, so its capacity is not whole yet.
        """
        held = {
            ejection.target
            for ejection in self._granted
            if ejection.service == service.name and _holds_slots(ejection, at)
        }
        return sum(
            target.slots
            for target in service.targets
            if not target.draining and target.name not in held
        )


def _holds_slots(ejection: Ejection, at: float) -> bool:
    return ejection.deadline + HOLD_AFTER_DEADLINE_S > at


def pack(ejection: Ejection) -> bytes:
    """Return the log record of an ejection."""
    fields = [
        ejection.service,
        ejection.target,
        ejection.ejected_by,
        round(ejection.proposed_at * MS_PER_S),
        round(ejection.deadline * MS_PER_S),
        round(ejection.level * MS_PER_S),
    ]
    return codec.encode([EJECTION, fields])


def unpack(body: typing.Any) -> Ejection | None:
    """Return the ejection in the body of a record, or None."""
    match body:
        case [str(service), str(target), str(by), int(at), int(until), int(level)]:
            return Ejection(
                service,
                target,
                by,
                at / MS_PER_S,
                until / MS_PER_S,
                level / MS_PER_S,
            )
        case _:
            return None


def read(data: bytes) -> Ejection | None:
    """Return the ejection in a log record, or None."""
    match codec.decode(data):
        case expression.Result(tag="ok", ok=[kind, body]) if kind == EJECTION:
            return unpack(body)
        case _:
            return None
