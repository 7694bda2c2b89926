"""The VM's part in the fleet: `core.control` joined to links, log and VM list."""

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
TICK = 0.5
READ_WAIT = 5.0
ERROR_PAUSE = 0.5
LIST_PAUSE = 2.0
APPEND_TRIES = 3
REFRESH_CHECK = 5.0
READERS_PER_DATA_CENTRE = 8
RELAYED_READ_PAUSE = 5.0

_logger = logs.get_logger("fleet")


class Fleet:
    """Drives the control plane of one VM.

    Parameters
    ----------
    config : settings.Settings
        Settings of this VM.
    core : control.Control
        The decisions.
    table : service_table.ServiceTable
        What follows the bundle.
    log : platform_log.Log
        The platform's log.
    listing : vm_list.VmListSource or None
        The platform's list.
    timer : clock.Clock
        The time.
    group : anyio.abc.TaskGroup
        Where everything runs.
    """

    def __init__(
        self,
        config: settings.Settings,
        core: control.Control,
        table: service_table.ServiceTable,
        log: platform_log.Log,
        listing: vm_list.VmListSource | None,
        timer: clock.Clock,
        group: anyio.abc.TaskGroup,
    ) -> None:
        self._config = config
        self._core = core
        self._table = table
        self._log = log
        self._listing = listing
        self._timer = timer
        self._group = group
        self._claims: claims_service.ClaimsService | None = None
        self._asked: dict[bytes, anyio.Event] = {}
        self._answered: dict[bytes, peer_messages.ClaimAnswered] = {}
        self._log_is_up = True
        self.network = peers.PeerNetwork(
            config.vm, timer, group, self._take_message, config.peers_tls
        )

    @property
    def core(self) -> control.Control:
        """The decisions."""
        return self._core

    @property
    def log_is_up(self) -> bool:
        """Whether the last reading of the log worked."""
        return self._log_is_up

    def use_claims(self, claims: claims_service.ClaimsService) -> None:
        """Name who seeks claims for other VMs."""
        self._claims = claims

    async def run(self) -> None:
        """Read the log and the list, and tick, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_config)
            group.start_soon(self._read_list)
            group.start_soon(self._call_first_peers)
            group.start_soon(self._tick)
            group.start_soon(self._keep_head)

    def announce_leaving(self) -> None:
        """Tell the fleet that this VM is stopping."""
        self._act(self._core.leave(self._timer.now()))

    # What `claims_service.Peers` asks for.

    def list_alive(self) -> list[str]:
        """Return the names of the other VMs that are up."""
        return [member.vm for member in self._core.members.list_alive()]

    def read_revision(self) -> int:
        """Return a number that changes with the members."""
        return self._core.members.revision

    async def ask_claim(
        self, vm: str, claim: claim_records.Claim
    ) -> peer_messages.ClaimAnswered | None:
        """Return another VM's verdict on a claim."""
        event = self._asked[claim.claim_id] = anyio.Event()
        try:
            self._tell(vm, peer_messages.ClaimAsked(claim))
            await event.wait()
            return self._answered.pop(claim.claim_id, None)
        finally:
            del self._asked[claim.claim_id]

    async def ask_settle(self, vm: str, data: bytes) -> bool:
        """Hand outcomes to another VM; return whether they went out."""
        if not self.network.is_linked(vm):
            return False
        self._tell(vm, peer_messages.SettleAsked(data))
        return True

    # Inside.

    def _take_message(self, sender: str, message: peer_messages.Message) -> None:
        match message:
            case peer_messages.ClaimAsked():
                self._group.start_soon(self._answer_claim, sender, message)
            case peer_messages.ClaimAnswered():
                event = self._asked.get(message.claim_id)
                if event is not None:
                    self._answered[message.claim_id] = message
                    event.set()
            case peer_messages.SettleAsked():
                self._take_settle(message)
            case _:
                now = self._timer.now()
                self._act(self._core.take_message(sender, message, now))

    async def _answer_claim(
        self, sender: str, message: peer_messages.ClaimAsked
    ) -> None:
        if self._claims is not None:
            self._tell(sender, await self._claims.seek_for_peer(message.claim))

    def _take_settle(self, message: peer_messages.SettleAsked) -> None:
        match claim_records.unpack(message.data):
            case expression.Result(tag="ok", ok=records) if self._claims is not None:
                self._claims.settle_for_peer(records)
            case _:
                pass

    def _tell(self, vm: str, message: peer_messages.Message) -> None:
        member = self._core.members.find(vm)
        self.network.tell(vm, member.url if member else "", message)

    def _act(self, actions: list[control_actions.Action]) -> None:
        for action in actions:
            match action:
                case control_actions.Tell():
                    self._tell(action.vm, action.message)
                case control_actions.AppendConfig():
                    self._group.start_soon(self._append, action.data)
                case control_actions.Reconfigure():
                    self._reconfigure()

    def _reconfigure(self) -> None:
        now = self._timer.now()
        self._table.apply_bundle(self._core.config.chain.bundle, now)
        self._core.evidence.use_routers(self._table.routers)
        self._core.evidence.apply_ejections(now)

    async def _append(self, data: bytes) -> None:
        """Append a record; a second copy is refused by the rule that reads it."""
        for _ in range(APPEND_TRIES):
            try:
                await self._log.append(CONFIG_STREAM, data)
                return
            except platform_log.LogUncertainError:
                await anyio.sleep(ERROR_PAUSE)
            except platform_log.LogRefusedError:
                return

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK)
            now = self._timer.now()
            self._act(self._core.tick(now))
            vms = self._core.members.watch().vms
            self._table.set_vm_count(vms, now)

    async def _read_config(self) -> None:
        """Follow the configuration stream.

        In a large fleet only some VMs of each data centre wait on the log; the others
        hear from peers and look themselves now and then.
        """
        while True:
            wait = READ_WAIT
            if not self._is_reader():
                await anyio.sleep(RELAYED_READ_PAUSE)
                wait = 0.0
            start = self._core.config.next_offset
            try:
                page = await self._log.read(CONFIG_STREAM, start, wait)
            except platform_log.LogRefusedError as error:
                self._note_log(False, str(error))
                await anyio.sleep(ERROR_PAUSE)
                continue
            self._note_log(True, "")
            if page.entries:
                now = self._timer.now()
                self._act(self._core.take_log_entries(page.offset, page.entries, now))

    def _is_reader(self) -> bool:
        own = self._core.members.own
        names = [
            member.vm
            for member in self._core.members.list_alive()
            if member.data_centre == own.data_centre
        ]
        task = f"config-readers/{own.data_centre}"
        return own.vm in rendezvous.pick(
            task, [*names, own.vm], READERS_PER_DATA_CENTRE
        )

    def _note_log(self, is_up: bool, detail: str) -> None:
        if is_up == self._log_is_up:
            return
        self._log_is_up = is_up
        kind = timeline.EventKind.LOG_UP if is_up else timeline.EventKind.LOG_DOWN
        self._core.events.record(kind, "log", detail, self._timer.now())
        _logger.warning("log is %s", "up" if is_up else "down")

    async def _read_list(self) -> None:
        while self._listing is not None:
            try:
                listed = await self._listing.read()
            except vm_list.VmListError as error:
                _logger.info("VM list unreadable", extra={"error": str(error)})
            else:
                now = self._timer.now()
                self._core.members.take_list(listed.entry_vms, now)
                self._note_leaving(listed.leaving_hosts, now)
            await anyio.sleep(LIST_PAUSE)

    async def _call_first_peers(self) -> None:
        """Call the peers that the settings name, as long as no other VM is known."""
        members = self._core.members
        while True:
            for url in self._config.first_peers:
                if url != self._config.peers_url and not members.list_alive():
                    own = peer_messages.Sightings((members.own_sighting,))
                    asked = peer_messages.MembersAsked()
                    await self.network.introduce(url, [own, asked])
            await anyio.sleep(LIST_PAUSE)

    def _note_leaving(self, addresses: tuple[str, ...], now: float) -> None:
        for routing in self._table.routers.values():
            for target in routing.service.targets:
                if f"{target.host}:{target.port}" in addresses:
                    routing.take_leaving(target.name, now)

    async def _keep_head(self) -> None:
        """Append the head again before the log forgets it.

        The VM that ranks first does it; if it cannot, the next one finds the head
        still old at its later look. A second copy changes nothing.
        """
        while True:
            await anyio.sleep(REFRESH_CHECK)
            snapshot = self._core.find_due_snapshot(self._timer.now())
            if snapshot is not None:
                await self._append(snapshot)
