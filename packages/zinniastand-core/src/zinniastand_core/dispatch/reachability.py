"""Reports of VMs that could not connect to the targets of a shard.

A failed connection may be the fault of the target or of the path of the VM that reports
it. The path is at fault if the VM fails at several targets in turn, or if other VMs
reach the target.
"""

from __future__ import annotations

REPORT_RETENTION_S = 1.0
"""Seconds for which a report counts."""

MIN_UNREACHABLE_VMS = 2
"""VMs that must fail to connect before a target counts as unreachable for all. A single
VM may itself be cut off."""

MIN_FAILED_TARGETS = 2
"""Targets at which a VM must fail in turn, without reaching any in between, before its
reports say something about its own path only."""


class Reachability:
    """Which targets of a shard several VMs could not connect to."""

    def __init__(self) -> None:
        self._failed_until: dict[str, dict[str, float]] = {}
        self._failed_in_turn: dict[str, set[str]] = {}

    def record_failure(self, target_id: str, vm: str, now: float) -> bool:
        """Record that a VM could not connect to a target.

        Returns
        -------
        bool
            Whether the target counts as unreachable now.
        """
        in_turn = self._failed_in_turn.setdefault(vm, set())
        in_turn.add(target_id)
        if len(in_turn) >= MIN_FAILED_TARGETS:
            for reports in self._failed_until.values():
                reports.pop(vm, None)
            return False
        reports = self._failed_until.setdefault(target_id, {})
        reports[vm] = now + REPORT_RETENTION_S
        current = sum(1 for until in reports.values() if until > now)
        if current < MIN_UNREACHABLE_VMS:
            return False
        reports.clear()
        return True

    def record_contact(self, target_id: str, vm: str) -> None:
        """Record that a VM got an answer of a target, which clears both."""
        self._failed_in_turn.pop(vm, None)
        self._failed_until.pop(target_id, None)

    def keep_only(self, target_ids: set[str]) -> None:
        """Drop the reports about all other targets."""
        self._failed_until = {
            target_id: reports
            for target_id, reports in self._failed_until.items()
            if target_id in target_ids
        }
        for vm, in_turn in list(self._failed_in_turn.items()):
            in_turn &= target_ids
            if not in_turn:
                del self._failed_in_turn[vm]
