"""Reads the targets' entries from the store, for the fleet or for this VM only.

Entries change all the time, so one VM reads them and sends updates to the others. A VM
that receives no updates reads the store itself.
"""

from __future__ import annotations

import collections.abc
import dataclasses

import anyio

from . import (
    configuration_keeper,
    log_lines,
    ports,
    reading_turn,
    resignation,
    start_turn,
    store_contact,
    target_record,
    target_update_sender,
)

STORE_WAIT_S = 0.4
"""Seconds that a read of the targets' entries waits at the store for a change. A target
that is leaving must get no new work later than two seconds after the store has recorded
that. A longer wait would save calls, but detect a silent connection too late."""

READ_SLACK_S = 0.5
"""Seconds after the end of the wait at which a read of the targets' entries times out:
long enough for a slow store, and short enough to detect a silent connection in time."""

MIN_READ_INTERVAL_S = 0.25
"""Minimum seconds between two reads of the targets' entries, however often they change:
limits the calls to the store when targets write an entry with every heartbeat."""

MAX_STANDBY_DELAY_S = 3.0
"""Longest delay, in seconds, between calls to a store that does not answer, for a VM
that is not among the first in rank for reading it."""

CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether it is this VM's turn to read."""

START_CHECK_INTERVAL_S = 0.02
"""Like `CHECK_INTERVAL_S`, while no targets are known and no request can be served."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderDependencies:
    """The store to read, and what decides when it is read."""

    store: ports.TargetSource
    """Store in which targets register themselves."""

    turn: reading_turn.ReadingTurn
    """Decides whether it is this VM's turn to read."""

    start: start_turn.StartTurn
    """Decides whether this VM may read while it has no targets yet."""


class TargetReader:
    """Reads the targets if it is this VM's turn, or if it receives no updates.

    Parameters
    ----------
    dependencies : ReaderDependencies
        The store to read, and what decides when it is read.
    record : target_record.TargetRecord
        Applies what was read.
    update_sender : target_update_sender.TargetUpdateSender
        Sends updates to the other VMs.
    contact : store_contact.StoreContact
        Delays calls while the store does not answer.
    log : log_lines.LogLines
        Receives a line when the store no longer has the history that is needed.
    keeper : configuration_keeper.ConfigurationKeeper
        Read as well if this VM reads for lack of updates. Its wait at the store is
        restarted when the store answers again after an outage.
    resignation : resignation.Resignation
        Leaves the reading to other VMs while this one cannot reach the store.
    on_complete : callable
        Called when this VM has read all entries for the first time.
    """

    def __init__(
        self,
        dependencies: ReaderDependencies,
        record: target_record.TargetRecord,
        update_sender: target_update_sender.TargetUpdateSender,
        contact: store_contact.StoreContact,
        log: log_lines.LogLines,
        keeper: configuration_keeper.ConfigurationKeeper,
        resignation: resignation.Resignation,
        on_complete: collections.abc.Callable[[], None],
    ) -> None:
        self._store = dependencies.store
        self._turn = dependencies.turn
        self._start = dependencies.start
        self._record = record
        self._update_sender = update_sender
        self._contact = contact
        self._log = log
        self._keeper = keeper
        self._resignation = resignation
        self._on_complete = on_complete
        self._wait_scope: anyio.CancelScope | None = None
        self._is_restarted = False

    def restart_read(self) -> None:
        """End the current wait at the store, if there is one, and read at once."""
        if self._wait_scope is not None:
            self._is_restarted = True
            self._wait_scope.cancel()

    async def run(self) -> None:
        """Read whenever it is due, until cancelled."""
        while True:
            now = anyio.current_time()
            if not self._is_due(now):
                interval = (
                    CHECK_INTERVAL_S
                    if self._record.is_complete
                    else START_CHECK_INTERVAL_S
                )
                await anyio.sleep(interval)
                continue
            try:
                has_changed = await self._read_as_due(now)
            except ports.StoreUnavailableError as error:
                await self._wait_after_failure(error, now)
                continue
            if self._contact.record_success():
                self._keeper.restart_read()
            now = anyio.current_time()
            self._record.received_at = self._record.read_at = now
            if has_changed or self._update_sender.is_due(now):
                self._update_sender.send()
            await anyio.sleep(MIN_READ_INTERVAL_S)

    async def _wait_after_failure(
        self, error: ports.StoreUnavailableError, now: float
    ) -> None:
        """Leave reading for the fleet to other VMs, and wait before the next call.

        Load pattern: the store is unreachable for seconds. Hundreds of VMs that receive
        no updates would each call it every second. The first few in rank detect its
        return soon and send updates, so the others call less often.
        """
        if self._turn.is_reader(now):
            self._resignation.resign(reading_turn.READER_TASK, "store unavailable")
        is_in_first_ranks = self._turn.is_among_first(now)
        max_delay = (
            store_contact.MAX_DELAY_S if is_in_first_ranks else MAX_STANDBY_DELAY_S
        )
        if not self._record.is_complete:
            max_delay = store_contact.MAX_DELAY_S
        await self._contact.wait_after_failure(error, max_delay)

    async def _read_as_due(self, now: float) -> bool:
        """Read the targets; return whether any target changed.

        A VM that reads for lack of updates receives no notice of new versions of the
        configuration either, so it reads the configuration too.
        """
        was_complete = self._record.is_complete
        lacks_updates = was_complete and not self._turn.is_reader(now)
        has_changed = await self._read()
        if not was_complete:
            self._on_complete()
        if lacks_updates:
            await self._keeper.read_now()
        return has_changed

    def _is_due(self, now: float) -> bool:
        if not self._record.is_complete:
            return self._start.may_read(now)
        return self._turn.is_due(now, self._record.received_at)

    async def _read(self) -> bool:
        """Read from the store; return whether any target changed."""
        if self._record.is_complete:
            self._turn.suspect_reader(anyio.current_time())
            try:
                page = await self._read_changes()
            except ports.HistoryLostError:
                position = self._record.position
                self._log.write("target_history_lost", position=position)
            else:
                return self._record.apply_changes(page, anyio.current_time())
        page = await self._store.read_targets()
        return self._record.apply_listing(page, anyio.current_time())

    async def _read_changes(self) -> ports.TargetPage:
        wait = STORE_WAIT_S if self._turn.is_first(anyio.current_time()) else 0.0
        while True:
            try:
                with anyio.move_on_after(wait + READ_SLACK_S) as self._wait_scope:
                    return await self._store.read_target_changes(
                        self._record.position, wait
                    )
            finally:
                self._wait_scope = None
            if not self._is_restarted:
                raise ports.StoreUnavailableError("no answer in time")
            self._is_restarted = False
            wait = 0.0
