"""Keeps what this VM knows of configuration, targets and other VMs up to date.

Whoever cannot reach the store hears of configuration and targets from its peers.
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

HOLD_AT_START = 1.0
"""Seconds after its start for which a VM lets requests wait for what it lacks. Nearly
always it is complete by then; later it refuses at once, since others may serve them."""

HOLD_CHECK = 0.01
"""Seconds between two looks by a request that waits so."""


class KnowledgeKeeper:
    """Reads from the store and from peers.

    Parameters
    ----------
    store : ports.Store
        The platform's store.
    knowledge : forwarder.RoutingState
        What is kept up to date.
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    log : log_lines.LogLines
        Changes, and the store lost and regained.
    on_targets : callable
        Called after the targets changed.
    rng : random.Random
        Spreads calls.
    resign : resignation.Resignation
        Leaves tasks to others.
    """

    def __init__(
        self,
        store: ports.Store,
        knowledge: forwarder.RoutingState,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        on_targets: collections.abc.Callable[[], None],
        rng: random.Random,
        resign: resignation.Resignation,
    ) -> None:
        self._configured = knowledge.configuration_state
        self._registry = knowledge.registry
        self._fleet = fleet
        self._link = link
        self._rng = rng
        self._resignation = resign
        self._hold_until = anyio.current_time() + HOLD_AT_START
        self._store = store
        self._broadcaster = broadcasting.Broadcaster(fleet, link)
        self._record = target_record.TargetRecord(knowledge.registry, log, on_targets)
        self._starter = start_fetcher.StartFetcher(
            fleet, lambda: self.is_complete, self._fetch_from, rng
        )
        self._build_followers(store, knowledge, log)

    def _build_followers(
        self,
        store: ports.Store,
        knowledge: forwarder.RoutingState,
        log: log_lines.LogLines,
    ) -> None:
        """Build what reads the store, and what tells of it."""
        fleet, link, rng = self._fleet, self._link, self._rng
        turn = reading_turn.ReadingTurn(fleet)
        start = start_turn.StartTurn(fleet, anyio.current_time())
        self._configuration = configuration_keeper.ConfigurationKeeper(
            configuration_keeper.Source(store, turn, start, self._fetch_from),
            knowledge,
            fleet,
            self._broadcaster,
            link,
            log,
            rng,
        )
        self._teller = target_update_sender.TargetUpdateSender(
            self._record,
            turn,
            knowledge.configuration_state,
            self._broadcaster,
            fleet.own.vm,
            self._configuration.has_recent_read,
        )
        self._reader = target_reader.TargetReader(
            target_reader.Source(store, turn, start),
            self._record,
            self._teller,
            store_contact.StoreContact("targets", log, rng),
            log,
            self._configuration,
            self._resignation,
            self._greet_near,
        )
        self._entry = fleet_entry.FleetEntry(
            store,
            fleet,
            link,
            turn,
            start,
            store_contact.StoreContact("members", log, rng),
            self._read_era,
            rng,
        )

    @property
    def is_complete(self) -> bool:
        """Whether enough is known to serve requests."""
        return self._configured.current is not None and self._record.is_complete

    def _read_era(self) -> int:
        """Return the newest era of the store that this VM has seen or heard of."""
        return max(self._store.era, positions.find_era(self._record.position))

    @property
    def position(self) -> int:
        """Up to where the targets are known; negative where none are."""
        return self._record.position

    async def wait_at_start(self) -> None:
        """Wait for what this VM lacks, if it has just started.

        Load pattern: all VMs lose power and return within a moment. What each needs
        comes within some tenths of a second; requests that came before it were refused.
        """
        while not self.is_complete and anyio.current_time() < self._hold_until:
            await anyio.sleep(HOLD_CHECK)

    def make_snapshot(self) -> knowledge_exchange.Snapshot:
        """Return what this VM knows, for one that lacks it."""
        return knowledge_exchange.Snapshot(
            self._configured.current,
            self._record.position,
            self._record.heard_at,
            tuple(self._registry.list_registered()),
        )

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._configuration.follow_store)
            group.start_soon(self._reader.run)
            group.start_soon(self._teller.run)
            group.start_soon(self._configuration.catch_up)
            group.start_soon(self._entry.run)
            group.start_soon(self._starter.run)

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time."""
        self._record.compensate_suspension(seconds)
        self._configuration.compensate_suspension(seconds)
        self._reader.read_anew()

    def apply_target_update(self, news: datagrams.TargetUpdate) -> None:
        """Take in what another VM has read."""
        now = anyio.current_time()
        self._broadcaster.relay(news)
        self.record_peer_version(news.vm, news.version)
        self._record.apply_target_update(news, now)

    def record_peer_position(self, vm: str, position: int) -> None:
        """Take in up to where another VM knows the targets."""
        if position >= 0:
            self._starter.note_holder(vm)

    def apply_configuration_update(
        self, published: datagrams.ConfigurationUpdate
    ) -> None:
        """Take in a configuration that another VM has read.

        Raises
        ------
        ValueError
            If there is none in it.
        """
        self._configuration.apply_configuration_update(published)

    def record_peer_version(self, vm: str, version: int) -> None:
        """Take in which version another VM has."""
        self._configuration.record_peer_version(vm, version)

    def apply_configuration(
        self, candidate: configuration.Configuration, source: str
    ) -> None:
        """Take a configuration, if it is newer than the one in force."""
        self._configuration.apply_configuration(candidate, source)

    async def _fetch_from(self, vm: str) -> None:
        """Take in what another VM knows and this one lacks."""
        member = self._fleet.find(vm)
        if member is None:
            return
        found = await knowledge_exchange.fetch(member.host, member.port)
        if found is None:
            return
        if found.current is not None:
            self.apply_configuration(found.current, vm)
        if not self._record.is_complete:
            self._record.apply_snapshot(found, anyio.current_time(), vm)

    def _greet_near(self) -> None:
        """Tell the VMs nearby, which may start as well, that this one knows all."""
        own = self._fleet.own
        hello = datagrams.Hello(own, wants_answer=False, position=self.position)
        self._link.send_many(hello, self._fleet.list_in(own.data_centre))
