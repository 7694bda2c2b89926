"""Keeps the configuration in force up to date, from the store and from peers.

One VM, the reader, waits at the store for new versions and pushes them to the others.
The others call the store only if the reader sends nothing, or if they learn of a
version that was not pushed to them.
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

VERSION_NOTICE_COUNT = 4
"""Number of VMs, drawn at random, that each VM notifies of a new version. The notices
are for VMs that receive neither a push nor an update about targets; nearly all of these
VMs get a notice."""

MIN_READ_INTERVAL_S = 0.3
"""Minimum seconds between two waits for a configuration: of versions published in quick
succession, only some are read. It is far below the 2 s within which a version must be
in force."""

STORE_WAIT_S = 1.5
"""Seconds that one read of the configuration waits at the store for a new version. A
shorter wait costs more calls; with a longer one, a connection that has gone silent is
detected later, since that shows only after the wait."""

PROVING_WAIT_S = 0.5
"""Value of `STORE_WAIT_S` while VMs need proofs that the configuration is the newest. A
proof dates from the beginning of the read, so a longer wait makes it older."""

READ_SLACK_S = 0.5
"""Seconds after the end of the wait at which a read of the configuration times out."""

READ_VALIDITY_S = STORE_WAIT_S + READ_SLACK_S + MIN_READ_INTERVAL_S
"""Seconds after a read of the configuration for which this VM may state to others that
there is no newer version."""

MAX_PUSHED_BYTES = 16_384
"""Largest encoded configuration that is pushed: sixty of this size fill a slow VM's
link for half a second. A larger one is read from the store by the VMs that learn of its
version."""

PUSH_FANOUT = 4
"""Number of VMs to which each VM passes a new configuration on: 98 in 100 VMs of a data
centre then get it."""

PUSH_TIMEOUT_S = 0.4
"""Seconds that a VM which has learnt of a version waits for it to be pushed."""

STORE_TIMEOUT_S = 0.4
"""Seconds after which a VM that lacks a version stops waiting for the store, which may
refuse its calls, and asks the peer that named the version."""

EMPTY_STORE_INTERVAL_S = 0.2
"""Seconds between two reads of a store that holds no configuration yet."""

CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether it is this VM's turn to read, and whether it lacks
a version."""

OPERATOR = "operator"
"""Source, in log lines, of a configuration that was given to this VM directly."""


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperDependencies:
    """Where the configuration is read, and what decides when the store is read."""

    store: ports.ConfigurationSource
    """Store to which operators publish the configuration."""

    turn: reading_turn.ReadingTurn
    """Decides whether it is this VM's turn to read."""

    start: start_turn.StartTurn
    """Decides whether this VM may read while it has no configuration yet."""

    fetch: collections.abc.Callable[[str], collections.abc.Awaitable[None]]
    """Fetches and applies what the named VM knows."""

    needs_proof: collections.abc.Callable[[], bool]
    """Returns whether keys are accepted only while the configuration is proven to be
    the newest."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadStart:
    """Beginning of a read of the store."""

    began_at: float
    """Seconds of the monotonic clock."""

    suspensions: int
    """Suspensions of this VM before it."""


class ConfigurationKeeper:
    """Reads new versions of the configuration and puts them in force.

    Parameters
    ----------
    dependencies : KeeperDependencies
        Where the configuration is read, and what decides when the store is read.
    routing_state : forwarder.RoutingState
        Holds the configuration in force.
    fleet : members.Members
        The VMs of the fleet.
    broadcaster : broadcasting.Broadcaster
        Pushes new versions to other VMs.
    link : peer_link.PeerLink
        Sends datagrams to other VMs.
    log : log_lines.LogLines
        Receives a line for each new version, and for loss and return of the store.
    rng : random.Random
        Jitter for calls, and choice of the VMs to notify of a version.
    """

    def __init__(
        self,
        dependencies: KeeperDependencies,
        routing_state: forwarder.RoutingState,
        fleet: members.Members,
        broadcaster: broadcasting.Broadcaster,
        link: peer_link.PeerLink,
        log: log_lines.LogLines,
        rng: random.Random,
    ) -> None:
        self._store = dependencies.store
        self._turn = dependencies.turn
        self._start = dependencies.start
        self._fetch = dependencies.fetch
        self._needs_proof = dependencies.needs_proof
        self._routing_state = routing_state
        self._fleet = fleet
        self._broadcaster = broadcaster
        self._link = link
        self._log = log
        self._rng = rng
        self._contact = store_contact.StoreContact("configuration", log, rng)
        self._wait_scope: anyio.CancelScope | None = None
        # The version that each peer has named, and when it was named.
        self._peer_versions: dict[str, tuple[int, float]] = {}
        self._read_at = -READ_VALIDITY_S
        self.suspensions = 0
        """Suspensions of this VM so far. What began before one and ends after it took
        longer than the monotonic clock shows."""

    def has_recent_read(self, now: float) -> bool:
        """Return whether the store was read within `READ_VALIDITY_S` before `now`.

        If so, this VM knows the newest version from the store itself.
        """
        return now - self._read_at < READ_VALIDITY_S

    def compensate_suspension(self, seconds: float) -> None:
        """Make the last read older by the seconds of a suspension, and read again.

        The monotonic clock did not count them.
        """
        self._read_at -= seconds
        self._routing_state.configuration_state.compensate_suspension(seconds)
        self.suspensions += 1
        self.restart_read()

    async def follow_store(self) -> None:
        """Read the store for the fleet while it is this VM's turn, until cancelled."""
        position: int | None = None
        while True:
            if not self._may_read(anyio.current_time()):
                position = None
                await anyio.sleep(CHECK_INTERVAL_S)
                continue
            start = self._start_read()
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
            self._apply_page(page, start)
            if page.newest is not None:
                await anyio.sleep(MIN_READ_INTERVAL_S)
            elif self._routing_state.configuration_state.current is None:
                await anyio.sleep(EMPTY_STORE_INTERVAL_S)

    async def read_now(self) -> None:
        """Read the newest configuration from the store and apply it.

        Raises
        ------
        ports.StoreUnavailableError
            If the store gives no usable answer.
        """
        start = self._start_read()
        self._apply_page(await self._read(None), start)

    async def catch_up(self) -> None:
        """Fetch versions that peers have named but nobody pushed, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            vm = self._choose_peer(anyio.current_time())
            if vm is None:
                continue
            version, _ = self._peer_versions.pop(vm)
            if self._routing_state.configuration_state.current is None:
                await self._fetch(vm)
                continue
            with (
                contextlib.suppress(ports.StoreUnavailableError),
                anyio.move_on_after(STORE_TIMEOUT_S),
            ):
                await self.read_now()
            if self._routing_state.configuration_state.version < version:
                await self._fetch(vm)

    def record_peer_version(self, vm: str, version: int) -> None:
        """Record which version another VM has, if it is newer than the one in force."""
        if version > self._routing_state.configuration_state.version:
            self._peer_versions.setdefault(vm, (version, anyio.current_time()))

    def apply_configuration_update(self, update: datagrams.ConfigurationUpdate) -> None:
        """Relay and apply a configuration that the reader has pushed.

        Raises
        ------
        ValueError
            If the update holds no valid configuration.
        """
        if update.version <= self._routing_state.configuration_state.version:
            return
        candidate = configuration_codec.unpack_configuration(
            configuration_codec.decompress_values(update.data)
        )
        # Passed on once, and only after it was decoded: a malformed one stops here.
        self._pass_on(update)
        self.apply_configuration(candidate, update.vm)

    def apply_configuration(
        self, candidate: configuration.Configuration, source: str
    ) -> None:
        """Put a configuration in force if it is newer than the current one.

        It is pushed to other VMs only if `source`, which is also logged, is the store
        or an operator.
        """
        is_first = self._routing_state.configuration_state.current is None
        if not self._routing_state.configuration_state.offer(candidate):
            return
        if source in (target_record.STORE, OPERATOR):
            self._push(candidate)
        self._announce_version(
            to_data_centre=is_first and source == target_record.STORE
        )
        self._routing_state.router.apply(candidate)
        self._log.write(
            "configuration_in_force",
            version=candidate.version,
            routes=len(candidate.routes),
            source=source,
        )

    def restart_read(self) -> None:
        """End the current wait at the store, if there is one, and read at once.

        A wait that spans an outage may never be answered, although its connection looks
        open. So this is called when another call gets through to the store again.
        """
        if self._wait_scope is not None:
            self._wait_scope.cancel()

    def _may_read(self, now: float) -> bool:
        if self._routing_state.configuration_state.current is None:
            return self._start.may_read(now)
        return self._turn.is_reader(now)

    async def _read(self, position: int | None) -> ports.ConfigurationPage:
        """Wait for a new configuration; if `position` is None, return the newest."""
        if position is None:
            return await self._store.read_configuration()
        wait = PROVING_WAIT_S if self._needs_proof() else STORE_WAIT_S
        timeout_at = anyio.current_time() + wait + READ_SLACK_S
        with anyio.CancelScope(deadline=timeout_at) as self._wait_scope:
            return await self._store.wait_configuration(position, wait)
        if anyio.current_time() >= timeout_at:
            raise ports.StoreUnavailableError("no answer in time")
        return await self._store.read_configuration()

    def _start_read(self) -> _ReadStart:
        return _ReadStart(anyio.current_time(), self.suspensions)

    def _apply_page(self, page: ports.ConfigurationPage, start: _ReadStart) -> None:
        self._contact.record_success()
        self._read_at = anyio.current_time()
        if page.newest is not None:
            self.apply_configuration(page.newest, target_record.STORE)
        if start.suspensions == self.suspensions:
            state = self._routing_state.configuration_state
            state.prove(state.version, start.began_at)

    def _choose_peer(self, now: float) -> str | None:
        """Return a VM whose newer version should have been pushed by now, or None."""
        version = self._routing_state.configuration_state.version
        self._peer_versions = {
            vm: (peer_version, named_at)
            for vm, (peer_version, named_at) in self._peer_versions.items()
            if peer_version > version
        }
        due = [
            vm
            for vm, (_, named_at) in self._peer_versions.items()
            if now - named_at >= PUSH_TIMEOUT_S
        ]
        return self._rng.choice(due) if due else None

    def _push(self, current: configuration.Configuration) -> None:
        now = anyio.current_time()
        if not self._turn.is_first(now):
            return  # This VM read in place of the reader, as many others may have done.
        data = configuration_codec.compress_values(
            configuration_codec.pack_configuration(current)
        )
        if len(data) <= MAX_PUSHED_BYTES:
            vm = self._fleet.own.vm
            update = datagrams.ConfigurationUpdate(vm, current.version, data)
            self._broadcaster.send_to_relays(update, now)
            self._pass_on(update)

    def _pass_on(self, update: datagrams.ConfigurationUpdate) -> None:
        """Send a configuration to some VMs of this data centre, drawn at random.

        Each of them does the same. If the reader sent it to all, the queue of its link
        would be full after the first few, and the others would all read the store.
        """
        others = self._fleet.list_in(self._fleet.own.data_centre)
        receivers = self._rng.sample(others, min(PUSH_FANOUT, len(others)))
        self._link.send_many(dataclasses.replace(update, is_for_relay=False), receivers)

    def _announce_version(self, to_data_centre: bool) -> None:
        """Notify some VMs of the version, in case no push and no update reaches them.

        Parameters
        ----------
        to_data_centre : bool
            Whether to notify all VMs of this data centre instead. If this VM had no
            version before, the others may lack it as well: it is the first version of
            all, or the whole fleet has restarted.
        """
        version = self._routing_state.configuration_state.version
        notice = datagrams.VersionNotice(self._fleet.own.vm, version)
        others = self._fleet.list_others()
        receivers = self._rng.sample(others, min(VERSION_NOTICE_COUNT, len(others)))
        if to_data_centre:
            receivers = self._fleet.list_in(self._fleet.own.data_centre)
        self._link.send_many(notice, receivers)
