"""The composition root: wires the parts of one VM and runs them."""

from __future__ import annotations

import random
import time

import anyio
import anyio.abc

from zinniastand_core import control, membership, timeline

from . import (
    admin_app,
    caller_app,
    claims_service,
    clock,
    conductor,
    connections,
    exchange,
    fleet,
    listeners,
    logs,
    metrics,
    platform_log,
    service_table,
    settings,
    vm_list,
)

INCARNATION_SCALE = 1000
STOP_POLL = 0.02
CLOCK_PAUSE = 5.0
IDLE_PAUSE = 5.0
UNREADY_FOR = 3.0

_logger = logs.get_logger("daemon")


class Daemon:
    """One VM's process.

    Parameters
    ----------
    config : settings.Settings
        Its settings.
    log : platform_log.Log or None
        The platform's log; by default the one that the settings name.
    listing : vm_list.VmListSource or None
        The VM list; by default the one that the settings name, if any.
    unready_for : float
        Seconds between saying "unready" and closing the listener: as long as the
        balancer may take to notice.
    """

    def __init__(
        self,
        config: settings.Settings,
        log: platform_log.Log | None = None,
        listing: vm_list.VmListSource | None = None,
        unready_for: float = UNREADY_FOR,
    ) -> None:
        self._config = config
        self._timer = clock.SystemClock()
        self._log = log or platform_log.HttpLog(config.log_url)
        self._listing = listing
        if listing is None and config.vm_list_url:
            self._listing = vm_list.HttpVmList(config.vm_list_url)
        self._unready_for = unready_for
        self._stop_wanted = anyio.Event()
        self._stop_now = anyio.Event()
        self._closed = anyio.Event()
        self._callers = listeners.Listener(config.callers, config.callers_tls)
        self._admin = listeners.Listener(config.admin, None)
        self.caller_port = self._callers.port
        self.admin_port = self._admin.port
        self.events = timeline.Timeline(config.vm)
        self.metrics = metrics.Metrics()
        self.table = service_table.ServiceTable(random.Random())
        self.cut_off = 0
        self._core: control.Control | None = None

    def read_version(self) -> int:
        """Return the version of the bundle in force, 0 before any."""
        return self._core.config.chain.version if self._core else 0

    def list_members(self) -> list[membership.Member]:
        """Return the other VMs that are thought to be up."""
        return self._core.members.list_alive() if self._core else []

    def stop(self) -> None:
        """Begin a graceful stop; a second call stops at once."""
        if self._stop_wanted.is_set():
            self._stop_now.set()
        self._stop_wanted.set()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until stopped; started once the listeners are up."""
        async with anyio.create_task_group() as group:
            await self._run_parts(group, task_status)
            group.cancel_scope.cancel()

    async def _run_parts(
        self, group: anyio.abc.TaskGroup, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        config = self._config
        own = membership.Member(
            config.vm,
            config.data_centre,
            config.peers_url,
            int(time.time() * INCARNATION_SCALE),
        )
        pool = connections.Connections(config.connections_per_target)
        joined, claims = self._make_fleet(own, group)
        tools = self._make_tools(own, pool, claims, group)
        window = caller_app.make_window(config.key_window)
        callers = caller_app.CallerApp(tools, self.table, window)
        admin = admin_app.AdminApp(tools, callers, joined, self.table)
        await group.start(joined.network.serve, config.peers)
        group.start_soon(joined.run)
        group.start_soon(claims.run)
        group.start_soon(self._follow_clock, pool)
        group.start_soon(self._admin.serve, admin, self._closed.wait)
        group.start_soon(self._callers.serve, callers, self._closed.wait)
        self._note(timeline.EventKind.STARTED, f"incarnation {own.incarnation}")
        task_status.started()
        await self._stop_wanted.wait()
        await self._stop(admin, callers, joined, claims)
        await self._close(pool)

    def _make_fleet(
        self, own: membership.Member, group: anyio.abc.TaskGroup
    ) -> tuple[fleet.Fleet, claims_service.ClaimsService]:
        config, timer = self._config, self._timer
        core = control.Control(own, config.trusted, config.log_retention, self.events)
        self._core = core
        joined = fleet.Fleet(
            config, core, self.table, self._log, self._listing, timer, group
        )
        claims = claims_service.ClaimsService(
            config.vm,
            self._log,
            timer,
            group,
            config.key_window,
            config.claim_slices,
            config.claim_wait,
        )
        claims.set_peers(joined)
        joined.use_claims(claims)
        return joined, claims

    def _make_tools(
        self,
        own: membership.Member,
        pool: connections.Connections,
        claims: claims_service.ClaimsService,
        group: anyio.abc.TaskGroup,
    ) -> conductor.Dependencies:
        return conductor.Dependencies(
            vm=own.vm,
            incarnation=own.incarnation,
            timer=self._timer,
            exchanger=exchange.Exchanger(pool, self._timer),
            claims=claims,
            group=group,
            metrics=self.metrics,
            events=self.events,
            max_body_bytes=self._config.max_body_bytes,
        )

    async def _close(self, pool: connections.Connections) -> None:
        await pool.close()
        for adapter in (self._log, self._listing):
            if isinstance(adapter, platform_log.HttpLog | vm_list.HttpVmList):
                await adapter.close()

    async def _stop(
        self,
        admin: admin_app.AdminApp,
        callers: caller_app.CallerApp,
        joined: fleet.Fleet,
        claims: claims_service.ClaimsService,
    ) -> None:
        """Stop in the order that cuts nobody off.

        The balancer goes on sending for a while after readiness is gone, and those
        requests are served. Only then does the listener close; work under way ends,
        and its outcomes go to the log.
        """
        admin.is_stopping = True
        callers.is_stopping = True
        self._note(timeline.EventKind.STOPPING, f"{callers.in_flight} in flight")
        limit = anyio.current_time() + self._config.stop_limit
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_second_stop, scope)
                with anyio.move_on_at(limit):
                    await anyio.sleep(self._unready_for)
                    joined.announce_leaving()
                    while callers.in_flight or not claims.is_settled:
                        await anyio.sleep(STOP_POLL)
                group.cancel_scope.cancel()
        self.cut_off = callers.in_flight
        self._note(timeline.EventKind.STOPPED, f"{self.cut_off} cut off")
        self._closed.set()
        with anyio.move_on_after(listeners.GRACE):
            while callers.in_flight:
                await anyio.sleep(STOP_POLL)
            await anyio.sleep(STOP_POLL)

    async def _cancel_on_second_stop(self, scope: anyio.CancelScope) -> None:
        await self._stop_now.wait()
        scope.cancel()

    async def _follow_clock(self, pool: connections.Connections) -> None:
        while True:
            await anyio.sleep(CLOCK_PAUSE)
            if isinstance(self._timer, clock.SystemClock):
                self._timer.follow()
            await pool.close_idle(self._timer.now())

    def _note(self, kind: timeline.EventKind, detail: str) -> None:
        self.events.record(kind, self._config.vm, detail, self._timer.now())
        _logger.info(kind.value, extra={"detail": detail})
