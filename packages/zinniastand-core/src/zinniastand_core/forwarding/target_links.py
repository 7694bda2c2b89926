"""Which targets this VM can open connections to, by its own recent experience.

A single failed connection may be the fault of the target. Where connections to several
targets of a service fail in turn, the links of this VM may be at fault. If connections
to further targets fail as well, the links to all targets of the service are lost.
"""

from __future__ import annotations

import collections.abc

MIN_FAILED_TARGETS = 2
"""Targets of a service at which connections must fail in turn, without a success in
between, before this VM's links to all of them are in doubt."""


class TargetLinks:
    """The links of this VM to the targets.

    A link that is lost stays so until a connection to its target succeeds.
    """

    def __init__(self) -> None:
        self._lost_targets: dict[str, str] = {}
        self._failed_in_turn: dict[str, set[str]] = {}
        self._lost_services: set[str] = set()

    def record_failure(self, service: str, target_id: str) -> bool:
        """Record that a connection to a target failed.

        Returns
        -------
        bool
            Whether the links to all targets of its service are in doubt.
        """
        self._lost_targets[target_id] = service
        in_turn = self._failed_in_turn.setdefault(service, set())
        in_turn.add(target_id)
        is_known = service in self._lost_services
        return not is_known and len(in_turn) >= MIN_FAILED_TARGETS

    def record_loss(self, service: str) -> None:
        """Record that the links to all targets of a service are lost."""
        self._lost_services.add(service)

    def record_success(self, service: str, target_id: str) -> bool:
        """Record that a connection to a target was opened.

        Returns
        -------
        bool
            Whether the links to all targets of its service counted as lost until now.
        """
        self._lost_targets.pop(target_id, None)
        self._failed_in_turn.pop(service, None)
        if service not in self._lost_services:
            return False
        self._lost_services.discard(service)
        return True

    def is_lost(self, service: str, target_id: str) -> bool:
        """Return whether the link to a target is lost."""
        return service in self._lost_services or target_id in self._lost_targets

    def has_lost_service(self, service: str) -> bool:
        """Return whether the links to all targets of a service are lost."""
        return service in self._lost_services

    def has_failed(self, target_id: str) -> bool:
        """Return whether the last connection to a target failed."""
        return target_id in self._lost_targets

    @property
    def lost_services(self) -> frozenset[str]:
        """Services to whose targets all links are lost."""
        return frozenset(self._lost_services)

    @property
    def lost_targets(self) -> tuple[str, ...]:
        """Targets to which a connection failed last."""
        return tuple(self._lost_targets)

    def keep_only(self, target_ids: collections.abc.Collection[str]) -> None:
        """Forget all other targets, which are not registered any more."""
        self._lost_targets = {
            target_id: service
            for target_id, service in self._lost_targets.items()
            if target_id in target_ids
        }
        for service, in_turn in list(self._failed_in_turn.items()):
            in_turn.intersection_update(target_ids)
            if not in_turn:
                del self._failed_in_turn[service]
