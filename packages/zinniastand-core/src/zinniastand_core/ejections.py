"""Ejections of targets from service, granted in log order without breaking the floor.

An ejection is a record on the same stream as the bundles, and the rule that grants it
is a pure function, so all VMs that have read the same entries grant the same
ejections. Each is a lease: it ends by itself at its deadline, and a VM that cannot
read the log ejects nothing new. A VM that has not yet read an ejection continues to
use the target, which never lowers capacity.
"""

from __future__ import annotations

import dataclasses
import typing

import expression

from . import bundles, codec, services

EJECTION = "ejection"
"""Type of the record of an ejection: the first field of its encoding."""

MAX_LEASE_S = 600.0
"""Longest ejection that is granted."""

MS_PER_S = 1000

MAX_CLOCK_ERROR_S = 1.0
"""Maximum difference between the clocks of two VMs."""

RAMP_S = 10.0
"""Time after which a target that was readmitted has its full capacity again."""

HOLD_AFTER_DEADLINE_S = 2 * MAX_CLOCK_ERROR_S + RAMP_S
"""Time past its deadline for which an ejection still holds the slots of its target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """Lease that takes a target out of service until a deadline."""

    service: str
    """Name of the service."""

    target: str
    """Name of the target."""

    ejected_by: str
    """VM that proposed it."""

    proposed_at: float
    """Unix seconds, whole milliseconds, by the proposer's clock."""

    deadline: float
    """Unix seconds, whole milliseconds, at which the lease ends."""

    level: float
    """Pooled score of the target when it was proposed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether an ejection was granted."""

    ejection: Ejection
    """Ejection that was decided on."""

    granted: bool
    """Whether the ejection is in force."""

    reason: str
    """Why it was refused, or empty if granted."""


class EjectionLedger:
    """Ejections granted in the part of the log that this VM has read."""

    def __init__(self) -> None:
        self._granted: list[Ejection] = []
        self._counts: dict[tuple[str, str], tuple[int, Ejection]] = {}
        self._latest_grant_at = 0.0

    def apply(self, ejection: Ejection, bundle: bundles.Bundle) -> Decision:
        """Decide on the next ejection of the log, and grant it if allowed."""
        service = bundle.find_service(ejection.service)
        if service is None:
            return Decision(ejection, False, "no such service")
        reason = self.find_objection(ejection, service)
        if not reason:
            self.grant(ejection)
        return Decision(ejection, not reason, reason)

    def grant(self, ejection: Ejection) -> None:
        """Put an ejection in force without checking for objections."""
        self._latest_grant_at = max(self._latest_grant_at, ejection.proposed_at)
        self._granted = [
            e for e in self._granted if _holds_slots(e, ejection.proposed_at)
        ]
        self._granted.append(ejection)
        key = (ejection.service, ejection.target)
        count, _ = self._counts.get(key, (0, ejection))
        self._counts[key] = (count + 1, ejection)

    def revoke_for(self, bundle: bundles.Bundle) -> list[Ejection]:
        """Revoke the latest grants for which a new bundle leaves too few slots.

        The time used is that of the latest grant, not this VM's clock. VMs that read
        the bundle at different times must revoke the same grants; otherwise their
        later grants would differ and together go below the floor.
        """
        revoked: list[Ejection] = []
        for service in bundle.services:
            while (
                self._count_available(service, self._latest_grant_at)
                < service.floor_slots
            ):
                grants = [e for e in self._granted if e.service == service.name]
                grants = [e for e in grants if _holds_slots(e, self._latest_grant_at)]
                if not grants:
                    break
                self._granted.remove(grants[-1])
                revoked.append(grants[-1])
        return revoked

    def list_ejected(self, service: services.Service, now: float) -> set[str]:
        """Return the names of the targets of `service` that are ejected now.

        Grants are applied from the oldest on, as far as the floor allows on this VM:
        drains that only this VM knows of may have lowered the capacity.
        """
        available_slots = sum(
            target.slots for target in service.targets if not target.draining
        )
        ejected: set[str] = set()
        for ejection in self._granted:
            target = service.find_target(ejection.target)
            if ejection.service != service.name or target is None or target.draining:
                continue
            if ejection.deadline <= now or target.name in ejected:
                continue
            if available_slots - target.slots >= service.floor_slots:
                available_slots -= target.slots
                ejected.add(target.name)
        return ejected

    def list_granted(self) -> list[Ejection]:
        """Return the grants that may still hold slots, oldest first.

        Expired grants are dropped only when another is granted.
        """
        return list(self._granted)

    def count_ejections(self, service: str, target: str, since: float) -> int:
        """Return how often a target was ejected in all.

        The count is 0 if its last ejection ended before `since` (Unix seconds).
        """
        count_and_latest = self._counts.get((service, target))
        if count_and_latest is None or count_and_latest[1].deadline < since:
            return 0
        return count_and_latest[0]

    def find_objection(self, ejection: Ejection, service: services.Service) -> str:
        """Return why an ejection is refused, or an empty string if it is not."""
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
        remaining_slots = self._count_available(service, at) - target.slots
        if remaining_slots < service.floor_slots:
            return f"{remaining_slots} slots would be left, under the floor"
        return ""

    def _count_available(self, service: services.Service, at: float) -> int:
        """Return the number of slots neither draining nor held by a grant.

        A grant holds its slots for `HOLD_AFTER_DEADLINE_S` past its deadline: clocks
        differ by up to `MAX_CLOCK_ERROR_S`, and a target that returns reaches its full
        capacity only after `RAMP_S`.
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
    """Return the log record of an ejection, with times in ms and level in 1/1000."""
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
    """Return the ejection in the body of a record, or None if it is malformed."""
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
    """Return the ejection in a log record, or None if it holds none."""
    match codec.decode(data):
        case expression.Result(tag="ok", ok=[kind, body]) if kind == EJECTION:
            return unpack(body)
        case _:
            return None
