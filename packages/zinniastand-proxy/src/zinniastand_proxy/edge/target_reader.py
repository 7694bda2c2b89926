"""Reads the targets' entries from the store, for all VMs or for this one.

Entries change all the time, so one VM reads them and tells the others; a VM that hears
nothing reads for itself.
"""

from __future__ import annotations

import collections.abc

import anyio

from . import log_lines, news_teller, ports, reading_turn, store_contact, target_record

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

CHECK_PAUSE = 0.1
"""Seconds between two looks whether it is this VM's turn to read."""


class TargetReader:
    """Reads the targets when it is this VM's turn, or when news stay away.

    Parameters
    ----------
    store : ports.TargetSource
        Where targets register themselves.
    record : target_record.TargetRecord
        Takes in what was read.
    turn : reading_turn.ReadingTurn
        Whether it is this VM's turn.
    teller : news_teller.NewsTeller
        Tells the others.
    contact : store_contact.StoreContact
        Paces calls while the store is lost.
    log : log_lines.LogLines
        History lost.
    on_store_back : callable
        Called when the store answers again after it was lost.
    """

    def __init__(
        self,
        store: ports.TargetSource,
        record: target_record.TargetRecord,
        turn: reading_turn.ReadingTurn,
        teller: news_teller.NewsTeller,
        contact: store_contact.StoreContact,
        log: log_lines.LogLines,
        on_store_back: collections.abc.Callable[[], None],
    ) -> None:
        self._store = store
        self._record = record
        self._turn = turn
        self._teller = teller
        self._contact = contact
        self._log = log
        self._on_store_back = on_store_back

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            now = anyio.current_time()
            if self._record.is_complete and not self._is_due(now):
                await anyio.sleep(CHECK_PAUSE)
                continue
            try:
                has_news = await self._read()
            except ports.StoreUnavailableError as error:
                await self._contact.pause_lost(error)
                continue
            if self._contact.note_back():
                self._on_store_back()
            now = anyio.current_time()
            self._record.heard_at = self._record.read_at = now
            if has_news or self._teller.is_due(now):
                self._teller.tell()
            await anyio.sleep(READ_PAUSE)

    def _is_due(self, now: float) -> bool:
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
        try:
            with anyio.fail_after(wait + READ_SLACK):
                return await self._store.read_target_changes(
                    self._record.position, wait
                )
        except TimeoutError as error:
            raise ports.StoreUnavailableError("no answer in time") from error
