"""Keeps the configuration in force up to date, from the store and from peers.

One VM waits on the store for all and pushes what it reads; the others call the store
only where that VM says nothing, or says a version that did not reach them.
"""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import random

import anyio

from zinniastand_core.deployment import configuration

from . import (
    broadcasting,
    configuration_codec,
    datagrams,
    forwarder,
    log_lines,
    members,
    peer_link,
    ports,
    reading_turn,
    start_turn,
    store_contact,
    target_record,
)

TOLD_OF_VERSION = 4
"""VMs, drawn at random, that a VM tells of a new version: for those that neither a push
nor news reach. Nearly all hear of it so."""

VERSION_PAUSE = 0.3
"""Least seconds between two waits for a configuration: while versions come in quick
succession, some of them are read and not all. It stays far below the 2 s within which a
version must be in force."""

CONFIGURATION_WAIT = 1.5
"""Seconds that one read of the configuration waits at the store. Each costs a call; a
wait on a connection that has gone silent is noticed only after it."""

READ_SLACK = 0.5
"""Seconds after the wait at which a read of the configuration is given up."""

READ_LATELY = CONFIGURATION_WAIT + READ_SLACK + VERSION_PAUSE
"""Seconds after a read of the configuration for which this VM may tell others that
there is no newer version."""

MOST_PUSHED = 16_384
"""Bytes of a configuration that is pushed: sixty of them fill a slow VM's link for half
a second. A larger one is read from the store by those who hear of its version."""

PUSH_PATIENCE = 0.15
"""Seconds that a VM which has heard of a version waits for it to be pushed."""

STORE_PATIENCE = 0.4
"""Seconds after which a VM that lacks a version asks the peer that told of it instead
of the store, which may turn this VM away."""

EMPTY_PAUSE = 0.2
"""Seconds between two reads of a store that holds no configuration yet."""

CHECK_PAUSE = 0.1
"""Seconds between two looks whether it is this VM's turn, and whether it lacks a
version."""

OPERATOR = "operator"
"""Source of a configuration that was handed to this VM directly, in log lines."""


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where a configuration comes from, and when it may be asked for one."""

    store: ports.ConfigurationSource
    """Where operators publish it."""

    turn: reading_turn.ReadingTurn
    """Whether it is this VM's turn to read."""

    start: start_turn.StartTurn
    """Whether this VM may read while it knows nothing yet."""

    fetch: collections.abc.Callable[[str], collections.abc.Awaitable[None]]
    """Gets and takes in what another VM knows."""


class ConfigurationKeeper:
    """Follows the configuration.

    Parameters
    ----------
    source : Source
        Where it comes from.
    knowledge : forwarder.RoutingState
        Where it is put in force.
    fleet : members.Members
        The VMs.
    broadcaster : broadcasting.Broadcaster
        Pushes what was read.
    link : peer_link.PeerLink
        Datagrams to other VMs.
    log : log_lines.LogLines
        New versions, and the store lost and regained.
    rng : random.Random
        Spreads calls, and draws the VMs that are told of a version.
    """

    def __init__(
        self,
        source: Source,
        knowledge: forwarder.RoutingState,
        fleet: members.Members,
        broadcaster: broadcasting.Broadcaster,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._store = source.store
        self._turn = source.turn
        self._start = source.start
        self._fetch = source.fetch
        self._knowledge = knowledge
        self._fleet = fleet
        self._broadcaster = broadcaster
        self._link = link
        self._log = log
        self._rng = rng
        self._contact = store_contact.StoreContact("configuration", log, rng)
        self._wait_scope: anyio.CancelScope | None = None
        self._told: dict[str, tuple[int, float]] = {}
        self._read_at = -READ_LATELY

    def has_recent_read(self, now: float) -> bool:
        """Return whether this VM knows the newest version from the store itself."""
        return now - self._read_at < READ_LATELY

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time."""
        self._read_at -= seconds
        self.read_anew()

    async def follow_store(self) -> None:
        """Read for all while it is this VM's turn, until cancelled."""
        position: int | None = None
        while True:
            if not self._may_follow(anyio.current_time()):
                position = None
                await anyio.sleep(CHECK_PAUSE)
                continue
            try:
                page = await self._read(position)
            except ports.HistoryLostError:
                position = None
                continue
            except ports.StoreUnavailableError as error:
                await self._contact.wait_after_failure(error)
                position = None
                continue
            position = page.position
            self._take_page(page)
            if page.newest is not None:
                await anyio.sleep(VERSION_PAUSE)
            elif self._knowledge.configuration_state.current is None:
                await anyio.sleep(EMPTY_PAUSE)

    async def read_now(self) -> None:
        """Read the newest configuration, where nobody else tells it.

        Raises
        ------
        ports.StoreUnavailableError
            If the store gives no usable answer.
        """
        self._take_page(await self._read(None))

    async def catch_up(self) -> None:
        """Get versions that this VM was told of and that were not pushed to it."""
        while True:
            await anyio.sleep(CHECK_PAUSE)
            vm = self._choose_holder(anyio.current_time())
            if vm is None:
                continue
            version, _ = self._told.pop(vm)
            if self._knowledge.configuration_state.current is None:
                await self._fetch(vm)
                continue
            with (
                contextlib.suppress(ports.StoreUnavailableError),
                anyio.move_on_after(STORE_PATIENCE),
            ):
                await self.read_now()
            if self._knowledge.configuration_state.version < version:
                await self._fetch(vm)

    def record_peer_version(self, vm: str, version: int) -> None:
        """Take in which version another VM has."""
        if version > self._knowledge.configuration_state.version:
            self._told.setdefault(vm, (version, anyio.current_time()))

    def apply_configuration_update(
        self, published: datagrams.ConfigurationUpdate
    ) -> None:
        """Take in a configuration that the reader pushes.

        Raises
        ------
        ValueError
            If there is none in it.
        """
        if published.version <= self._knowledge.configuration_state.version:
            return
        candidate = configuration_codec.decode(
            configuration_codec.unpack(published.data)
        )
        # Passed on only once, and only after it was read: a broken one stops here.
        self._broadcaster.relay(published)
        self.apply_configuration(candidate, published.vm)

    def apply_configuration(
        self, candidate: configuration.Configuration, source: str
    ) -> None:
        """Take a configuration, if it is newer than the one in force."""
        is_first = self._knowledge.configuration_state.current is None
        if not self._knowledge.configuration_state.offer(candidate):
            return
        if source in (target_record.STORE, OPERATOR):
            self._push(candidate)
        self._tell_version(to_all_near=is_first and source == target_record.STORE)
        self._knowledge.router.apply(candidate)
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

    def _may_follow(self, now: float) -> bool:
        if self._knowledge.configuration_state.current is None:
            return self._start.may_read(now)
        return self._turn.is_reader(now)

    async def _read(self, position: int | None) -> ports.ConfigurationPage:
        """Wait for a new configuration; without a position, return the newest."""
        if position is None:
            return await self._store.read_configuration()
        late_at = anyio.current_time() + CONFIGURATION_WAIT + READ_SLACK
        with anyio.CancelScope(deadline=late_at) as self._wait_scope:
            return await self._store.wait_configuration(position, CONFIGURATION_WAIT)
        if anyio.current_time() >= late_at:
            raise ports.StoreUnavailableError("no answer in time")
        return await self._store.read_configuration()

    def _take_page(self, page: ports.ConfigurationPage) -> None:
        self._contact.record_success()
        self._read_at = anyio.current_time()
        if page.newest is not None:
            self.apply_configuration(page.newest, target_record.STORE)

    def _choose_holder(self, now: float) -> str | None:
        """Return a VM that has told of a version which does not come by itself."""
        version = self._knowledge.configuration_state.version
        self._told = {
            vm: (known, at) for vm, (known, at) in self._told.items() if known > version
        }
        due = [vm for vm, (_, at) in self._told.items() if now - at >= PUSH_PATIENCE]
        return self._rng.choice(due) if due else None

    def _push(self, current: configuration.Configuration) -> None:
        now = anyio.current_time()
        if not self._turn.is_first(now):
            return  # Read in the reader's place; so may many others have done.
        data = configuration_codec.pack(configuration_codec.encode(current))
        if len(data) <= MOST_PUSHED:
            vm = self._fleet.own.vm
            self._broadcaster.broadcast(
                datagrams.ConfigurationUpdate(vm, current.version, data), now
            )

    def _tell_version(self, to_all_near: bool) -> None:
        """Tell some others of a new version, in case neither push nor news come.

        Where this VM had none before, the others may lack it as well: it is the first
        version of all, or the whole fleet has started anew.
        """
        version = self._knowledge.configuration_state.version
        notice = datagrams.VersionNotice(self._fleet.own.vm, version)
        others = self._fleet.list_others()
        drawn = self._rng.sample(others, min(TOLD_OF_VERSION, len(others)))
        if to_all_near:
            drawn = self._fleet.list_in(self._fleet.own.data_centre)
        self._link.send_many(notice, drawn)
