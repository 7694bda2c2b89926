"""The usual rule of proxies as a baseline: each VM ejects a target for a fixed time
after some errors in a row.
"""

from __future__ import annotations

import typing

from zinniastand_core import evidence, router, services

ERRORS_TO_EJECT = 5
EJECTION_TIME_S = 30.0
MAX_EJECTED_DIVISOR = 3
"""A VM ejects no more targets than their number divided by this."""


class Vm(typing.Protocol):
    """State that the baseline keeps for a VM."""

    router: router.Router
    """Router of the VM, which chooses among the targets that are not ejected."""

    consecutive_errors: dict[str, int]
    """Number of errors in a row, by the name of the target."""

    ejected_until: dict[str, float]
    """Time until which a target is ejected on this VM, by its name."""


class ConsecutiveChooser:
    """Chooses targets by the router of a VM, without those that the VM has ejected."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm

    def choose(
        self, kind: services.Kind, excluded: typing.AbstractSet[str], now: float
    ) -> services.Target | None:
        """Return a target that is not ejected, or any if the router finds none."""
        ejected = {
            name for name, until in self._vm.ejected_until.items() if until > now
        }
        return self._vm.router.choose(kind, ejected | excluded, now) or (
            self._vm.router.choose(kind, excluded, now)
        )

    def may_retry(self, now: float) -> bool:
        """Return whether the router allows a retry."""
        return self._vm.router.may_retry(now)

    def find_pause_end(
        self, kind: services.Kind, deadline: float, now: float
    ) -> float | None:
        """Return when the router allows an attempt after full targets, if ever."""
        return self._vm.router.find_pause_end(kind, deadline, now)

    def may_hedge(self, now: float) -> bool:
        """Return False: the baseline does not hedge."""
        return False

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return None: the baseline does not hedge."""
        return None


def record_sign(vm: Vm, name: str, sign: evidence.Sign, now: float) -> bool:
    """Record the result of an attempt; return whether the VM ejects the target now."""
    if sign is evidence.Sign.GOOD:
        vm.consecutive_errors[name] = 0
    if sign is not evidence.Sign.ERROR:
        return False
    vm.consecutive_errors[name] = vm.consecutive_errors.get(name, 0) + 1
    ejected = sum(until > now for until in vm.ejected_until.values())
    max_ejected = len(vm.router.service.targets) // MAX_EJECTED_DIVISOR
    if vm.consecutive_errors[name] >= ERRORS_TO_EJECT and ejected < max_ejected:
        vm.consecutive_errors[name] = 0
        vm.ejected_until[name] = now + EJECTION_TIME_S
        return True
    return False
