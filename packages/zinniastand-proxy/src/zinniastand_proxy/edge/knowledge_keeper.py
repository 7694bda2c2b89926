"""Keeps what this VM knows of configuration, targets and other VMs up to date.

Configuration: each VM waits on the store by itself, since it seldom changes and then
must be in force everywhere within seconds. Targets: their entries change all the time,
so one VM reads them and tells the others; a VM that hears nothing reads for itself.
Whoever cannot reach the store hears of both from its peers.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math
import random

import anyio

from zinniastand_core.deployment import configuration, targets

from . import (
    configuration_exchange,
    datagrams,
    forwarder,
    log_lines,
    members,
    peer_link,
    ports,
)

READ_WAIT = 0.4
"""Seconds that a read of the targets' entries waits at the store for a change. A target
that is leaving must get no new work two seconds after the store has taken that in. A
longer wait would save calls, and notice a silent connection too late."""

READ_SLACK = 0.5
"""Seconds after the wait at which a read of the targets' entries is given up: the store
takes 4 ms, some 200 when it is slow."""

READ_PAUSE = 0.25
"""Least seconds between two reads of the targets' entries, however often they change:
bounds the calls where targets write with every heartbeat."""

TELL_PAUSE = 0.3
"""Seconds between two tellings of what was read; a lost one is made up for so soon."""

CHECK_PAUSE = 0.1
"""Seconds between two looks whether it is this VM's turn to read."""

JOIN_PAUSE = 0.5
"""Seconds after this VM has read who is there from which it may become the reader.
Before, it has heard of nobody and would take itself for the first in rank, as every
other VM of a fleet that starts does."""

STALE_AFTER = 0.95
"""Seconds after its last successful read for which the reader tells others that nothing
has changed: one read and its slack. Together with the silence after it this stays below
the two seconds within which a leaving target must be known."""

SILENCE = 0.7
"""Seconds without news after which a VM reads for itself: two tellings missed."""

SILENCE_STEP = 0.08
"""Seconds by which each further VM in rank waits longer, so that the next one becomes
the reader before all the others start to read."""

MOST_STEPS = 5
"""Ranks that wait longer; beyond them the bound on leaving targets would be at risk."""

REPEAT_FOR = 2.0
"""Seconds for which changes are told again, since datagrams may be lost."""

RELAYS = 2
"""VMs of another data centre that pass news on there, in turn: one telling goes to the
one, the next to the other. Without them the reader would send each piece of news to
every VM: with 123 VMs, 0.34 GB went between data centres in 12 s of high load, most of
it news and opinions; with relays 0.015 GB, requests included. Where one of the two is
dead, the others hear every second telling, which is still within their patience."""

RELAY_TASK = "relay news"
"""Name of the task of passing news on."""

TOLD_OF_VERSION = 4
"""VMs, drawn at random, that a VM tells of a new version. It is for those whose own
wait has gone silent: one of 123 hears of it with 98%, and news tell the version too."""

VERSION_PAUSE = 0.3
"""Least seconds between two waits for a configuration: while versions come in quick
succession, each VM fetches some of them and not all. It stays far below the 2 s within
which a version must be in force."""

CONFIGURATION_WAIT = 25.0
"""Seconds that one read of the configuration waits at the store. Each costs a call; a
wait on a connection that has gone silent is noticed only at its end, or by a peer."""

FIRST_PAUSE = 0.2
"""Seconds before a failed call to the store is made again."""

LONGEST_PAUSE = 1.0
"""Most seconds between calls to a store that does not answer. Longer pauses would delay
a new configuration after an outage beyond its bound of two seconds."""

PEER_PAUSE = 0.3
"""Seconds that a VM waits for the store to tell a version that a peer has already."""

STORE = "store"
"""Source of what was read from the store, in log lines."""

READER_TASK = "read targets"
"""Name of the task of reading for all."""


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
        self._store = store
        self._knowledge = knowledge
        self._fleet = fleet
        self._link = link
        self._log = log
        self._on_targets = on_targets
        self._rng = rng
        self._position = -1
        self._heard_at = 0.0
        self._read_at = 0.0
        self._recent: collections.deque[tuple[float, targets.Change]] = (
            collections.deque()
        )
        self._reads: collections.deque[tuple[float, int]] = collections.deque()
        self._lost: set[str] = set()
        self._wait_scope: anyio.CancelScope | None = None
        self._peer_versions: dict[str, tuple[int, float]] = {}
        self._tellings = 0
        self._told_at = 0.0
        self._joined_at = math.inf

    @property
    def is_complete(self) -> bool:
        """Whether enough is known to serve requests."""
        has_configuration = self._knowledge.configured.current is not None
        return has_configuration and self._position >= 0

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_configuration)
            group.start_soon(self._follow_targets)
            group.start_soon(self._tell_regularly)
            group.start_soon(self._follow_peers)
            group.start_soon(self._enter_fleet)

    def take_news(self, news: datagrams.News) -> None:
        """Take in what another VM has read."""
        now = anyio.current_time()
        if news.is_relayed:
            passed = dataclasses.replace(news, is_relayed=False)
            self._link.send_many(passed, self._fleet.list_in(self._own_place))
        self.take_version(news.vm, news.version)
        if self._position < 0 or news.since > self._position:
            return  # Something between is missing: read it from the store.
        self._heard_at = now
        self._position = max(self._position, news.position)
        self._apply(news.changes, now, news.vm)

    def take_version(self, vm: str, version: int) -> None:
        """Take in which version another VM has."""
        if version > self._knowledge.configured.version:
            self._peer_versions.setdefault(vm, (version, anyio.current_time()))

    # Configuration

    async def _follow_configuration(self) -> None:
        position: int | None = None
        pause = FIRST_PAUSE
        while True:
            try:
                if position is None:
                    page = await self._store.read_configuration()
                else:
                    page = await self._wait_configuration(position)
            except ports.HistoryLostError:
                position = None
                continue
            except ports.StoreUnavailableError as error:
                self._note_lost("configuration", str(error))
                await anyio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(LONGEST_PAUSE, 2 * pause)
                position = None
                continue
            self._note_back("configuration")
            pause = FIRST_PAUSE
            position = page.position
            if page.newest is not None:
                self.use(page.newest, STORE)
                await anyio.sleep(VERSION_PAUSE)
            elif self._knowledge.configured.current is None:
                await anyio.sleep(FIRST_PAUSE)

    async def _wait_configuration(self, position: int) -> ports.ConfigurationPage:
        """Wait for a new configuration.

        A wait that spans an outage may never be answered, on a connection that looks
        open. `_note_back` ends it, so that the first call that gets through after an
        outage leads to a fresh read.
        """
        with anyio.CancelScope() as self._wait_scope:
            return await self._store.wait_configuration(position, CONFIGURATION_WAIT)
        return await self._store.read_configuration()

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

    def _tell_version(self) -> None:
        """Tell some others of a new version, in case their wait has gone silent."""
        version = self._knowledge.configured.version
        notice = datagrams.VersionNotice(self._fleet.own.vm, version)
        others = self._fleet.list_others()
        drawn = self._rng.sample(others, min(TOLD_OF_VERSION, len(others)))
        self._link.send_many(notice, drawn)

    async def _follow_peers(self) -> None:
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

    # Targets

    async def _follow_targets(self) -> None:
        pause = FIRST_PAUSE
        while True:
            now = anyio.current_time()
            if self._position >= 0 and not self._is_reading_due(now):
                await anyio.sleep(CHECK_PAUSE)
                continue
            try:
                has_news = await self._read_targets()
            except ports.StoreUnavailableError as error:
                self._note_lost("targets", str(error))
                await anyio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(LONGEST_PAUSE, 2 * pause)
                continue
            self._note_back("targets")
            pause = FIRST_PAUSE
            self._heard_at = self._read_at = anyio.current_time()
            if has_news or self._is_telling_due(self._heard_at):
                self._tell()
            await anyio.sleep(READ_PAUSE)

    async def _tell_regularly(self) -> None:
        """Tell the others what was read, also that nothing has changed.

        Whoever hears nothing reads for itself; whoever is told "nothing new" by a
        reader that has lost the store would miss a target's leaving.
        """
        while True:
            await anyio.sleep(CHECK_PAUSE)
            now = anyio.current_time()
            if self._is_telling_due(now) and now - self._read_at < STALE_AFTER:
                self._tell()

    def _is_telling_due(self, now: float) -> bool:
        """Return whether it is this VM that tells, and its last telling is long ago.

        A VM that has just become the reader tells at once, before all others who miss
        the former one read for themselves.
        """
        return self._rank(now) == 0 and now - self._told_at >= TELL_PAUSE

    def _is_reading_due(self, now: float) -> bool:
        rank = self._rank(now)
        if rank == 0 and now >= self._joined_at:
            return True
        steps = min(max(0, rank - 1), MOST_STEPS)
        return now - self._heard_at > SILENCE + SILENCE_STEP * steps

    def _rank(self, now: float) -> int:
        order = self._fleet.rank(READER_TASK, now, MOST_STEPS + 1)
        own = self._fleet.own.vm
        return order.index(own) if own in order else MOST_STEPS + 1

    async def _read_targets(self) -> bool:
        """Read from the store; return whether anything has changed."""
        now = anyio.current_time()
        if self._position >= 0:
            reader = self._fleet.rank(READER_TASK, now, 1)
            if reader and reader[0] != self._fleet.own.vm:
                self._fleet.suspect(reader[0], now)
            try:
                wait = READ_WAIT if self._rank(now) == 0 else 0.0
                with anyio.fail_after(wait + READ_SLACK):
                    page = await self._store.read_target_changes(self._position, wait)
            except TimeoutError as error:
                raise ports.StoreUnavailableError("no answer in time") from error
            except ports.HistoryLostError:
                self._log.write("target_history_lost", position=self._position)
            else:
                self._position = page.position
                return self._apply(page.changes, anyio.current_time(), STORE)
        page = await self._store.read_targets()
        entries = [one for one in page.changes if isinstance(one, targets.Entry)]
        now = anyio.current_time()
        news = self._knowledge.registry.replace(entries, page.position, now)
        self._position = page.position
        self._note_changes(news, now, STORE)
        return bool(news)

    def _apply(
        self,
        changes: collections.abc.Iterable[targets.Change],
        now: float,
        source: str,
    ) -> bool:
        news = self._knowledge.registry.apply(changes, now)
        self._note_changes(news, now, source)
        return bool(news)

    def _note_changes(
        self, news: list[targets.Change], now: float, source: str
    ) -> None:
        for change in news:
            self._recent.append((now, change))
            phase = "gone" if isinstance(change, targets.Gone) else change.phase.value
            self._log.write(
                "target_changed",
                target=change.target_id,
                phase=phase,
                position=change.position,
                source=source,
            )
        if news:
            self._on_targets()

    def _tell(self) -> None:
        now = self._told_at = anyio.current_time()
        self._reads.append((now, self._position))
        while self._reads[0][0] < now - REPEAT_FOR:
            self._reads.popleft()
        while self._recent and self._recent[0][0] < self._reads[0][0]:
            self._recent.popleft()
        news = datagrams.News(
            self._fleet.own.vm,
            self._knowledge.configured.version,
            self._position,
            self._reads[0][1],
            tuple(change for _, change in self._recent),
        )
        self._link.send_many(news, self._fleet.list_in(self._own_place))
        relayed = dataclasses.replace(news, is_relayed=True)
        self._link.send_many(relayed, self._choose_relays(now))

    def _choose_relays(self, now: float) -> list[ports.Member]:
        """Return one VM of each other data centre, another one every time."""
        self._tellings += 1
        relays: list[ports.Member] = []
        for place in self._fleet.data_centres - {self._own_place}:
            ranked = self._fleet.rank(RELAY_TASK, now, RELAYS, place)
            member = self._fleet.find(ranked[self._tellings % len(ranked)])
            if member is not None and member.data_centre == place:
                relays.append(member)
        return relays

    @property
    def _own_place(self) -> str:
        return self._fleet.own.data_centre

    # Members

    async def _enter_fleet(self) -> None:
        pause = FIRST_PAUSE
        is_entered = False
        while True:
            try:
                if not is_entered:
                    await self._store.announce(self._fleet.own)
                    is_entered = True
                found = await self._store.read_members()
            except ports.StoreUnavailableError as error:
                self._note_lost("members", str(error))
                await anyio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(LONGEST_PAUSE, 2 * pause)
                continue
            self._note_back("members")
            for member in found:
                self._fleet.add(member)
            hello = datagrams.Hello(self._fleet.own, wants_answer=True)
            others = self._fleet.list_others()
            self._link.send_many(hello, others)
            # Alone, there is nobody to hear of: it reads at once.
            self._joined_at = anyio.current_time() + (JOIN_PAUSE if others else 0.0)
            return

    def _note_lost(self, part: str, why: str) -> None:
        if part not in self._lost:
            self._lost.add(part)
            self._log.write("store_lost", part=part, why=why[:120])

    def _note_back(self, part: str) -> None:
        if part in self._lost:
            self._lost.discard(part)
            if part == "targets" and self._wait_scope is not None:
                self._wait_scope.cancel()
            self._log.write("store_back", part=part)
