"""Keeps this VM's configuration, targets and list of other VMs up to date.

A VM that cannot reach the store gets configuration and targets from its peers.
"""

from __future__ import annotations

import collections.abc
import random

import anyio

from zinniastand_core.deployment import configuration, positions

from . import (
    broadcasting,
    configuration_keeper,
    datagrams,
    fleet_entry,
    forwarder,
    input_bounds,
    knowledge_exchange,
    log_lines,
    members,
    peer_link,
    ports,
    reading_turn,
    resignation,
    start_fetcher,
    start_turn,
    store_contact,
    target_reader,
    target_record,
    target_update_sender,
)

START_WAIT_S = 1.0
"""Seconds after its start for which a VM that lacks configuration or targets lets
requests wait for them; by then it nearly always has both. Later it refuses requests at
once, since other VMs may serve them."""

START_CHECK_INTERVAL_S = 0.01
"""Seconds between two checks by a request that waits for the start to complete."""


class KnowledgeKeeper:
    """Reads configuration, targets and members from the store and from peers.

    Parameters
    ----------
    store : ports.Store
        The platform's store.
    routing_state : forwarder.RoutingState
        The configuration and targets that are kept up to date.
    fleet : members.Members
        The VMs of the fleet.
    link : peer_link.PeerLink
        Sends datagrams to other VMs.
    log : log_lines.LogLines
        Receives a line for each change, and for loss and return of the store.
    on_targets : callable
        Called after the targets changed.
    rng : random.Random
        Jitter for calls, and choice of peers.
    own_resignation : resignation.Resignation
        Leaves fleet-wide tasks to other VMs.
    needs_proof : callable, optional
        Returns whether keys are accepted only while the configuration is proven to be
        the newest.
    record_bound : callable, optional
        Called when another VM sends a snapshot that is too long.
    """

    def __init__(
        self,
        store: ports.Store,
        routing_state: forwarder.RoutingState,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        on_targets: collections.abc.Callable[[], None],
        rng: random.Random,
        own_resignation: resignation.Resignation,
        needs_proof: collections.abc.Callable[[], bool] = lambda: False,
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
    ) -> None:
        self._record_bound = record_bound
        self._needs_proof = needs_proof
        self._configuration_state = routing_state.configuration_state
        self._registry = routing_state.registry
        self._fleet = fleet
        self._link = link
        self._rng = rng
        self._resignation = own_resignation
        self._start_wait_end = anyio.current_time() + START_WAIT_S
        self._store = store
        self._broadcaster = broadcasting.Broadcaster(fleet, link)
        self._target_record = target_record.TargetRecord(
            routing_state.registry, log, on_targets, record_bound
        )
        self._start_fetcher = start_fetcher.StartFetcher(
            fleet, lambda: self.is_complete, self._fetch_from, rng
        )
        self._build_readers(store, routing_state, log)

    def _build_readers(
        self,
        store: ports.Store,
        routing_state: forwarder.RoutingState,
        log: log_lines.LogLines,
    ) -> None:
        """Build the readers of the store, and the sender of updates about targets."""
        fleet, link, rng = self._fleet, self._link, self._rng
        turn = reading_turn.ReadingTurn(fleet)
        start = start_turn.StartTurn(fleet, anyio.current_time())
        self._configuration_keeper = configuration_keeper.ConfigurationKeeper(
            configuration_keeper.KeeperDependencies(
                store, turn, start, self._fetch_from, self._needs_proof
            ),
            routing_state,
            fleet,
            self._broadcaster,
            link,
            log,
            rng,
        )
        self._update_sender = target_update_sender.TargetUpdateSender(
            self._target_record,
            turn,
            routing_state.configuration_state,
            self._broadcaster,
            fleet.own.vm,
            self._configuration_keeper.has_recent_read,
        )
        self._target_reader = target_reader.TargetReader(
            target_reader.ReaderDependencies(store, turn, start),
            self._target_record,
            self._update_sender,
            store_contact.StoreContact("targets", log, rng),
            log,
            self._configuration_keeper,
            self._resignation,
            self._announce_complete,
        )
        self._fleet_entry = fleet_entry.FleetEntry(
            store,
            fleet,
            link,
            turn,
            start,
            store_contact.StoreContact("members", log, rng),
            self._find_era,
            rng,
        )

    @property
    def is_complete(self) -> bool:
        """Whether configuration and targets are known: requests can be served."""
        return (
            self._configuration_state.current is not None
            and self._target_record.is_complete
        )

    def _find_era(self) -> int:
        """Return the newest era of the store named by the store itself or by a peer."""
        return max(self._store.era, positions.find_era(self._target_record.position))

    @property
    def position(self) -> int:
        """Position up to which the targets are known; negative if none are."""
        return self._target_record.position

    async def wait_at_start(self) -> None:
        """Wait until this VM is complete, for at most `START_WAIT_S` after its start.

        Load pattern: all VMs lose power and start again at almost the same moment. Each
        is complete within some tenths of a second; without this wait, requests that
        arrive before that would be refused.
        """
        while not self.is_complete and anyio.current_time() < self._start_wait_end:
            await anyio.sleep(START_CHECK_INTERVAL_S)

    def make_snapshot(self) -> knowledge_exchange.Snapshot:
        """Return what this VM knows, for a VM that lacks it."""
        return knowledge_exchange.Snapshot(
            self._configuration_state.current,
            self._target_record.position,
            self._target_record.received_at,
            tuple(self._registry.list_registered()),
            self._configuration_state.proven_at,
        )

    async def run(self) -> None:
        """Keep everything up to date until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._configuration_keeper.follow_store)
            group.start_soon(self._target_reader.run)
            group.start_soon(self._update_sender.run)
            group.start_soon(self._configuration_keeper.catch_up)
            group.start_soon(self._fleet_entry.run)
            group.start_soon(self._start_fetcher.run)

    def compensate_suspension(self, seconds: float) -> None:
        """Make the data older by the seconds of a suspension, and read again.

        The monotonic clock did not count them.
        """
        self._target_record.compensate_suspension(seconds)
        self._configuration_keeper.compensate_suspension(seconds)
        self._target_reader.restart_read()

    def apply_target_update(self, update: datagrams.TargetUpdate) -> None:
        """Relay and apply an update about targets that another VM has sent."""
        now = anyio.current_time()
        self._broadcaster.relay(update)
        self.record_peer_version(update.vm, update.version)
        self._target_record.apply_target_update(update, now)

    def record_peer_position(self, vm: str, position: int) -> None:
        """Record the position up to which another VM knows the targets.

        Negative positions, of VMs that know none, are ignored.
        """
        if position >= 0:
            self._start_fetcher.record_complete_peer(vm)

    def apply_configuration_update(
        self, configuration_update: datagrams.ConfigurationUpdate
    ) -> None:
        """Apply a configuration that another VM has read and sent.

        Raises
        ------
        ValueError
            If the update holds no valid configuration.
        """
        self._configuration_keeper.apply_configuration_update(configuration_update)

    async def read_configuration(self) -> None:
        """Read the configuration from the store, whoever's turn it is.

        Raises
        ------
        ports.StoreUnavailableError
            If the store gives no usable answer.
        """
        await self._configuration_keeper.read_now()

    def record_peer_version(self, vm: str, version: int) -> None:
        """Record which version of the configuration another VM has."""
        self._configuration_keeper.record_peer_version(vm, version)

    def apply_configuration(
        self, candidate: configuration.Configuration, source: str
    ) -> None:
        """Put a configuration in force if it is newer than the current one.

        See `ConfigurationKeeper.apply_configuration`.
        """
        self._configuration_keeper.apply_configuration(candidate, source)

    async def _fetch_from(self, vm: str) -> None:
        """Fetch a VM's snapshot and apply what this VM lacks."""
        member = self._fleet.find(vm)
        if member is None:
            return
        suspensions = self._configuration_keeper.suspensions
        snapshot = await knowledge_exchange.fetch(
            member.host, member.port, self._record_bound
        )
        if snapshot is None:
            return
        if snapshot.current is not None:
            self.apply_configuration(snapshot.current, vm)
            if suspensions == self._configuration_keeper.suspensions:
                self._configuration_state.prove(
                    snapshot.current.version, snapshot.proven_at
                )
        if not self._target_record.is_complete:
            self._target_record.apply_snapshot(snapshot, anyio.current_time(), vm)

    def _announce_complete(self) -> None:
        """Notify the VMs of this data centre that this VM knows all targets.

        They may be starting as well.
        """
        own = self._fleet.own
        hello = datagrams.Hello(own, wants_answer=False, position=self.position)
        self._link.send_many(hello, self._fleet.list_in(own.data_centre))
