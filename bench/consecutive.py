"""The usual baseline: some errors in a row, then out for a fixed time, VM by VM."""

from __future__ import annotations

import typing

from zinniastand_core import evidence, router, services

CONSECUTIVE_ERRORS = 5
CONSECUTIVE_OUT_FOR = 30.0
MOST_OUT = 3


class Vm(typing.Protocol):
    """What the baseline keeps at a VM."""

    router: router.Router
    """Its router, used for the choice among those that are left."""

    failures: dict[str, int]
    """Errors in a row, by target."""

    out_until: dict[str, float]
    """Until when a target is out on this VM."""


class ConsecutiveChooser:
    """The usual baseline: N errors in a row, then out for a fixed time, VM by VM."""

    def __init__(self, vm: Vm) -> None:
        self._vm = vm

    def choose(
        self, kind: services.Kind, excluded: typing.AbstractSet[str], now: float
    ) -> services.Target | None:
        """Return a target that is not out on this VM."""
        out = {name for name, until in self._vm.out_until.items() if until > now}
        return self._vm.router.choose(kind, out | excluded, now) or (
            self._vm.router.choose(kind, excluded, now)
        )

    def may_retry(self, now: float) -> bool:
        """Return what the router allows."""
        return self._vm.router.may_retry(now)

    def find_pause_end(
        self, kind: services.Kind, deadline: float, now: float
    ) -> float | None:
        """Return what the router says."""
        return self._vm.router.find_pause_end(kind, deadline, now)

    def may_hedge(self, now: float) -> bool:
        """Return False: the baseline does not hedge."""
        return False

    def find_hedge_time(
        self, kind: services.Kind, target: services.Target, now: float
    ) -> float | None:
        """Return None: the baseline does not hedge."""
        return None


def count(vm: Vm, name: str, sign: evidence.Sign, now: float) -> bool:
    """Count errors in a row; return whether the VM ejects the target now."""
    if sign is evidence.Sign.GOOD:
        vm.failures[name] = 0
    if sign is not evidence.Sign.ERROR:
        return False
    vm.failures[name] = vm.failures.get(name, 0) + 1
    out = sum(until > now for until in vm.out_until.values())
    most = len(vm.router.service.targets) // MOST_OUT
    if vm.failures[name] >= CONSECUTIVE_ERRORS and out < most:
        vm.failures[name] = 0
        vm.out_until[name] = now + CONSECUTIVE_OUT_FOR
        return True
    return False
