"""Keeps what this VM knows of configuration, targets and other VMs up to date.

Whoever cannot reach the store hears of configuration and targets from its peers.
"""

from __future__ import annotations

import collections.abc
import random

import anyio

from zinniastand_core.deployment import configuration

from . import (
    configuration_keeper,
    datagrams,
    fleet_entry,
    forwarder,
    log_lines,
    members,
    news_teller,
    peer_link,
    ports,
    reading_turn,
    store_contact,
    target_reader,
    target_record,
)


class KnowledgeKeeper:
    """Reads from the store and from peers.

    Parameters
    ----------
    store : ports.Store
        The platform's store.
    knowledge : forwarder.Knowledge
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
    """

    def __init__(
        self,
        store: ports.Store,
        knowledge: forwarder.Knowledge,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        on_targets: collections.abc.Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._configured = knowledge.configured
        self._configuration = configuration_keeper.ConfigurationKeeper(
            store, knowledge, fleet, link, log, rng
        )
        self._record = target_record.TargetRecord(knowledge.registry, log, on_targets)
        turn = reading_turn.ReadingTurn(fleet)
        self._teller = news_teller.NewsTeller(
            self._record, turn, knowledge.configured, fleet, link
        )
        self._reader = target_reader.TargetReader(
            store,
            self._record,
            turn,
            self._teller,
            store_contact.StoreContact("targets", log, rng),
            log,
            self._configuration.read_anew,
        )
        self._entry = fleet_entry.FleetEntry(
            store, fleet, link, turn, store_contact.StoreContact("members", log, rng)
        )

    @property
    def is_complete(self) -> bool:
        """Whether enough is known to serve requests."""
        return self._configured.current is not None and self._record.is_complete

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._configuration.follow_store)
            group.start_soon(self._reader.run)
            group.start_soon(self._teller.run)
            group.start_soon(self._configuration.follow_peers)
            group.start_soon(self._entry.run)

    def take_news(self, news: datagrams.News) -> None:
        """Take in what another VM has read."""
        now = anyio.current_time()
        self._teller.pass_on(news)
        self.take_version(news.vm, news.version)
        self._record.take_news(news, now)

    def take_version(self, vm: str, version: int) -> None:
        """Take in which version another VM has."""
        self._configuration.take_version(vm, version)

    def use(self, candidate: configuration.Configuration, source: str) -> None:
        """Take a configuration, if it is newer than the one in force."""
        self._configuration.use(candidate, source)
