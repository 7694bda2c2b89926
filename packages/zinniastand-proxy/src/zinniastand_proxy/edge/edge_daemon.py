"""The composition root of the edge: wires the parts of one VM and runs them."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import time
import traceback

import anyio
import anyio.abc

from zinniastand_core.deployment import configuration, routing, targets
from zinniastand_core.dispatch import messages
from zinniastand_core.quarantine import quarantine

from .. import metrics
from . import (
    calls,
    configuration_keeper,
    edge_settings,
    fleet_messenger,
    forwarder,
    header_names,
    http_server,
    knowledge_exchange,
    knowledge_keeper,
    local_dispatchers,
    log_lines,
    members,
    pages,
    peer_link,
    placement,
    ports,
    resignation,
    stopping,
    supervision,
    suspect_exchange,
    suspension,
    target_client,
)

WAKE_PAUSE = 0.05
"""Seconds between two looks at the time by the dispatchers: lost slots, slow targets
and waits that end are noticed that late."""

IDLE_PAUSE = 1.0
"""Seconds between two closings of idle connections."""

MOST_TRACE = 2_000
"""Characters of a traceback that go into the log: its end names the place."""

SETTINGS_PAUSE = 1.0
"""Seconds between two looks whether the settings have changed without a signal."""

CHANGEABLE = frozenset({"retries", "stop_limit", "store", "unready_after"})
"""Settings that a running process can change."""

MILLISECONDS = 1000
"""In a second. Incarnations are milliseconds of unix time."""


class EdgeDaemon:
    """One VM's process.

    Parameters
    ----------
    settings : edge_settings.Settings
        Its settings.
    store : ports.Store
        The platform's store.
    words : header_names.HeaderNames
        Headers of the platform.
    log : log_lines.LogLines
        Where decisions are noted.
    rng : random.Random
        Source of randomness.
    settings_file : edge_settings.SettingsFile, optional
        Where the settings are read anew; without it they stay as they are.
    """

    def __init__(
        self,
        settings: edge_settings.Settings,
        store: ports.Store,
        words: header_names.HeaderNames,
        log: log_lines.LogLines,
        rng: random.Random,
        settings_file: edge_settings.SettingsFile | None = None,
    ) -> None:
        self._settings = settings
        self._settings_file = settings_file
        self._store = store
        self._words = words
        self._log = log
        self._rng = rng
        self._is_stopping = False
        self._stop_wanted = anyio.Event()
        self._ended: stopping.StopSummary | None = None
        self.metrics = metrics.Metrics()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stop_wanted.set()

    def begin_stop(self, answer_by: float) -> None:
        """Refuse readiness, and give each request its answer by a time."""
        self._is_stopping = True
        self._talk.is_leaving = True
        self._callers.is_stopping = True
        self._forwarder.end_by(answer_by)
        self._log.write(
            "stopping",
            in_flight=self._callers.in_flight,
            reading=self._callers.count_receiving(),
            limit_ms=round((answer_by - anyio.current_time()) * MILLISECONDS),
        )

    def kill(self) -> None:
        """End at once, without a word to anybody; for tests of failures."""
        self._scope.cancel()

    def use_configuration(self, current: configuration.Configuration) -> None:
        """Take a configuration from elsewhere than the store, if it is newer."""
        self._keeper.use(current, configuration_keeper.OPERATOR)

    def find_dispatcher(self, service: str) -> str:
        """Return the VM that this one asks first for targets of a service."""
        ranked = self._fleet.rank(service, anyio.current_time(), 1)
        return ranked[0] if ranked else self._fleet.own.vm

    def reload(self) -> None:
        """Read the settings anew and use what can change in a running process.

        That is the bounds of retries and of a stop, and where the store is. Names and
        the other addresses are those of the listeners and of the record that other VMs
        know, and wait for the next start. Settings with findings are refused whole: the
        former ones stay in force.
        """
        supervision.attempt("reload", self._take_settings, self._report_fault)

    def _take_settings(self) -> None:
        if self._settings_file is None:
            return
        loaded = self._settings_file.load()
        if loaded.is_error():
            why = str(loaded.error)[:MOST_TRACE]
            self._log.write("reload", outcome="refused", why=why)
            return
        fresh = loaded.ok
        changed = [
            field.name
            for field in dataclasses.fields(fresh)
            if getattr(fresh, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = fresh
        self._local_dispatchers.retries.use_budget(fresh.retries, anyio.current_time())
        self._store.use_address(fresh.store.host, fresh.store.port)
        waiting = [name for name in changed if name not in CHANGEABLE]
        self._log.write("reload", outcome="in force", changed=changed, waiting=waiting)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until stopped; started once the listeners are up."""
        self._build()
        own = self._fleet.own
        self._log.write(
            "started", incarnation=own.incarnation, data_centre=own.data_centre
        )
        with contextlib.closing(self._link):
            await self._serve(task_status)
        for name, close in (
            ("close targets", self._client.close),
            ("close store", self._store.close),
        ):
            await supervision.attempt_async(name, close, self._report_fault)
        self._log_stopped()
        self._log.flush()

    def _log_stopped(self) -> None:
        if self._ended is not None:
            self._log.write(
                "stopped",
                cut_off=self._ended.cut_off,
                cut_reading=self._ended.cut_reading,
                ms=round(self._ended.duration * MILLISECONDS),
            )

    async def _serve(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run the listeners and the tasks beside them until stopped."""
        settings = self._settings
        async with anyio.create_task_group() as group:
            self._scope = group.cancel_scope
            for server, address in (
                (self._callers, settings.callers),
                (self._readiness, settings.readiness),
                (self._exporter, settings.metrics),
            ):
                await group.start(server.serve, address.host, address.port)
            for name, task in self._list_tasks():
                group.start_soon(
                    supervision.keep_running, name, task, self._report_fault
                )
            task_status.started()
            await self._stop_wanted.wait()
            settings = self._settings
            times = stopping.StopTimes(settings.stop_limit, settings.unready_after)
            self._ended = await stopping.stop(
                self, self._callers, times, self._report_fault
            )
            group.cancel_scope.cancel()

    def _list_tasks(self) -> list[tuple[str, supervision.Run]]:
        """Return the tasks that run beside the requests, with their names."""
        return [
            ("receive datagrams", lambda: self._link.run(self._talk.receive)),
            ("serve knowledge", self._serve_knowledge),
            ("keep knowledge", self._keeper.run),
            ("wake desk", self._wake_local_dispatchers),
            ("tell opinions", self._talk.send_estimates_periodically),
            ("greet", self._talk.greet),
            ("tell suspects", self._suspects.run),
            ("close idle", self._close_idle),
            ("write log", self._log.run),
            ("follow settings", self._follow_settings),
        ]

    async def _serve_knowledge(self) -> None:
        peers = self._settings.peers
        take = self._keeper.take_snapshot
        await knowledge_exchange.serve(peers.host, peers.port, take)

    def _build(self) -> None:
        own = self._build_fleet()
        knowledge = forwarder.RoutingState(
            self._configured, routing.Router(self._rng), self._registry
        )
        self._keeper = knowledge_keeper.KnowledgeKeeper(
            self._store,
            knowledge,
            self._fleet,
            self._link,
            self._log,
            self._use_targets,
            self._rng,
            self._resignation,
        )
        hearers = fleet_messenger.Receivers(
            self._local_dispatchers, self._keeper, self._placement, self._suspects
        )
        self._talk = fleet_messenger.FleetMessenger(
            self._fleet, self._link, hearers, self._log, self._report_fault
        )
        self._local_dispatchers.retries.use_announcer(self._talk.send_retry_counts)
        self._client = target_client.TargetClient(self._words)
        self._suspension = suspension.SuspensionWatch(self._take_suspension)
        tools = forwarder.Dependencies(
            knowledge,
            self._placement,
            self._client,
            self._suspects,
            self._words,
            self._log,
            self.metrics,
            self._suspension.check,
            self._keeper.wait_at_start,
        )
        self._forwarder = forwarder.Forwarder(
            tools, own.vm, own.data_centre, own.incarnation
        )
        self._build_servers(self._forwarder)

    def _build_fleet(self) -> ports.Member:
        """Build what this VM shares with others; return its own record."""
        settings, log = self._settings, self._log
        peers = settings.peers
        self._link = peer_link.PeerLink(peers.host, peers.port, log)
        own = ports.Member(
            settings.vm,
            settings.data_centre,
            peers.host,
            self._link.port,
            int(time.time() * MILLISECONDS),
        )
        self._fleet = members.Members(own, anyio.current_time())
        self._resignation = resignation.Resignation(self._fleet, self._link, log)
        self._configured = configuration.ConfigurationState()
        self._registry = targets.Registry()
        self._local_dispatchers = local_dispatchers.LocalDispatchers(
            self._fleet,
            self._registry,
            settings.retries,
            self._rng,
            self._deliver,
            settings.is_new_fleet,
        )
        self._placement = placement.Placement(self._fleet, self._link, log, self._rng)
        self._placement.use_local_dispatchers(self._local_dispatchers)
        self._suspects = suspect_exchange.SuspectExchange(
            quarantine.Quarantine(), self._fleet, self._link, log, self._rng
        )
        return own

    def _build_servers(self, handler: calls.Handler) -> None:
        self._callers = http_server.Server(
            handler, self._read_limits, self._note_error, self._forwarder.may_overlap
        )
        self._readiness = http_server.Server(
            pages.Page(self._answer_readiness), configuration.Limits, self._note_error
        )
        self._exporter = http_server.Server(
            pages.Page(self._answer_metrics), configuration.Limits, self._note_error
        )

    def _read_limits(self) -> configuration.Limits:
        current = self._configured.current
        return current.limits if current is not None else configuration.Limits()

    def _note_error(self, error: BaseException) -> None:
        self._report_fault("serve", error)

    def _report_fault(self, task: str, error: BaseException) -> None:
        text = "".join(traceback.format_exception(error))
        self._log.write("unexpected_error", task=task, trace=text[-MOST_TRACE:])

    def _answer_readiness(self) -> calls.Reply:
        is_ready = self._keeper.is_complete and not self._is_stopping
        return calls.Reply(200 if is_ready else 503, [], b"")

    def _answer_metrics(self) -> calls.Reply:
        for name, value in (
            ("zinniastand_requests_in_flight", self._callers.in_flight),
            ("zinniastand_datagrams_sent_total", self._link.sent),
            ("zinniastand_datagram_bytes_sent_total", self._link.sent_bytes),
            (
                "zinniastand_target_connections_opened_total",
                self._client.opened_connections,
            ),
            ("zinniastand_target_answers_foreign_total", self._client.foreign_answers),
            (
                "zinniastand_target_answers_unnamed_total",
                self._client.unidentified_answers,
            ),
            (
                "zinniastand_target_limits_unreadable_total",
                self._client.malformed_limits,
            ),
            ("zinniastand_configuration_version", self._configured.version),
            ("zinniastand_requests_quarantined", self._suspects.count_quarantined()),
            ("zinniastand_store_era", self._store.era),
            ("zinniastand_log_lines_dropped", self._log.dropped),
            ("zinniastand_datagrams_unsent_total", self._link.unsent),
        ):
            self.metrics.set_gauge(name, value)
        self._set_retry_metrics()
        body = self.metrics.format_text().encode()
        return calls.Reply(200, [(b"content-type", b"text/plain")], body)

    def _set_retry_metrics(self) -> None:
        """Set what this VM has counted of the retries of each service."""
        now = anyio.current_time()
        for service in self._local_dispatchers.list_services():
            counted = self._local_dispatchers.retries.find_totals(service, now)
            labels = metrics.label(service=service)
            for field in dataclasses.fields(counted):
                name = f"zinniastand_retry_{field.name}"
                self.metrics.set_gauge(name, getattr(counted, field.name), labels)

    def _take_suspension(self, seconds: float) -> None:
        """Take in that this VM stood still for longer than its clock says."""
        self._log.write("suspended", seconds=round(seconds, 3))
        self._forwarder.compensate_suspension(seconds)
        self._keeper.lose_time(seconds)
        self._client.expire_idle()
        self._suspects.compensate_suspension(seconds)
        self._local_dispatchers.reset()
        self._fleet.restart_settling(anyio.current_time())

    def _use_targets(self) -> None:
        self._local_dispatchers.update_targets(anyio.current_time())

    def _deliver(self, vm: str, decision: messages.Decision) -> None:
        member = self._fleet.find(vm)
        if vm == self._fleet.own.vm:
            self._placement.handle_decision(decision)
        elif member is not None:
            self._link.send(decision, member)

    def send_estimates(self) -> None:
        """Tell the others what this VM thinks of targets."""
        self._talk.send_estimates(to_all=True)

    def announce_leaving(self) -> None:
        """Tell the others that this VM leaves."""
        self._talk.announce_leaving()

    async def _wake_local_dispatchers(self) -> None:
        while True:
            due_at = anyio.current_time() + WAKE_PAUSE
            await anyio.sleep_until(due_at)
            self._suspension.check()
            now = anyio.current_time()
            has_tasks = bool(self._local_dispatchers.list_busy())
            self._resignation.record_lateness(now - due_at, has_tasks)
            if self._registry.drop_vanished(now):
                self._local_dispatchers.update_targets(now)
            self._local_dispatchers.wake(now)

    async def _follow_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_PAUSE)
            if self._settings_file is not None and self._settings_file.has_changed():
                self.reload()

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(IDLE_PAUSE)
            await self._client.close_idle(anyio.current_time())
