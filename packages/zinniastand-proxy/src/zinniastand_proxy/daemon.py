"""Composition root: builds the components of one VM's process and runs them."""

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

INCARNATIONS_PER_S = 1000
"""Incarnations are start times in Unix milliseconds."""

STOP_POLL_INTERVAL_S = 0.02
MAINTENANCE_INTERVAL_S = 5.0
"""Seconds between adjustments of the clock and checks for idle connections."""

IDLE_INTERVAL_S = 5.0
UNREADY_DURATION_S = 3.0

_logger = logs.get_logger("daemon")


class Daemon:
    """The proxy daemon of one VM.

    Parameters
    ----------
    config : settings.Settings
        Settings of this VM.
    log : platform_log.Log or None
        The platform's log; by default the one that the settings name.
    vm_list_source : vm_list.VmListSource or None
        The VM list; by default the one that the settings name, if any.
    unready_for : float
        Seconds for which requests are still served after ``/ready`` reports that the
        VM is stopping. The balancer must notice within this time.

    Attributes
    ----------
    caller_port : int
        TCP port of the callers' listener.
    admin_port : int
        TCP port of the admin listener.
    events : timeline.Timeline
        Events that this VM recorded.
    metrics : metrics.Metrics
        Metrics of this VM.
    table : service_table.ServiceTable
        Routers and limits of the bundle in force.
    cut_off : int
        Number of requests that the stop ended without an answer.
    """

    def __init__(
        self,
        config: settings.Settings,
        log: platform_log.Log | None = None,
        vm_list_source: vm_list.VmListSource | None = None,
        unready_for: float = UNREADY_DURATION_S,
    ) -> None:
        self._config = config
        self._timer = clock.SystemClock()
        self._log = log or platform_log.HttpLog(config.log_url)
        self._vm_list_source = vm_list_source
        if vm_list_source is None and config.vm_list_url:
            self._vm_list_source = vm_list.HttpVmList(config.vm_list_url)
        self._unready_for = unready_for
        self._stop_requested = anyio.Event()
        self._immediate_stop_requested = anyio.Event()
        self._listeners_closing = anyio.Event()
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
        """Return the version of the bundle in force; 0 if there is none yet."""
        return self._core.config.chain.version if self._core else 0

    def list_members(self) -> list[membership.Member]:
        """Return the other VMs that are considered alive; empty before `run`."""
        return self._core.members.list_alive() if self._core else []

    def stop(self) -> None:
        """Start a graceful stop; a second call stops without waiting for requests."""
        if self._stop_requested.is_set():
            self._immediate_stop_requested.set()
        self._stop_requested.set()

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until stopped.

        Parameters
        ----------
        task_status : anyio.abc.TaskStatus
            Reports that the daemon has started, after the peer listener is up and
            the other listeners' tasks have been started.
        """
        async with anyio.create_task_group() as group:
            await self._run_components(group, task_status)
            group.cancel_scope.cancel()

    async def _run_components(
        self, group: anyio.abc.TaskGroup, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        config = self._config
        own = membership.Member(
            config.vm,
            config.data_centre,
            config.peers_url,
            int(time.time() * INCARNATIONS_PER_S),
        )
        pool = connections.Connections(config.connections_per_target)
        fleet_control, claims = self._make_fleet(own, group)
        dependencies = self._make_dependencies(own, pool, claims, group)
        window = caller_app.make_window(config.key_window)
        callers = caller_app.CallerApp(dependencies, self.table, window)
        admin = admin_app.AdminApp(dependencies, callers, fleet_control, self.table)
        await group.start(fleet_control.network.serve, config.peers)
        group.start_soon(fleet_control.run)
        group.start_soon(claims.run)
        group.start_soon(self._run_maintenance, pool)
        group.start_soon(self._admin.serve, admin, self._listeners_closing.wait)
        group.start_soon(self._callers.serve, callers, self._listeners_closing.wait)
        self._record_event(timeline.EventKind.STARTED, f"incarnation {own.incarnation}")
        task_status.started()
        await self._stop_requested.wait()
        await self._stop(admin, callers, fleet_control, claims)
        await self._close_clients(pool)

    def _make_fleet(
        self, own: membership.Member, group: anyio.abc.TaskGroup
    ) -> tuple[fleet.Fleet, claims_service.ClaimsService]:
        config, timer = self._config, self._timer
        core = control.Control(own, config.trusted, config.log_retention, self.events)
        self._core = core
        fleet_control = fleet.Fleet(
            config, core, self.table, self._log, self._vm_list_source, timer, group
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
        claims.set_peers(fleet_control)
        fleet_control.use_claims(claims)
        return fleet_control, claims

    def _make_dependencies(
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

    async def _close_clients(self, pool: connections.Connections) -> None:
        await pool.close()
        for client in (self._log, self._vm_list_source):
            if isinstance(client, platform_log.HttpLog | vm_list.HttpVmList):
                await client.close()

    async def _stop(
        self,
        admin: admin_app.AdminApp,
        callers: caller_app.CallerApp,
        fleet_control: fleet.Fleet,
        claims: claims_service.ClaimsService,
    ) -> None:
        """Stop without cutting off requests, unless the time limit expires.

        The balancer keeps sending requests until it notices that this VM is not ready,
        so the listeners stay open for `unready_for` seconds more. After that, this VM
        announces that it is leaving and waits until open requests have ended and their
        outcomes are on the log. The listeners close last. `Settings.stop_limit` or a
        second stop request ends the wait early.
        """
        admin.is_stopping = True
        callers.is_stopping = True
        self._record_event(
            timeline.EventKind.STOPPING, f"{callers.in_flight} in flight"
        )
        stop_deadline = anyio.current_time() + self._config.stop_limit
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_second_stop, scope)
                with anyio.move_on_at(stop_deadline):
                    await anyio.sleep(self._unready_for)
                    fleet_control.announce_leaving()
                    while callers.in_flight or not claims.is_settled:
                        await anyio.sleep(STOP_POLL_INTERVAL_S)
                group.cancel_scope.cancel()
        self.cut_off = callers.in_flight
        self._record_event(timeline.EventKind.STOPPED, f"{self.cut_off} cut off")
        self._listeners_closing.set()
        with anyio.move_on_after(listeners.CLOSE_GRACE_S):
            while callers.in_flight:
                await anyio.sleep(STOP_POLL_INTERVAL_S)
            await anyio.sleep(STOP_POLL_INTERVAL_S)

    async def _cancel_on_second_stop(self, scope: anyio.CancelScope) -> None:
        await self._immediate_stop_requested.wait()
        scope.cancel()

    async def _run_maintenance(self, pool: connections.Connections) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            if isinstance(self._timer, clock.SystemClock):
                self._timer.adjust_to_wall_clock()
            await pool.close_idle(self._timer.now())

    def _record_event(self, kind: timeline.EventKind, detail: str) -> None:
        self.events.record(kind, self._config.vm, detail, self._timer.now())
        _logger.info(kind.value, extra={"detail": detail})
