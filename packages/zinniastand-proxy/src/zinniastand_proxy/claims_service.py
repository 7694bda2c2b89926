"""Appends claims and outcomes to the platform's log and reads the verdicts on claims.

Keys are spread over slices, each of which has its own stream on the log. For each slice
one VM appends on behalf of all, so that claims from several VMs share a batch.
"""

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

READ_WAIT_S = 0.25
"""Maximum time that one read waits for a new entry."""

RETRY_DELAY_S = 0.05
"""Delay after a failed read, or an append whose effect is unknown."""

OUTAGE_RETRY_INTERVAL_S = 1.0
"""Interval between retries of outcomes that the log has not accepted yet."""

PEER_TIMEOUT_SHARE = 0.3
"""Part of the time until the start deadline that the appending VM has to answer."""

HORIZON_WINDOWS = 1.5
"""How long the ledger remembers a key, as a multiple of the key window."""

Verdict = claimer.Granted | claimer.Denied


class Peers(typing.Protocol):
    """Requests to other VMs to append claims and outcomes."""

    def list_alive(self) -> list[str]:
        """Return the names of the other VMs that are up."""
        ...

    def read_revision(self) -> int:
        """Return a number that changes whenever the members of the fleet change."""
        ...

    async def ask_claim(
        self, vm: str, claim: claim_records.Claim
    ) -> peer_messages.ClaimResponse | None:
        """Return another VM's verdict on a claim, or None if it gives none."""
        ...

    async def ask_settle(self, vm: str, data: bytes) -> bool:
        """Send packed outcomes to another VM and return whether it accepted them."""
        ...


class _Pending:
    """A claim that waits for its verdict."""

    def __init__(self) -> None:
        self.verdict: Verdict | None = None
        self.event = anyio.Event()


class SliceDriver:
    """Executes the actions of one slice's claimer on the log.

    Parameters
    ----------
    stream : str
        Name of the slice's stream.
    log : platform_log.Log
        The platform's log.
    timer : clock.Clock
        Source of the current time.
    group : anyio.abc.TaskGroup
        Task group in which appends and reads run.
    horizon : float
        Seconds for which the ledger remembers a key.
    wait : float
        Seconds that a claim may wait to share an append with others.
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
        self._is_flush_scheduled = False

    @property
    def is_settled(self) -> bool:
        """Whether every outcome has been appended to the log."""
        return self._claimer.is_settled

    async def seek(self, claim: claim_records.Claim) -> Verdict:
        """Append a claim and return the verdict, at the latest by the start deadline.

        A claim without a verdict by then is denied as lapsed.
        """
        pending = self._pending.setdefault(claim.claim_id, _Pending())
        self._execute(self._claimer.seek(claim, self._timer.now()))
        self._schedule_flush()
        wait_until = clock.convert_deadline(claim.start_deadline, self._timer.now())
        with anyio.move_on_at(wait_until):
            await pending.event.wait()
        self._execute(self._claimer.process_due(self._timer.now()))
        self._pending.pop(claim.claim_id, None)
        if pending.verdict is None:
            return claimer.Denied(claim, claimer.Denial.LAPSED, None)
        return pending.verdict

    def settle(self, record: claim_records.Record) -> None:
        """Append an outcome to the log."""
        self._execute(self._claimer.settle(record, self._timer.now()))
        self._schedule_flush()

    def retry(self) -> None:
        """Retry appends that failed because the log was down."""
        self._execute(self._claimer.retry(self._timer.now()))

    def _execute(self, actions: list[claimer.Action]) -> None:
        for action in actions:
            match action:
                case claimer.Append():
                    self._group.start_soon(self._append, action)
                case claimer.Read():
                    self._start_reading()
                case claimer.Granted() | claimer.Denied():
                    self._deliver(action)

    def _deliver(self, verdict: Verdict) -> None:
        pending = self._pending.get(verdict.claim.claim_id)
        if pending is not None and pending.verdict is None:
            pending.verdict = verdict
            pending.event.set()

    def _schedule_flush(self) -> None:
        if self._claimer.is_settled:
            return
        if self._wait > 0 and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._group.start_soon(self._flush)

    async def _flush(self) -> None:
        await anyio.sleep(self._wait)
        self._is_flush_scheduled = False
        self._execute(self._claimer.process_due(self._timer.now()))

    async def _append(self, action: claimer.Append) -> None:
        try:
            offset = await self._log.append(self._stream, action.data)
        except platform_log.LogRefusedError:
            self._execute(self._claimer.handle_refused(action.batch, self._timer.now()))
            return
        except platform_log.LogUncertainError:
            actions = self._claimer.handle_uncertain(action.batch, self._timer.now())
            await anyio.sleep(RETRY_DELAY_S)
            self._execute(actions)
            self._execute(self._claimer.process_due(self._timer.now()))
            return
        now = self._timer.now()
        self._execute(self._claimer.handle_appended(action.batch, offset, now))
        self._schedule_flush()

    def _start_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            self._group.start_soon(self._read)

    async def _read(self) -> None:
        """Read the stream until no claim waits for a verdict."""
        try:
            while self._claimer.is_seeking:
                await self._read_page()
                self._execute(self._claimer.process_due(self._timer.now()))
        finally:
            self._is_reading = False

    async def _read_page(self) -> None:
        start = self._claimer.next_offset
        try:
            page = await self._log.read(self._stream, start, READ_WAIT_S)
        except platform_log.LogRefusedError:
            await anyio.sleep(RETRY_DELAY_S)
            return
        self._claimer.skip_to(page.offset)
        for index, data in enumerate(page.entries):
            now = self._timer.now()
            self._execute(self._claimer.apply_entry(page.offset + index, data, now))


class ClaimsService:
    """Seeks claims, through the VM that appends for the slice if it answers.

    Parameters
    ----------
    own_vm : str
        Name of this VM.
    log : platform_log.Log
        The platform's log.
    timer : clock.Clock
        Source of the current time.
    group : anyio.abc.TaskGroup
        Task group in which appends and reads run.
    window : float
        Seconds after its creation in which a key may be used.
    slices : int
        Number of slices over which keys are spread.
    wait : float
        Seconds that a claim may wait to share an append with others.
    """

    def __init__(
        self,
        own_vm: str,
        log: platform_log.Log,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
        window: float,
        slices: int,
        wait: float,
    ) -> None:
        self._own_vm = own_vm
        self._log = log
        self._timer = timer
        self._group = group
        self._horizon = window * HORIZON_WINDOWS
        self._slices = slices
        self._wait = wait
        self._drivers: dict[int, SliceDriver] = {}
        self._peers: Peers | None = None
        self._appenders: dict[int, str] = {}
        self._appenders_revision = -1

    def set_peers(self, peers: Peers) -> None:
        """Set the access to other VMs; without it this VM appends everything itself."""
        self._peers = peers

    @property
    def is_settled(self) -> bool:
        """Whether every outcome has been appended to the log."""
        return all(driver.is_settled for driver in self._drivers.values())

    async def seek(self, claim: claim_records.Claim) -> Verdict:
        """Return the verdict on a claim of this VM.

        If the appending VM does not answer in time, this VM appends the claim itself.
        """
        slice_number = keys.find_slice(claim.key_digest, self._slices)
        appender = self._pick_appender(slice_number)
        if appender != self._own_vm and self._peers is not None:
            verdict = await self._seek_through_peer(appender, claim)
            if verdict is not None:
                return verdict
            return self._allow_for_peer_append(
                await self._find_driver(slice_number).seek(claim)
            )
        return await self._find_driver(slice_number).seek(claim)

    async def seek_for_peer(
        self, claim: claim_records.Claim
    ) -> peer_messages.ClaimResponse:
        """Return the verdict on another VM's claim, for which this VM appends."""
        slice_number = keys.find_slice(claim.key_digest, self._slices)
        match await self._find_driver(slice_number).seek(claim):
            case claimer.Granted():
                return peer_messages.ClaimResponse(claim.claim_id, None, None)
            case claimer.Denied(reason=reason, entry=entry):
                return peer_messages.ClaimResponse(claim.claim_id, reason, entry)

    async def settle(self, record: claim_records.Record) -> None:
        """Append an outcome, through the slice's appending VM if it answers."""
        slice_number = keys.find_slice(record.key_digest, self._slices)
        appender = self._pick_appender(slice_number)
        if appender != self._own_vm and self._peers is not None:
            if await self._peers.ask_settle(appender, claim_records.pack([record])):
                return
        self._find_driver(slice_number).settle(record)

    def settle_for_peer(self, records: tuple[claim_records.Record, ...]) -> None:
        """Append another VM's outcomes to the log."""
        for record in records:
            slice_number = keys.find_slice(record.key_digest, self._slices)
            self._find_driver(slice_number).settle(record)

    async def run(self) -> None:
        """Retry periodically the appends that failed because the log was down."""
        while True:
            await anyio.sleep(OUTAGE_RETRY_INTERVAL_S)
            for driver in self._drivers.values():
                if not driver.is_settled:
                    driver.retry()

    async def _seek_through_peer(
        self, appender: str, claim: claim_records.Claim
    ) -> Verdict | None:
        """Return the appending VM's verdict, or None if it gives none in time.

        The peer has only part of the time, so that this VM can still append the claim
        itself. Should both append it, the copies have the same id and count once.
        """
        if self._peers is None:
            return None
        now = self._timer.now()
        peer_timeout = PEER_TIMEOUT_SHARE * (claim.start_deadline - now)
        response = None
        with anyio.move_on_after(max(0.0, peer_timeout)):
            response = await self._peers.ask_claim(appender, claim)
        if response is None:
            return None
        if response.denial is None:
            return claimer.Granted(claim)
        return claimer.Denied(claim, response.denial, response.entry)

    def _allow_for_peer_append(self, verdict: Verdict) -> Verdict:
        """Adjust this VM's own verdict, after a peer was asked and gave none.

        The log refused this VM's append, but the peer's may have succeeded. The claim
        is therefore reported as unsettled: unless it is released, its key may stay
        blocked.
        """
        if isinstance(verdict, claimer.Denied):
            if verdict.reason is claimer.Denial.LOG_DOWN:
                return claimer.Denied(verdict.claim, claimer.Denial.UNSETTLED, None)
        return verdict

    def _pick_appender(self, slice_number: int) -> str:
        """Return the VM that appends for a slice.

        VMs with the same member list pick the same VM. The choice is cached until the
        members change.
        """
        if self._peers is None:
            return self._own_vm
        revision = self._peers.read_revision()
        if revision != self._appenders_revision:
            self._appenders_revision = revision
            self._appenders.clear()
        appender = self._appenders.get(slice_number)
        if appender is None:
            names = [self._own_vm, *self._peers.list_alive()]
            appender = rendezvous.pick(f"slice/{slice_number}", names)[0]
            self._appenders[slice_number] = appender
        return appender

    def _find_driver(self, slice_number: int) -> SliceDriver:
        """Return the driver of a slice, creating it on first use."""
        driver = self._drivers.get(slice_number)
        if driver is None:
            driver = self._drivers[slice_number] = SliceDriver(
                f"claims-{slice_number}",
                self._log,
                self._timer,
                self._group,
                self._horizon,
                self._wait,
            )
        return driver
