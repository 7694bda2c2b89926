"""Keeps the configuration in force up to date, from the store and from peers.

Each VM waits on the store by itself, since the configuration seldom changes and then
must be in force everywhere within seconds.
"""

from __future__ import annotations

import random

import anyio

from zinniastand_core.deployment import configuration

from . import (
    configuration_exchange,
    datagrams,
    forwarder,
    log_lines,
    members,
    peer_link,
    ports,
    store_contact,
    target_record,
)

TOLD_OF_VERSION = 4
"""VMs, drawn at random, that a VM tells of a new version. It is for those whose own
wait has gone silent: nearly all hear of it so, and news tell the version too."""

VERSION_PAUSE = 0.3
"""Least seconds between two waits for a configuration: while versions come in quick
succession, each VM fetches some of them and not all. It stays far below the 2 s within
which a version must be in force."""

CONFIGURATION_WAIT = 25.0
"""Seconds that one read of the configuration waits at the store. Each costs a call; a
wait on a connection that has gone silent is noticed only at its end, or by a peer."""

EMPTY_PAUSE = 0.2
"""Seconds between two reads of a store that holds no configuration yet."""

PEER_PAUSE = 0.3
"""Seconds that a VM waits for the store to tell a version that a peer has already."""


class ConfigurationKeeper:
    """Follows the configuration.

    Parameters
    ----------
    store : ports.ConfigurationSource
        Where operators publish it.
    knowledge : forwarder.Knowledge
        Where it is put in force.
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    log : log_lines.LogLines
        New versions, and the store lost and regained.
    rng : random.Random
        Spreads calls, and draws the VMs that are told of a version.
    """

    def __init__(
        self,
        store: ports.ConfigurationSource,
        knowledge: forwarder.Knowledge,
        fleet: members.Members,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._knowledge = knowledge
        self._fleet = fleet
        self._link = link
        self._log = log
        self._rng = rng
        self._contact = store_contact.StoreContact("configuration", log, rng)
        self._wait_scope: anyio.CancelScope | None = None
        self._peer_versions: dict[str, tuple[int, float]] = {}

    async def follow_store(self) -> None:
        """Take what the store tells, until cancelled."""
        position: int | None = None
        while True:
            try:
                page = await self._read(position)
            except ports.HistoryLostError:
                position = None
                continue
            except ports.StoreUnavailableError as error:
                await self._contact.pause_lost(error)
                position = None
                continue
            self._contact.note_back()
            position = page.position
            if page.newest is not None:
                self.use(page.newest, target_record.STORE)
                await anyio.sleep(VERSION_PAUSE)
            elif self._knowledge.configured.current is None:
                await anyio.sleep(EMPTY_PAUSE)

    async def follow_peers(self) -> None:
        """Fetch a configuration that peers have and the store does not tell."""
        while True:
            await anyio.sleep(PEER_PAUSE)
            version = self._knowledge.configured.version
            now = anyio.current_time()
            self._peer_versions = {
                vm: (known, at)
                for vm, (known, at) in self._peer_versions.items()
                if known > version
            }
            for vm, (_, at) in list(self._peer_versions.items())[:1]:
                member = self._fleet.find(vm)
                if member is None or now - at < PEER_PAUSE:
                    continue
                del self._peer_versions[vm]
                found = await configuration_exchange.fetch(member.host, member.port)
                if found is not None:
                    self.use(found, vm)

    def take_version(self, vm: str, version: int) -> None:
        """Take in which version another VM has."""
        if version > self._knowledge.configured.version:
            self._peer_versions.setdefault(vm, (version, anyio.current_time()))

    def use(self, candidate: configuration.Configuration, source: str) -> None:
        """Take a configuration, if it is newer than the one in force."""
        if not self._knowledge.configured.offer(candidate):
            return
        self._tell_version()
        self._knowledge.router.use(candidate)
        self._log.write(
            "configuration_in_force",
            version=candidate.version,
            routes=len(candidate.routes),
            source=source,
        )

    def read_anew(self) -> None:
        """End the wait at the store, if there is one, and read at once.

        A wait that spans an outage may never be answered, on a connection that looks
        open. Whoever gets through to the store again calls this.
        """
        if self._wait_scope is not None:
            self._wait_scope.cancel()

    async def _read(self, position: int | None) -> ports.ConfigurationPage:
        """Wait for a new configuration; without a position, return the newest."""
        if position is not None:
            with anyio.CancelScope() as self._wait_scope:
                return await self._store.wait_configuration(
                    position, CONFIGURATION_WAIT
                )
        return await self._store.read_configuration()

    def _tell_version(self) -> None:
        """Tell some others of a new version, in case their wait has gone silent."""
        version = self._knowledge.configured.version
        notice = datagrams.VersionNotice(self._fleet.own.vm, version)
        others = self._fleet.list_others()
        drawn = self._rng.sample(others, min(TOLD_OF_VERSION, len(others)))
        self._link.send_many(notice, drawn)
