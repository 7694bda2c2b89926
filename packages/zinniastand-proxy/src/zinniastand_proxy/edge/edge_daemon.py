"""Composition root of the edge: builds the parts of one VM and runs them."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import math
import random
import time
import traceback

import anyio
import anyio.abc

from zinniastand_core import held_bytes
from zinniastand_core.accounts import quota
from zinniastand_core.deployment import configuration, routing, targets
from zinniastand_core.dispatch import mechanisms, messages
from zinniastand_core.forwarding import planned_end, target_links, target_notices
from zinniastand_core.quarantine import quarantine

from .. import metrics
from . import (
    calls,
    configuration_keeper,
    dispatch_reporter,
    edge_settings,
    fleet_messenger,
    forwarder,
    header_names,
    http_server,
    input_bounds,
    knowledge_keeper,
    local_dispatchers,
    log_lines,
    members,
    notice_exchange,
    pages,
    peer_link,
    peer_server,
    placement,
    ports,
    relay_client,
    relay_reporter,
    relay_server,
    relaying_connector,
    resignation,
    run_messages,
    stopping,
    supervision,
    suspect_exchange,
    suspension,
    target_client,
)
from .accounts import admission, credit_exchange, proof_exchange, quota_exchange
from .answers import answer_bounds, answer_stream, caller_sender
from .memory import answer_room
from .retries import retry_handover, retry_limiter

DISPATCH_INTERVAL_S = 0.05
"""Seconds between two checks of the dispatchers for lost slots, slow targets and waits
that have ended. Each is noticed at most this much late."""

IDLE_CHECK_INTERVAL_S = 1.0
"""Seconds between two rounds of closing idle connections."""

MAX_TRACE_CHARACTERS = 2_000
"""Maximum number of characters of a traceback, or of findings in the settings, in a log
line. The end of a traceback is kept, since it names the place of the error."""

SETTINGS_CHECK_INTERVAL_S = 1.0
"""Seconds between two checks whether the settings file has changed without a signal."""

CHANGEABLE_SETTINGS = frozenset({"retries", "stop_limit", "store", "unready_after"})
"""Settings that can change in a running process."""

MS_PER_S = 1000
"""Milliseconds in a second. Incarnations are milliseconds of Unix time."""


class EdgeDaemon:
    """The edge process of one VM.

    Parameters
    ----------
    settings : edge_settings.Settings
        Settings at the start.
    store : ports.Store
        The platform's store.
    platform_headers : header_names.HeaderNames
        Header names of the platform.
    log : log_lines.LogLines
        Logs events and decisions.
    rng : random.Random
        Source of randomness.
    settings_file : edge_settings.SettingsFile, optional
        File from which the settings are reloaded; without it they never change.
    bounds : input_bounds.BoundLog, optional
        Logs and counts the bounds on input that were reached, also by the store.
    """

    def __init__(
        self,
        settings: edge_settings.Settings,
        store: ports.Store,
        platform_headers: header_names.HeaderNames,
        log: log_lines.LogLines,
        rng: random.Random,
        settings_file: edge_settings.SettingsFile | None = None,
        bounds: input_bounds.BoundLog | None = None,
    ) -> None:
        self._bounds = bounds or input_bounds.BoundLog(log)
        self._settings = settings
        self._settings_file = settings_file
        self._store = store
        self._platform_headers = platform_headers
        self._log = log
        self._rng = rng
        self._is_stopping = False
        self._stop_requested = anyio.Event()
        self._stop_summary: stopping.StopSummary | None = None
        self.metrics = metrics.Metrics()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stop_requested.set()

    def begin_stop(self, answer_by: float) -> None:
        """Report this VM as not ready, and answer each request by a given time.

        Parameters
        ----------
        answer_by : float
            Seconds of the monotonic clock.
        """
        self._is_stopping = True
        self._messenger.is_leaving = True
        self._caller_server.is_stopping = True
        self._relay_server.is_stopping = True
        noticed_at = anyio.current_time() + self._settings.unready_after
        self._forwarder.end_by(planned_end.PlannedEnd(noticed_at, answer_by))
        self._log.write(
            "stopping",
            in_flight=self._caller_server.in_flight,
            reading=self._caller_server.count_receiving(),
            limit_ms=round((answer_by - anyio.current_time()) * MS_PER_S),
        )

    def kill(self) -> None:
        """End at once without informing the other VMs; used by tests of failures."""
        self._scope.cancel()

    def use_configuration(self, current: configuration.Configuration) -> None:
        """Apply a configuration from a source other than the store if it is newer."""
        self._keeper.apply_configuration(current, configuration_keeper.OPERATOR)

    def find_dispatcher(self, service: str) -> str:
        """Return the VM that this one asks first for slots of a service."""
        ranked = self._fleet.rank(service, anyio.current_time(), 1)
        return ranked[0] if ranked else self._fleet.own.vm

    def reload(self) -> None:
        """Reload the settings and apply those that can change in a running process.

        These are the bounds on retries and on a stop, and the address of the store.
        Names and the other addresses are used by the listeners and in the entry known
        to other VMs, and change at the next start. Settings with findings are rejected
        as a whole, and the former ones stay in force.
        """
        supervision.attempt("reload", self._apply_settings, self._report_fault)

    def _apply_settings(self) -> None:
        if self._settings_file is None:
            return
        loaded = self._settings_file.load()
        if loaded.is_error():
            why = str(loaded.error)[:MAX_TRACE_CHARACTERS]
            self._log.write("reload", outcome="refused", why=why)
            return
        new_settings = loaded.ok
        changed = [
            field.name
            for field in dataclasses.fields(new_settings)
            if getattr(new_settings, field.name) != getattr(self._settings, field.name)
        ]
        self._settings = new_settings
        now = anyio.current_time()
        self._local_dispatchers.use_retry_budget(new_settings.retries, now)
        self._retry_limiter.use_budget(new_settings.retries, now)
        self._store.use_address(new_settings.store.host, new_settings.store.port)
        waiting = [name for name in changed if name not in CHANGEABLE_SETTINGS]
        self._log.write("reload", outcome="in force", changed=changed, waiting=waiting)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until stopped; the task counts as started once the listeners are up."""
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
        self._log_stop_summary()
        self._log.flush()

    def _log_stop_summary(self) -> None:
        if self._stop_summary is not None:
            self._log.write(
                "stopped",
                cut_off=self._stop_summary.cut_off,
                cut_reading=self._stop_summary.cut_reading,
                ms=round(self._stop_summary.duration * MS_PER_S),
            )

    async def _serve(self, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Run the listeners and the background tasks until stopped."""
        settings = self._settings
        async with anyio.create_task_group() as group:
            self._scope = group.cancel_scope
            for server, address in (
                (self._caller_server, settings.callers),
                (self._readiness_server, settings.readiness),
                (self._metrics_server, settings.metrics),
            ):
                await group.start(server.serve, address.host, address.port)
            for name, task in self._list_tasks():
                group.start_soon(
                    supervision.keep_running, name, task, self._report_fault
                )
            task_status.started()
            await self._stop_requested.wait()
            settings = self._settings
            times = stopping.StopTimes(settings.stop_limit, settings.unready_after)
            self._stop_summary = await stopping.stop(
                self, self._caller_server, times, self._report_fault
            )
            group.cancel_scope.cancel()

    def _list_tasks(self) -> list[tuple[str, supervision.Run]]:
        """Return the names of the background tasks and the functions that run them."""
        return [
            ("receive datagrams", lambda: self._link.run(self._messenger.receive)),
            ("serve knowledge", self._serve_knowledge),
            ("keep knowledge", self._keeper.run),
            ("wake desk", self._wake_local_dispatchers),
            ("tell opinions", self._messenger.send_estimates_periodically),
            ("greet", self._messenger.greet),
            ("tell suspects", self._suspects.run),
            ("renew proof", self._proofs.run),
            ("relay quotas", self._quotas.run),
            ("exchange credit", self._credits.run),
            ("close idle", self._close_idle),
            ("watch links", self._direct_connector.watch),
            ("report dispatching", self._dispatch_reporter.run),
            ("write log", self._log.run),
            ("follow settings", self._follow_settings),
        ]

    async def _serve_knowledge(self) -> None:
        peers = self._settings.peers
        await peer_server.serve(
            peers.host,
            peers.port,
            self._keeper.make_snapshot,
            self._relay_server,
            self._report_server_error,
            self._bounds.record,
        )

    def _build(self) -> None:
        resources = self._settings.resources
        memory_bytes = resources.memory_bytes if resources is not None else None
        self._held = held_bytes.HeldBytes(held_bytes.make_limits(memory_bytes))
        self._streams = answer_stream.AnswerStreams(self._held)
        self._answer_room = answer_room.AnswerRoom(self._held)
        own = self._build_fleet()
        routing_state = forwarder.RoutingState(
            self._configuration_state, routing.Router(self._rng), self._registry
        )
        self._keeper = knowledge_keeper.KnowledgeKeeper(
            self._store,
            routing_state,
            self._fleet,
            self._link,
            self._log,
            self._apply_targets,
            self._rng,
            self._resignation,
            self._needs_proof,
            self._bounds.record,
        )
        self._build_accounts(own)
        receivers = fleet_messenger.Receivers(
            self._local_dispatchers,
            self._keeper,
            self._placement,
            self._retry_limiter.loans,
            self._suspects,
            self._notice_exchange,
            fleet_messenger.AccountReceivers(self._proofs, self._quotas, self._credits),
            self._handover,
        )
        self._messenger = fleet_messenger.FleetMessenger(
            self._fleet, self._link, receivers, self._log, self._report_fault
        )
        connector = self._build_connector()
        self._client = target_client.TargetClient(
            self._platform_headers,
            connector,
            self._bounds.record,
            self._count_buffered_answers,
            self._answer_room.wait,
        )
        self._suspension = suspension.SuspensionWatch(self._handle_suspension)
        dependencies = forwarder.Dependencies(
            routing_state,
            self._retry_limiter,
            self._client,
            self._suspects,
            self._notice_exchange,
            self._platform_headers,
            self._log,
            self.metrics,
            self._suspension.check,
            self._admission,
            self._keeper.wait_at_start,
            self._direct_connector.can_connect_elsewhere,
            answer_bounds.make_bounds(self._settings.resources),
            self._streams if self._settings.load.has_streamed_answers else None,
            self._settings.load.has_fair_accounts,
        )
        self._forwarder = forwarder.Forwarder(
            dependencies, own.vm, own.data_centre, own.incarnation
        )
        self._direct_connector.use_lost_handler(self._forwarder.release_slots)
        self._build_servers(self._forwarder)

    def _build_accounts(self, own: ports.Member) -> None:
        """Build what decides on requests of client accounts."""
        settings = self._settings.accounts
        tickets = itertools.count()
        ledger = quota.QuotaLedger(settings.quota_tolerance, self._rng)
        self._quotas = quota_exchange.QuotaExchange(
            self._configuration_state, ledger, self._fleet, self._link, self._log
        )
        # VMs without this policy lend, too, so that it can be enabled VM by VM.
        self._credits = credit_exchange.CreditExchange(
            self._configuration_state,
            ledger,
            self._quotas,
            self._fleet,
            self._link,
            self._log,
            self._check_suspension,
        )
        has_credit = self._settings.load.has_quota_credit
        self._admission = admission.Admission(
            self._configuration_state,
            self._platform_headers,
            self._credits if has_credit else self._quotas,
            lambda: f"{own.vm}:{own.incarnation}:q{next(tickets)}",
            settings.revocation_limit,
        )
        self._proofs = proof_exchange.ProofExchange(
            self._configuration_state,
            self._fleet,
            self._link,
            self._needs_proof,
            self._keeper.read_configuration,
            self._keeper.record_peer_version,
            self._rng,
        )

    def _check_suspension(self) -> None:
        self._suspension.check()

    def _needs_proof(self) -> bool:
        return self._admission.needs_proof

    def _build_connector(self) -> relaying_connector.RelayingConnector:
        links = target_links.TargetLinks()
        self._direct_connector = relaying_connector.WatchedConnector(
            links, self._registry, self._log, self._rng
        )
        self._relay_server = relay_server.RelayServer(
            self._fleet,
            self._registry,
            self._direct_connector,
            self._notices,
            self._log,
            self._bounds.record,
            self._held,
        )
        relays = relay_client.RelayClient(self._fleet, self._rng)
        self._relay_reporter = relay_reporter.RelayReporter(
            links, relays, self._relay_server, self.metrics
        )
        return relaying_connector.RelayingConnector(self._direct_connector, relays)

    def _build_fleet(self) -> ports.Member:
        """Build what takes part in the fleet; return the entry of this VM."""
        settings, log = self._settings, self._log
        peers = settings.peers
        self._link = peer_link.PeerLink(
            peers.host, peers.port, log, self._bounds.record
        )
        resources = settings.resources
        own = ports.Member(
            settings.vm,
            settings.data_centre,
            peers.host,
            self._link.port,
            int(time.time() * MS_PER_S),
            resources.processor if resources is not None else 0.0,
            resources.link_bytes_per_s if resources is not None else 0.0,
        )
        self._fleet = members.Members(own, anyio.current_time(), self._bounds.record)
        self._resignation = resignation.Resignation(self._fleet, self._link, log)
        self._configuration_state = configuration.ConfigurationState()
        self._registry = targets.Registry()
        self._local_dispatchers = local_dispatchers.LocalDispatchers(
            self._fleet,
            self._registry,
            settings.retries,
            self._rng,
            self._deliver,
            self._make_policy(),
        )
        self._dispatch_reporter = dispatch_reporter.DispatchReporter(
            self._local_dispatchers, log, self.metrics
        )
        self._placement = placement.Placement(
            self._fleet, self._link, log, self._rng, self._make_policy()
        )
        self._placement.use_local_dispatchers(self._local_dispatchers)
        self._retry_limiter = retry_limiter.RetryLimiter(
            self._placement,
            self._fleet,
            self._link,
            settings.retries,
            self._rng,
            settings.is_new_fleet,
        )
        self._handover: retry_handover.RetryHandover | None = None
        if settings.load.has_retry_handover:
            self._handover = retry_handover.RetryHandover(
                self._fleet, self._link, self._retry_limiter, log, self._rng
            )
        self._suspects = suspect_exchange.SuspectExchange(
            quarantine.Quarantine(), self._fleet, self._link, log, self._rng
        )
        self._notices = target_notices.TargetNotices()
        self._notice_exchange = notice_exchange.NoticeExchange(
            self._notices, self._registry, self._fleet, self._link
        )
        return own

    def _make_policy(self) -> mechanisms.Mechanisms:
        return mechanisms.Mechanisms(
            local_first=self._settings.load.is_local_first,
            fair_accounts=self._settings.load.has_fair_accounts,
        )

    def _build_servers(self, handler: calls.Handler) -> None:
        self._caller_server = http_server.Server(
            handler,
            self._read_limits,
            self._report_server_error,
            self._forwarder.may_overlap,
            self._bounds.record,
            self._held,
            self._report_slow_caller,
            self._forwarder.check_head,
        )
        self._readiness_server = http_server.Server(
            pages.Page(self._serve_readiness),
            configuration.Limits,
            self._report_server_error,
            record_bound=self._bounds.record,
        )
        self._metrics_server = http_server.Server(
            pages.Page(self._serve_metrics),
            configuration.Limits,
            self._report_server_error,
            record_bound=self._bounds.record,
        )

    def _read_limits(self) -> configuration.Limits:
        current = self._configuration_state.current
        return current.limits if current is not None else configuration.Limits()

    def _count_buffered_answers(self, change: int) -> None:
        if change >= 0:
            self._held.add_whole_answer(change)
        else:
            self._held.remove_whole_answer(-change, anyio.current_time())

    def _report_slow_caller(self, slow: caller_sender.SlowCaller) -> None:
        request_id = ""
        if slow.incoming is not None:
            request_id = run_messages.read_request_id(
                slow.incoming, self._platform_headers
            )
        self._log.write(
            "slow_caller",
            request=request_id,
            why=slow.reason.value,
            taken_bytes=slow.taken,
            waited_ms=round(slow.waited * MS_PER_S),
        )
        self.metrics.count(
            "zinniastand_slow_callers_total", metrics.label(why=slow.reason.value)
        )

    def _report_server_error(self, error: BaseException) -> None:
        self._report_fault("serve", error)

    def _report_fault(self, task: str, error: BaseException) -> None:
        text = "".join(traceback.format_exception(error))
        self._log.write(
            "unexpected_error", task=task, trace=text[-MAX_TRACE_CHARACTERS:]
        )

    def _serve_readiness(self) -> calls.Reply:
        is_ready = (
            self._keeper.is_complete
            and not self._is_stopping
            and self._admission.is_ready(anyio.current_time())
            and self._held.accepts_any
        )
        return calls.Reply(200 if is_ready else 503, [], b"")

    def _serve_metrics(self) -> calls.Reply:
        for name, value in (
            ("zinniastand_requests_in_flight", self._caller_server.in_flight),
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
            (
                "zinniastand_target_rests_unreadable_total",
                self._client.malformed_rests,
            ),
            ("zinniastand_configuration_version", self._configuration_state.version),
            ("zinniastand_requests_quarantined", self._suspects.count_quarantined()),
            ("zinniastand_store_era", self._store.era),
            ("zinniastand_configuration_proof_age_seconds", self._find_proof_age()),
            ("zinniastand_log_lines_dropped", self._log.dropped),
            ("zinniastand_datagrams_unsent_total", self._link.unsent),
        ):
            self.metrics.set_gauge(name, value)
        for place, count in self._bounds.totals.items():
            labels = metrics.label(place=place)
            self.metrics.set_gauge(
                "zinniastand_input_bounds_reached_total", count, labels
            )
        self._report_memory()
        self._credits.report(self.metrics)
        self._relay_reporter.report()
        now = anyio.current_time()
        self._dispatch_reporter.report_retries(now)
        dispatch_reporter.report_ledgers(self._retry_limiter, self.metrics, now)
        body = self.metrics.format_text().encode()
        return calls.Reply(200, [(b"content-type", b"text/plain")], body)

    def _report_memory(self) -> None:
        """Set the gauges of what this VM holds for callers and targets."""
        for name, value in (
            ("zinniastand_held_bytes", self._held.held),
            ("zinniastand_committed_bytes", self._held.committed),
            ("zinniastand_occupied_bytes", self._held.occupied),
            ("zinniastand_occupied_bytes_limit", self._held.limits.bodies),
            ("zinniastand_held_bytes_limit", self._held.limits.total),
            ("zinniastand_large_answers_in_progress", self._held.streams),
            ("zinniastand_large_answers_paused", self._streams.count_paused()),
            ("zinniastand_answers_waiting", self._answer_room.count_waiting()),
        ):
            self.metrics.set_gauge(name, value)

    def _find_proof_age(self) -> float:
        """Return the age of the configuration's proof in seconds; -1 without one."""
        proven_at = self._configuration_state.proven_at
        return anyio.current_time() - proven_at if proven_at > -math.inf else -1.0

    def _handle_suspension(self, seconds: float) -> None:
        """Correct all deadlines and reset outdated state after a suspension.

        The monotonic clock did not count the seconds of the suspension.
        """
        self._log.write("suspended", seconds=round(seconds, 3))
        self._forwarder.compensate_suspension(seconds)
        self._keeper.compensate_suspension(seconds)
        self._proofs.forget_requests()
        self._quotas.reset()
        self._credits.reset()
        self._client.expire_idle()
        self._suspects.compensate_suspension(seconds)
        self._notices.compensate_suspension(seconds)
        self._local_dispatchers.reset()
        self._retry_limiter.discard_requests()
        if self._handover is not None:
            self._handover.forget_offers()
        self._fleet.restart_settling(anyio.current_time())

    def _apply_targets(self) -> None:
        self._local_dispatchers.update_targets(anyio.current_time())

    def _deliver(self, vm: str, decision: messages.Decision) -> None:
        member = self._fleet.find(vm)
        if vm == self._fleet.own.vm:
            self._placement.handle_decision(decision)
        elif member is not None:
            self._link.send(decision, member)

    def send_estimates(self) -> None:
        """Send the estimates of this VM's dispatchers to the others."""
        self._messenger.send_estimates(is_broadcast=True)

    def announce_leaving(self) -> None:
        """Announce to the others that this VM is leaving."""
        self._messenger.announce_leaving()

    async def hand_over_retries(self) -> None:
        """Hand the counts of requests and retries over to other VMs."""
        if self._handover is not None:
            await self._handover.hand_over()

    def count_relayed(self) -> int:
        """Return the number of connections that this VM relays for others."""
        return self._relay_server.in_flight

    async def _wake_local_dispatchers(self) -> None:
        while True:
            due_at = anyio.current_time() + DISPATCH_INTERVAL_S
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
            await anyio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self._settings_file is not None and self._settings_file.has_changed():
                self.reload()

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
            await self._client.close_idle(anyio.current_time())
