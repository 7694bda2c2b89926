"""Reads the targets' entries from the store, for all VMs or for this one.

Entries change all the time, so one VM reads them and tells the others; a VM that hears
nothing reads for itself.
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

READ_WAIT = 0.4
"""Seconds that a read of the targets' entries waits at the store for a change. A target
that is leaving must get no new work two seconds after the store has taken that in. A
longer wait would save calls, and notice a silent connection too late."""

READ_SLACK = 0.5
"""Seconds after the wait at which a read of the targets' entries is given up: a slow
store is still heard, and a silent connection is noticed in time."""

READ_PAUSE = 0.25
"""Least seconds between two reads of the targets' entries, however often they change:
bounds the calls where targets write with every heartbeat."""

MAX_STANDBY_DELAY_S = 3.0
"""Most seconds between calls to a store that does not answer, for a VM that is not
among the first to read for all."""

CHECK_PAUSE = 0.1
"""Seconds between two looks whether it is this VM's turn to read."""

START_PAUSE = 0.02
"""The same while nothing is known yet and no request can be served."""


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Where the entries are read, and when."""

    store: ports.TargetSource
    """Where targets register themselves."""

    turn: reading_turn.ReadingTurn
    """Whether it is this VM's turn."""

    start: start_turn.StartTurn
    """Whether this VM may read while it knows nothing yet."""


class TargetReader:
    """Reads the targets when it is this VM's turn, or when news stay away.

    Parameters
    ----------
    source : Source
        Where and when the entries are read.
    record : target_record.TargetRecord
        Takes in what was read.
    teller : target_update_sender.TargetUpdateSender
        Tells the others.
    contact : store_contact.StoreContact
        Paces calls while the store is lost.
    log : log_lines.LogLines
        History lost.
    configuration : configuration_keeper.ConfigurationKeeper
        Read along where this VM reads because it hears nothing, and read anew when the
        store answers again after it was lost.
    resignation : resignation.Resignation
        Leaves the reading to others while this VM cannot reach the store.
    on_complete : callable
        Called when this VM has read all entries for the first time.
    """

    def __init__(
        self,
        source: Source,
        record: target_record.TargetRecord,
        teller: target_update_sender.TargetUpdateSender,
        contact: store_contact.StoreContact,
        log: log_lines.LogLines,
        configuration: configuration_keeper.ConfigurationKeeper,
        resignation: resignation.Resignation,
        on_complete: collections.abc.Callable[[], None],
    ) -> None:
        self._store = source.store
        self._turn = source.turn
        self._start = source.start
        self._record = record
        self._teller = teller
        self._contact = contact
        self._log = log
        self._configuration = configuration
        self._resignation = resignation
        self._on_complete = on_complete
        self._wait_scope: anyio.CancelScope | None = None
        self._is_read_anew = False

    def read_anew(self) -> None:
        """End the wait at the store, if there is one, and read at once."""
        if self._wait_scope is not None:
            self._is_read_anew = True
            self._wait_scope.cancel()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            now = anyio.current_time()
            if not self._is_due(now):
                pause = CHECK_PAUSE if self._record.is_complete else START_PAUSE
                await anyio.sleep(pause)
                continue
            try:
                has_news = await self._read_as_due(now)
            except ports.StoreUnavailableError as error:
                await self._pause_lost(error, now)
                continue
            if self._contact.record_success():
                self._configuration.read_anew()
            now = anyio.current_time()
            self._record.heard_at = self._record.read_at = now
            if has_news or self._teller.is_due(now):
                self._teller.send()
            await anyio.sleep(READ_PAUSE)

    async def _pause_lost(self, error: ports.StoreUnavailableError, now: float) -> None:
        """Leave reading for all to others, and wait before the next call.

        Load pattern: the store is away for seconds. Hundreds of VMs that hear nothing
        would each call it every second; the first few notice its return and tell.
        """
        if self._turn.is_reader(now):
            self._resignation.resign(reading_turn.READER_TASK, "store unavailable")
        is_next = self._turn.is_among_first(now)
        longest = store_contact.MAX_DELAY_S if is_next else MAX_STANDBY_DELAY_S
        if not self._record.is_complete:
            longest = store_contact.MAX_DELAY_S
        await self._contact.wait_after_failure(error, longest)

    async def _read_as_due(self, now: float) -> bool:
        """Read the targets; return whether anything has changed.

        Where this VM reads because it hears nothing, it is not told of versions of the
        configuration either.
        """
        was_complete = self._record.is_complete
        is_silence = was_complete and not self._turn.is_reader(now)
        has_news = await self._read()
        if not was_complete:
            self._on_complete()
        if is_silence:
            await self._configuration.read_now()
        return has_news

    def _is_due(self, now: float) -> bool:
        if not self._record.is_complete:
            return self._start.may_read(now)
        return self._turn.is_due(now, self._record.heard_at)

    async def _read(self) -> bool:
        """Read from the store; return whether anything has changed."""
        if self._record.is_complete:
            self._turn.suspect_reader(anyio.current_time())
            try:
                page = await self._read_changes()
            except ports.HistoryLostError:
                position = self._record.position
                self._log.write("target_history_lost", position=position)
            else:
                return self._record.take_changes(page, anyio.current_time())
        page = await self._store.read_targets()
        return self._record.take_all(page, anyio.current_time())

    async def _read_changes(self) -> ports.TargetPage:
        wait = READ_WAIT if self._turn.is_first(anyio.current_time()) else 0.0
        while True:
            try:
                with anyio.move_on_after(wait + READ_SLACK) as self._wait_scope:
                    return await self._store.read_target_changes(
                        self._record.position, wait
                    )
            finally:
                self._wait_scope = None
            if not self._is_read_anew:
                raise ports.StoreUnavailableError("no answer in time")
            self._is_read_anew = False
            wait = 0.0
