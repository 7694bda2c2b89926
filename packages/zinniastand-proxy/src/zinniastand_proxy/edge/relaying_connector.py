"""Connects to targets directly, or through other VMs where this VM lost its links."""

from __future__ import annotations

import collections.abc
import contextlib
import itertools
import random

import anyio

from zinniastand_core.deployment import targets
from zinniastand_core.forwarding import target_links

from . import log_lines, relay_client, target_connector

PROBE_INTERVAL_S = 0.5
"""Seconds between two attempts to find out whether a lost link works again. Meanwhile
requests are relayed, so that nothing depends on noticing it sooner."""

MAX_PROBES = 8
"""Links that are found to work again one after the other, before the next interval."""

PROBED_TARGETS = 2
"""Targets that are connected to in order to tell a lost link from a target that is
down."""


class WatchedConnector:
    """Opens direct connections, and records which of them fail.

    Parameters
    ----------
    links : target_links.TargetLinks
        The links of this VM.
    registry : targets.Registry
        Targets known to this VM.
    log : log_lines.LogLines
        Gets a line when links are lost and when they work again.
    rng : random.Random
        Chooses targets to connect to.
    """

    def __init__(
        self,
        links: target_links.TargetLinks,
        registry: targets.Registry,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._links = links
        self._registry = registry
        self._log = log
        self._rng = rng
        self._direct = target_connector.DirectConnector()
        self._services_in_check: set[str] = set()
        self._on_lost: collections.abc.Callable[[str], None] = lambda service: None

    @property
    def opened_connections(self) -> int:
        """Number of attempts to open a connection."""
        return self._direct.opened_connections

    def use_lost_handler(self, on_lost: collections.abc.Callable[[str], None]) -> None:
        """Call `on_lost` with each service to whose targets all links are lost."""
        self._on_lost = on_lost

    def has_lost_service(self, service: str) -> bool:
        """Return whether the links to all targets of a service are lost."""
        return self._links.has_lost_service(service)

    def is_cut_off(self, service: str) -> bool:
        """Return whether the connections to all targets of a service have failed."""
        usable = self._registry.list_usable(service, anyio.current_time())
        return self._links.has_lost_service(service) and all(
            self._links.has_failed(entry.target_id) for entry in usable
        )

    def has_failed(self, target: targets.Entry) -> bool:
        """Return whether the last direct connection to a target failed."""
        return self._links.has_failed(target.target_id)

    def has_direct_link(self, target: targets.Entry) -> bool:
        """Return whether direct connections to a target may be used."""
        return not self._links.is_lost(target.service, target.target_id)

    async def connect(
        self, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream:
        """Return a new direct connection to a target.

        Raises
        ------
        target_connector.UnreachableError
            If it could not be opened.
        """
        try:
            opened = await self._direct.connect(target, time_left)
        except target_connector.UnreachableError:
            if self._links.record_failure(target.service, target.target_id):
                await self._check_links(target.service)
            raise
        if self._links.record_success(target.service, target.target_id):
            self._log_links("links_back", target.service)
        return opened

    async def _check_links(self, service: str) -> None:
        """Connect to further targets of a service; without success, all are lost.

        Several targets may be down, as in a failed rack, while this VM reaches all
        others.
        """
        if service in self._services_in_check:
            return
        self._services_in_check.add(service)
        try:
            others = [
                entry
                for entry in self._registry.list_usable(service, anyio.current_time())
                if not self._links.is_lost(service, entry.target_id)
            ]
            is_lost = not await self._reaches_any(others)
        finally:
            self._services_in_check.discard(service)
        if is_lost:
            self._links.record_loss(service)
            self._log_links("links_lost", service)
            self._on_lost(service)

    async def _reaches_any(self, entries: list[targets.Entry]) -> bool:
        """Return whether one of some targets, chosen at random, can be reached."""
        chosen = self._rng.sample(entries, min(len(entries), PROBED_TARGETS))
        reached: list[bool] = []

        async def _probe(entry: targets.Entry) -> None:
            if await self._probe(entry):
                reached.append(True)
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for entry in chosen:
                group.start_soon(_probe, entry)
        return bool(reached)

    async def can_connect_elsewhere(self, target: targets.Entry) -> bool:
        """Return whether this VM reaches another target, if there is any."""
        others = [
            entry
            for entry in self._registry.list_entries()
            if entry.target_id != target.target_id
        ]
        return not others or await self._reaches_any(others)

    async def watch(self) -> None:
        """Connect to targets whose links are lost, until cancelled."""
        for turn in itertools.count():
            await anyio.sleep(PROBE_INTERVAL_S)
            self._links.keep_only(
                {entry.target_id for entry in self._registry.list_entries()}
            )
            for _ in range(MAX_PROBES):
                target = self._choose_lost(turn)
                if target is None or not await self._probe(target):
                    break

    def _choose_lost(self, turn: int) -> targets.Entry | None:
        """Return a target to probe: of a lost service in turn, or any lost one."""
        services = sorted(self._links.lost_services)
        if services:
            service = services[turn % len(services)]
            usable = self._registry.list_usable(service, anyio.current_time())
            untried = [
                entry for entry in usable if not self._links.has_failed(entry.target_id)
            ]
            if usable:
                return self._rng.choice(untried or usable)
        lost = [self._registry.find(name) for name in self._links.lost_targets]
        entries = [entry for entry in lost if entry is not None]
        return self._rng.choice(entries) if entries else None

    async def _probe(self, target: targets.Entry) -> bool:
        with contextlib.suppress(target_connector.UnreachableError):
            opened = await self.connect(target, 0.0)
            await anyio.aclose_forcefully(opened.stream)
            return True
        return False

    def _log_links(self, event: str, service: str) -> None:
        self._log.write(
            event, service=service, lost_targets=len(self._links.lost_targets)
        )


class RelayingConnector:
    """Opens direct connections, or relayed ones where the link to a target is lost.

    Parameters
    ----------
    direct : WatchedConnector
        Opens direct connections.
    relays : relay_client.RelayClient
        Opens relayed connections.
    """

    def __init__(
        self, direct: WatchedConnector, relays: relay_client.RelayClient
    ) -> None:
        self._direct = direct
        self._relays = relays

    @property
    def opened_connections(self) -> int:
        """Number of attempts to open a direct connection."""
        return self._direct.opened_connections

    def has_direct_link(self, target: targets.Entry) -> bool:
        """Return whether direct connections to a target may be used."""
        return self._direct.has_direct_link(target)

    async def connect(
        self, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream:
        """Return a new connection to a target.

        Raises
        ------
        target_connector.UnreachableError
            If there is no way to the target. After a failed direct connection the
            target is not excluded, since the next connection is relayed.
        """
        if not self._direct.has_direct_link(target):
            return await self._connect_relayed(target, time_left)
        try:
            return await self._direct.connect(target, time_left)
        except target_connector.UnreachableError as error:
            raise target_connector.UnreachableError(
                str(error), excludes_target=False
            ) from error

    async def _connect_relayed(
        self, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream:
        try:
            return await self._relays.connect(target, time_left)
        except relay_client.NoRelayError as error:
            detail = str(error)
        # Where all VMs met the same dead targets, each takes its links for lost. A
        # target that has not failed yet is therefore worth one direct attempt.
        if not self._direct.has_failed(target):
            return await self._try_directly(target, time_left)
        is_own_path = self._direct.is_cut_off(target.service)
        raise target_connector.UnreachableError(detail, is_own_path=is_own_path)

    async def _try_directly(
        self, target: targets.Entry, time_left: float
    ) -> target_connector.TargetStream:
        try:
            return await self._direct.connect(target, time_left)
        except target_connector.UnreachableError as error:
            is_own_path = self._direct.has_lost_service(target.service)
            raise target_connector.UnreachableError(
                str(error), is_own_path=is_own_path
            ) from error
