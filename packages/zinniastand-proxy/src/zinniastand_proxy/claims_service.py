"""Claims on the log: one driver per slice, and the VM that should append for it."""

from __future__ import annotations

import typing

import anyio
import anyio.abc

from zinniastand_core import (
    claim_ledger,
    claim_records,
    claimer,
    keys,
    peer_messages,
    rendezvous,
)

from . import clock, platform_log

READ_WAIT = 0.25
RETRY_PAUSE = 0.05
OUTAGE_PAUSE = 1.0
PEER_SHARE = 0.3
HORIZON_FACTOR = 1.5

Verdict = claimer.Granted | claimer.Denied


class Peers(typing.Protocol):
    """How a VM asks another to append for it."""

    def list_alive(self) -> list[str]:
        """Return the names of the other VMs that are up."""
        ...

    def read_revision(self) -> int:
        """Return a number that changes with the members."""
        ...

    async def ask_claim(
        self, vm: str, claim: claim_records.Claim
    ) -> peer_messages.ClaimAnswered | None:
        """Return another VM's verdict, or None where it gives none."""
        ...

    async def ask_settle(self, vm: str, data: bytes) -> bool:
        """Hand outcomes to another VM; return whether it took them."""
        ...


class _Pending:
    """A claim that waits for its verdict."""

    def __init__(self) -> None:
        self.verdict: Verdict | None = None
        self.event = anyio.Event()


class SliceDriver:
    """Drives the claimer of one slice against the log.

    Parameters
    ----------
    stream : str
        Name of the slice's stream.
    log : platform_log.Log
        The platform's log.
    timer : clock.Clock
        The time.
    group : anyio.abc.TaskGroup
        Where appends and reads run.
    horizon : float
        Seconds for which the ledger remembers a key.
    wait : float
        Seconds that a claim may wait for company.
    """

    def __init__(
        self,
        stream: str,
        log: platform_log.Log,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
        horizon: float,
        wait: float,
    ) -> None:
        self._stream = stream
        self._log = log
        self._timer = timer
        self._group = group
        self._claimer = claimer.Claimer(
            claim_ledger.ClaimLedger(horizon), batch_wait=wait
        )
        self._wait = wait
        self._pending: dict[bytes, _Pending] = {}
        self._is_reading = False
        self._flush_due = False

    @property
    def is_settled(self) -> bool:
        """Whether every outcome is on the log."""
        return self._claimer.is_settled

    async def seek(self, claim: claim_records.Claim) -> Verdict:
        """Return the verdict on a claim, at its start deadline at the latest."""
        pending = self._pending.setdefault(claim.claim_id, _Pending())
        self._act(self._claimer.seek(claim, self._timer.now()))
        self._flush_later()
        until = clock.convert_deadline(claim.start_deadline, self._timer.now())
        with anyio.move_on_at(until):
            await pending.event.wait()
        self._act(self._claimer.lapse(self._timer.now()))
        self._pending.pop(claim.claim_id, None)
        if pending.verdict is None:
            return claimer.Denied(claim, claimer.Denial.LAPSED, None)
        return pending.verdict

    def settle(self, record: claim_records.Record) -> None:
        """Put an outcome on the log."""
        self._act(self._claimer.settle(record, self._timer.now()))
        self._flush_later()

    def retry(self) -> None:
        """Try again what an outage left behind."""
        self._act(self._claimer.retry(self._timer.now()))

    def _act(self, actions: list[claimer.Action]) -> None:
        for action in actions:
            match action:
                case claimer.Append():
                    self._group.start_soon(self._append, action)
                case claimer.Read():
                    self._start_reading()
                case claimer.Granted() | claimer.Denied():
                    self._announce(action)

    def _announce(self, verdict: Verdict) -> None:
        pending = self._pending.get(verdict.claim.claim_id)
        if pending is not None and pending.verdict is None:
            pending.verdict = verdict
            pending.event.set()

    def _flush_later(self) -> None:
        if self._claimer.is_settled:
            return
        if self._wait > 0 and not self._flush_due:
            self._flush_due = True
            self._group.start_soon(self._flush)

    async def _flush(self) -> None:
        await anyio.sleep(self._wait)
        self._flush_due = False
        self._act(self._claimer.lapse(self._timer.now()))

    async def _append(self, action: claimer.Append) -> None:
        try:
            offset = await self._log.append(self._stream, action.data)
        except platform_log.LogRefusedError:
            self._act(self._claimer.take_refused(action.batch, self._timer.now()))
            return
        except platform_log.LogUncertainError:
            actions = self._claimer.take_uncertain(action.batch, self._timer.now())
            await anyio.sleep(RETRY_PAUSE)
            self._act(actions)
            self._act(self._claimer.lapse(self._timer.now()))
            return
        now = self._timer.now()
        self._act(self._claimer.take_appended(action.batch, offset, now))
        self._flush_later()

    def _start_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            self._group.start_soon(self._read)

    async def _read(self) -> None:
        """Read until no claim waits for a verdict."""
        try:
            while self._claimer.is_seeking:
                await self._read_page()
                self._act(self._claimer.lapse(self._timer.now()))
        finally:
            self._is_reading = False

    async def _read_page(self) -> None:
        start = self._claimer.next_offset
        try:
            page = await self._log.read(self._stream, start, READ_WAIT)
        except platform_log.LogRefusedError:
            await anyio.sleep(RETRY_PAUSE)
            return
        self._claimer.skip_to(page.offset)
        for index, data in enumerate(page.entries):
            now = self._timer.now()
            self._act(self._claimer.take_entry(page.offset + index, data, now))


class ClaimsService:
    """Seeks claims, through the VM that should append for the slice if it answers.

    Parameters
    ----------
    vm : str
        Name of this VM.
    log : platform_log.Log
        The platform's log.
    timer : clock.Clock
        The time.
    group : anyio.abc.TaskGroup
        Where appends and reads run.
    window : float
        Seconds for which a key may be used.
    slices : int
        Streams over which claims are spread.
    wait : float
        Seconds that a claim may wait for company.
    """

    def __init__(
        self,
        vm: str,
        log: platform_log.Log,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
        window: float,
        slices: int,
        wait: float,
    ) -> None:
        self._vm = vm
        self._log = log
        self._timer = timer
        self._group = group
        self._horizon = window * HORIZON_FACTOR
        self._slices = slices
        self._wait = wait
        self._drivers: dict[int, SliceDriver] = {}
        self._peers: Peers | None = None
        self._appenders: dict[int, str] = {}
        self._picked_at = -1

    def set_peers(self, peers: Peers) -> None:
        """Name the way to other VMs; without it each VM appends for itself."""
        self._peers = peers

    @property
    def is_settled(self) -> bool:
        """Whether every outcome is on the log."""
        return all(driver.is_settled for driver in self._drivers.values())

    async def seek(self, claim: claim_records.Claim) -> Verdict:
        """Return the verdict on a claim."""
        number = keys.find_slice(claim.key_digest, self._slices)
        appender = self._pick_appender(number)
        if appender != self._vm and self._peers is not None:
            verdict = await self._seek_by_peer(appender, claim)
            if verdict is not None:
                return verdict
            return self._doubt(await self._find_driver(number).seek(claim))
        return await self._find_driver(number).seek(claim)

    async def seek_for_peer(
        self, claim: claim_records.Claim
    ) -> peer_messages.ClaimAnswered:
        """Return the verdict on another VM's claim."""
        number = keys.find_slice(claim.key_digest, self._slices)
        match await self._find_driver(number).seek(claim):
            case claimer.Granted():
                return peer_messages.ClaimAnswered(claim.claim_id, None, None)
            case claimer.Denied(reason=reason, entry=entry):
                return peer_messages.ClaimAnswered(claim.claim_id, reason, entry)

    async def settle(self, record: claim_records.Record) -> None:
        """Put an outcome on the log, through the VM that appends for the slice."""
        number = keys.find_slice(record.key_digest, self._slices)
        appender = self._pick_appender(number)
        if appender != self._vm and self._peers is not None:
            if await self._peers.ask_settle(appender, claim_records.pack([record])):
                return
        self._find_driver(number).settle(record)

    def settle_for_peer(self, records: tuple[claim_records.Record, ...]) -> None:
        """Put another VM's outcomes on the log."""
        for record in records:
            number = keys.find_slice(record.key_digest, self._slices)
            self._find_driver(number).settle(record)

    async def run(self) -> None:
        """Try again, from time to time, what an outage left behind."""
        while True:
            await anyio.sleep(OUTAGE_PAUSE)
            for driver in self._drivers.values():
                if not driver.is_settled:
                    driver.retry()

    async def _seek_by_peer(
        self, appender: str, claim: claim_records.Claim
    ) -> Verdict | None:
        """Return the verdict that the appender gives, or None to go on alone.

        Only part of the time is given to it. The claim that goes to the log a second
        time has the same id, so it still counts once.
        """
        if self._peers is None:
            return None
        now = self._timer.now()
        patience = PEER_SHARE * (claim.start_deadline - now)
        answered = None
        with anyio.move_on_after(max(0.0, patience)):
            answered = await self._peers.ask_claim(appender, claim)
        if answered is None:
            return None
        if answered.denial is None:
            return claimer.Granted(claim)
        return claimer.Denied(claim, answered.denial, answered.entry)

    def _doubt(self, verdict: Verdict) -> Verdict:
        """Return the verdict of our own driver after a peer gave none.

        The log refused our append, but the peer's may have landed: the claim then has
        to be released, or its key would stay blocked.
        """
        if isinstance(verdict, claimer.Denied):
            if verdict.reason is claimer.Denial.LOG_DOWN:
                return claimer.Denied(verdict.claim, claimer.Denial.UNSETTLED, None)
        return verdict

    def _pick_appender(self, number: int) -> str:
        if self._peers is None:
            return self._vm
        revision = self._peers.read_revision()
        if revision != self._picked_at:
            self._picked_at = revision
            self._appenders.clear()
        appender = self._appenders.get(number)
        if appender is None:
            names = [self._vm, *self._peers.list_alive()]
            appender = rendezvous.pick(f"slice/{number}", names)[0]
            self._appenders[number] = appender
        return appender

    def _find_driver(self, number: int) -> SliceDriver:
        driver = self._drivers.get(number)
        if driver is None:
            driver = self._drivers[number] = SliceDriver(
                f"claims-{number}",
                self._log,
                self._timer,
                self._group,
                self._horizon,
                self._wait,
            )
        return driver
