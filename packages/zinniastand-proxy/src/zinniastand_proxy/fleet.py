"""Connects the control plane of one VM to other VMs, the platform's log and VM list.

The control plane itself, `control.Control`, does no I/O.
"""

from __future__ import annotations

import anyio
import anyio.abc
import expression

from zinniastand_core import (
    claim_records,
    control,
    control_actions,
    peer_messages,
    rendezvous,
    timeline,
)

from . import (
    claims_service,
    clock,
    logs,
    peers,
    platform_log,
    service_table,
    settings,
    vm_list,
)

CONFIG_STREAM = "config"
"""Stream of the platform's log that carries the configuration."""

TICK_INTERVAL_S = 0.5
READ_WAIT_S = 5.0
"""Maximum time that a read of the log waits for new entries."""

ERROR_DELAY_S = 0.5
LIST_INTERVAL_S = 2.0
"""Seconds between reads of the VM list, and between contacts of first peers."""

MAX_APPEND_ATTEMPTS = 3
REFRESH_CHECK_INTERVAL_S = 5.0
READERS_PER_DATA_CENTRE = 8
"""VMs of each data centre that follow the configuration stream on the log."""

RELAYED_READ_INTERVAL_S = 5.0
"""Seconds between reads by VMs that rely on their peers for configuration."""

_logger = logs.get_logger("fleet")


class Fleet:
    """Runs the control plane of one VM: passes it events and executes its actions.

    Parameters
    ----------
    config : settings.Settings
        Settings of this VM.
    core : control.Control
        The control plane's state and decisions.
    table : service_table.ServiceTable
        Routers and limits, updated when a bundle comes into force.
    log : platform_log.Log
        The platform's log.
    vm_list_source : vm_list.VmListSource or None
        The platform's VM list, if it has one.
    timer : clock.Clock
        Source of the current time.
    group : anyio.abc.TaskGroup
        Task group of the links and of work that messages start.
    """

    def __init__(
        self,
        config: settings.Settings,
        core: control.Control,
        table: service_table.ServiceTable,
        log: platform_log.Log,
        vm_list_source: vm_list.VmListSource | None,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
    ) -> None:
        self._config = config
        self._core = core
        self._table = table
        self._log = log
        self._vm_list_source = vm_list_source
        self._timer = timer
        self._group = group
        self._claims: claims_service.ClaimsService | None = None
        self._pending_claims: dict[bytes, anyio.Event] = {}
        self._claim_answers: dict[bytes, peer_messages.ClaimResponse] = {}
        self._log_is_up = True
        self.network = peers.PeerNetwork(
            config.vm, timer, group, self._handle_message, config.peers_tls
        )

    @property
    def core(self) -> control.Control:
        """State and decisions of the control plane."""
        return self._core

    @property
    def log_is_up(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._log_is_up

    def use_claims(self, claims: claims_service.ClaimsService) -> None:
        """Set the service that seeks claims on behalf of other VMs."""
        self._claims = claims

    async def run(self) -> None:
        """Follow the log and the VM list and run periodic work, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow_config_stream)
            group.start_soon(self._poll_vm_list)
            group.start_soon(self._contact_first_peers)
            group.start_soon(self._tick)
            group.start_soon(self._refresh_head)

    def announce_leaving(self) -> None:
        """Announce to the fleet that this VM is stopping."""
        self._execute(self._core.leave(self._timer.now()))

    # Implementation of `claims_service.Peers`.

    def list_alive(self) -> list[str]:
        """Return the names of the other VMs that are up."""
        return [member.vm for member in self._core.members.list_alive()]

    def read_revision(self) -> int:
        """Return a number that changes whenever the set of members changes."""
        return self._core.members.revision

    async def ask_claim(
        self, vm: str, claim: claim_records.Claim
    ) -> peer_messages.ClaimResponse | None:
        """Ask another VM to seek a claim.

        Waits until the answer arrives or the calling task cancels the wait.

        Parameters
        ----------
        vm : str
            Name of the VM to ask.
        claim : claim_records.Claim
            The claim to seek.

        Returns
        -------
        peer_messages.ClaimResponse or None
            The VM's verdict.
        """
        event = self._pending_claims[claim.claim_id] = anyio.Event()
        try:
            self._send(vm, peer_messages.ClaimRequest(claim))
            await event.wait()
            return self._claim_answers.pop(claim.claim_id, None)
        finally:
            del self._pending_claims[claim.claim_id]

    async def ask_settle(self, vm: str, data: bytes) -> bool:
        """Send outcomes of requests to another VM, to be written to the log.

        Parameters
        ----------
        vm : str
            Name of the VM that appends them.
        data : bytes
            Packed records; see `claim_records.pack`.

        Returns
        -------
        bool
            False if there is no link to the VM; True doesn't confirm delivery.
        """
        if not self.network.is_linked(vm):
            return False
        self._send(vm, peer_messages.SettleRequest(data))
        return True

    def _handle_message(self, sender: str, message: peer_messages.Message) -> None:
        match message:
            case peer_messages.ClaimRequest():
                self._group.start_soon(self._answer_claim, sender, message)
            case peer_messages.ClaimResponse():
                event = self._pending_claims.get(message.claim_id)
                if event is not None:
                    self._claim_answers[message.claim_id] = message
                    event.set()
            case peer_messages.SettleRequest():
                self._handle_settlement(message)
            case _:
                now = self._timer.now()
                self._execute(self._core.handle_message(sender, message, now))

    async def _answer_claim(
        self, sender: str, message: peer_messages.ClaimRequest
    ) -> None:
        if self._claims is not None:
            self._send(sender, await self._claims.seek_for_peer(message.claim))

    def _handle_settlement(self, message: peer_messages.SettleRequest) -> None:
        match claim_records.unpack(message.data):
            case expression.Result(tag="ok", ok=records) if self._claims is not None:
                self._claims.settle_for_peer(records)
            case _:
                pass

    def _send(self, vm: str, message: peer_messages.Message) -> None:
        member = self._core.members.find(vm)
        self.network.send_message(vm, member.url if member else "", message)

    def _execute(self, actions: list[control_actions.Action]) -> None:
        for action in actions:
            match action:
                case control_actions.SendMessage():
                    self._send(action.vm, action.message)
                case control_actions.AppendConfig():
                    self._group.start_soon(self._append_config, action.data)
                case control_actions.Reconfigure():
                    self._reconfigure()

    def _reconfigure(self) -> None:
        now = self._timer.now()
        self._table.apply_bundle(self._core.config.chain.bundle, now)
        self._core.evidence.use_routers(self._table.routers)
        self._core.leaving_targets.use_routers(self._table.routers)
        self._core.evidence.apply_ejections(now)

    async def _append_config(self, data: bytes) -> None:
        """Append a record, with retries while it is uncertain whether it was stored.

        Retries may store it twice. That is harmless: readers refuse the second copy.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                await self._log.append(CONFIG_STREAM, data)
                return
            except platform_log.LogUncertainError:
                await anyio.sleep(ERROR_DELAY_S)
            except platform_log.LogRefusedError:
                return

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            now = self._timer.now()
            self._execute(self._core.tick(now))
            vms = self._core.members.count_observers().vms
            self._table.set_vm_count(vms, now)

    async def _follow_config_stream(self) -> None:
        """Read the configuration stream and apply its entries.

        To limit the load on the log, only `READERS_PER_DATA_CENTRE` VMs of each data
        centre follow it. The others receive configuration from peers, and read the
        log every `RELAYED_READ_INTERVAL_S` seconds in case that fails.
        """
        while True:
            wait = READ_WAIT_S
            if not self._is_config_reader():
                await anyio.sleep(RELAYED_READ_INTERVAL_S)
                wait = 0.0
            start = self._core.config.next_offset
            try:
                page = await self._log.read(CONFIG_STREAM, start, wait)
            except platform_log.LogRefusedError as error:
                self._record_log_state(False, str(error))
                await anyio.sleep(ERROR_DELAY_S)
                continue
            self._record_log_state(True, "")
            if page.entries:
                now = self._timer.now()
                self._execute(
                    self._core.apply_log_entries(page.offset, page.entries, now)
                )

    def _is_config_reader(self) -> bool:
        own = self._core.members.own
        names = [
            member.vm
            for member in self._core.members.list_alive()
            if member.data_centre == own.data_centre
        ]
        role = f"config-readers/{own.data_centre}"
        return own.vm in rendezvous.pick(
            role, [*names, own.vm], READERS_PER_DATA_CENTRE
        )

    def _record_log_state(self, is_up: bool, detail: str) -> None:
        if is_up == self._log_is_up:
            return
        self._log_is_up = is_up
        kind = timeline.EventKind.LOG_UP if is_up else timeline.EventKind.LOG_DOWN
        self._core.events.record(kind, "log", detail, self._timer.now())
        _logger.warning("log is %s", "up" if is_up else "down")

    async def _poll_vm_list(self) -> None:
        while self._vm_list_source is not None:
            try:
                listed_vms = await self._vm_list_source.read()
            except vm_list.VmListError as error:
                _logger.info("VM list unreadable", extra={"error": str(error)})
            else:
                now = self._timer.now()
                self._core.members.merge_list(listed_vms.entry_vms, now)
                self._mark_leaving_targets(listed_vms.leaving_hosts, now)
            await anyio.sleep(LIST_INTERVAL_S)

    async def _contact_first_peers(self) -> None:
        """Contact the first peers of the settings while no other VM is alive."""
        members = self._core.members
        while True:
            for url in self._config.first_peers:
                if url != self._config.peers_url and not members.list_alive():
                    own = peer_messages.Sightings((members.own_sighting,))
                    request = peer_messages.MembersRequest()
                    await self.network.introduce(url, [own, request])
            await anyio.sleep(LIST_INTERVAL_S)

    def _mark_leaving_targets(self, addresses: tuple[str, ...], now: float) -> None:
        for routing in self._table.routers.values():
            for target in routing.service.targets:
                if f"{target.host}:{target.port}" in addresses:
                    routing.mark_leaving(target.name, now)

    async def _refresh_head(self) -> None:
        """Append the head of the configuration again before its retention ends.

        The VM of the first rank does so. If it fails to, the VM of the next rank finds
        the head still old at its own, later check. A second copy changes nothing.
        """
        while True:
            await anyio.sleep(REFRESH_CHECK_INTERVAL_S)
            snapshot = self._core.find_due_snapshot(self._timer.now())
            if snapshot is not None:
                await self._append_config(snapshot)
