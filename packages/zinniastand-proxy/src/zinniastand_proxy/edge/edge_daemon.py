"""The composition root of the edge: wires the parts of one VM and runs them."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import itertools
import random
import time
import traceback

import anyio
import anyio.abc

from zinniastand_core.deployment import configuration, routing, targets
from zinniastand_core.dispatch import messages

from .. import metrics
from . import (
    configuration_exchange,
    datagrams,
    desk,
    edge_settings,
    forwarder,
    http_server,
    knowledge_keeper,
    log_lines,
    members,
    peer_link,
    placement,
    ports,
    stopping,
    supervision,
    target_client,
    vocabulary,
)

WAKE_PAUSE = 0.05
"""Seconds between two looks at the time by the dispatchers: lost slots, slow targets
and waits that end are noticed that late."""

OPINIONS_PAUSE = 0.25
"""Seconds between two tellings of what a dispatcher thinks: the next one in rank starts
with knowledge that old."""

TELL_ALL_EACH = 4
"""Tellings of which one goes to all VMs. A VM that is cut off from the others places
its requests by itself; it then knows what was failing a second before. Targets fail for
some ten seconds."""

MOST_TOLD = 40
"""VMs that are told at most, so that what a fleet tells grows with its size and not
with the square of it. The others begin with what is usual."""

SUCCESSORS = 2
"""VMs that are told what a dispatcher thinks."""

GREET_PAUSE = 1.0
"""Seconds between greetings of VMs that gave no answer."""

IDLE_PAUSE = 1.0
"""Seconds between two closings of idle connections."""

MOST_TRACE = 2_000
"""Characters of a traceback that go into the log: its end names the place."""

SETTINGS_PAUSE = 1.0
"""Seconds between two looks whether the settings have changed without a signal."""

CHANGEABLE = frozenset({"retries", "stop_limit", "unready_after"})
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
    words : vocabulary.Vocabulary
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
        words: vocabulary.Vocabulary,
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
        self._ended: stopping.Ended | None = None
        self.metrics = metrics.Metrics()

    def stop(self) -> None:
        """Begin a graceful stop."""
        self._stop_wanted.set()

    def begin_stop(self, answer_by: float) -> None:
        """Refuse readiness, and give each request its answer by a time."""
        self._is_stopping = True
        self._callers.is_stopping = True
        self._log.write(
            "stopping",
            in_flight=self._callers.in_flight,
            reading=self._callers.count_reading(),
            limit_ms=round((answer_by - anyio.current_time()) * MILLISECONDS),
        )

    def kill(self) -> None:
        """End at once, without a word to anybody; for tests of failures."""
        self._scope.cancel()

    def use_configuration(self, current: configuration.Configuration) -> None:
        """Take a configuration from elsewhere than the store, if it is newer."""
        self._keeper.use(current, "operator")

    def find_dispatcher(self, service: str) -> str:
        """Return the VM that this one asks first for targets of a service."""
        return self._fleet.rank(service, anyio.current_time(), 1)[0]

    def reload(self) -> None:
        """Read the settings anew and use what can change in a running process.

        That is the bounds of retries and of a stop. Names and addresses are those of
        the listeners and of the record that other VMs know, and wait for the next
        start. Settings with findings are refused whole: the former ones stay in force.
        """
        supervision.attempt("reload", self._take_settings, self._note_fault)

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
        self._desk.use_budget(fresh.retries)
        waiting = [name for name in changed if name not in CHANGEABLE]
        self._log.write("reload", outcome="in force", changed=changed, waiting=waiting)

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until stopped; started once the listeners are up."""
        self._build()
        self._log.write("started", incarnation=self._fleet.own.incarnation)
        with contextlib.closing(self._link):
            await self._serve(task_status)
        for name, close in (
            ("close targets", self._client.close),
            ("close store", self._store.close),
        ):
            await supervision.attempt_async(name, close, self._note_fault)
        self._log_stopped()
        self._log.flush()

    def _log_stopped(self) -> None:
        ended = self._ended
        if ended is not None:
            self._log.write(
                "stopped",
                cut_off=ended.cut_off,
                cut_reading=ended.cut_reading,
                ms=round(ended.took * MILLISECONDS),
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
                group.start_soon(supervision.keep_running, name, task, self._note_fault)
            task_status.started()
            await self._stop_wanted.wait()
            settings = self._settings
            times = stopping.Times(settings.stop_limit, settings.unready_after)
            ended = await stopping.stop(self, self._callers, times, self._note_fault)
            self._ended = ended
            group.cancel_scope.cancel()

    def _list_tasks(
        self,
    ) -> list[
        tuple[str, collections.abc.Callable[[], collections.abc.Awaitable[None]]]
    ]:
        """Return the tasks that run beside the requests, with their names."""
        return [
            ("receive datagrams", self._receive_datagrams),
            ("serve configuration", self._serve_configuration),
            ("keep knowledge", self._keeper.run),
            ("wake desk", self._wake_desk),
            ("tell opinions", self._tell_opinions),
            ("greet", self._greet),
            ("close idle", self._close_idle),
            ("write log", self._log.run),
            ("follow settings", self._follow_settings),
        ]

    async def _receive_datagrams(self) -> None:
        await self._link.run(self._receive)

    async def _serve_configuration(self) -> None:
        peers = self._settings.peers
        await configuration_exchange.serve(peers.host, peers.port, self._read_current)

    def _build(self) -> None:
        settings, log = self._settings, self._log
        now = anyio.current_time()
        peers = settings.peers
        self._link = peer_link.PeerLink(peers.host, peers.port, log)
        own = ports.Member(
            settings.vm,
            settings.data_centre,
            peers.host,
            self._link.port,
            int(time.time() * MILLISECONDS),
        )
        self._fleet = members.Members(own, now)
        self._configured = configuration.ConfigurationState()
        self._registry = targets.Registry()
        knowledge = forwarder.Knowledge(
            self._configured, routing.Router(self._rng), self._registry
        )
        self._desk = desk.Desk(
            self._fleet, self._registry, settings.retries, self._rng, self._deliver
        )
        self._placement = placement.Placement(self._fleet, self._link, log, self._rng)
        self._placement.use_desk(self._desk)
        self._client = target_client.TargetClient(self._words)
        self._keeper = knowledge_keeper.KnowledgeKeeper(
            self._store,
            knowledge,
            self._fleet,
            self._link,
            log,
            self._use_targets,
            self._rng,
        )
        tools = forwarder.Tools(
            knowledge, self._placement, self._client, self._words, log, self.metrics
        )
        handler = forwarder.Forwarder(
            tools, settings.vm, settings.data_centre, own.incarnation
        )
        self._callers = http_server.Server(handler, self._read_limits, self._note_error)
        self._readiness = http_server.Server(
            _Page(self._answer_readiness), configuration.Limits, self._note_error
        )
        self._exporter = http_server.Server(
            _Page(self._answer_metrics), configuration.Limits, self._note_error
        )

    def _read_current(self) -> configuration.Configuration | None:
        return self._configured.current

    def _read_limits(self) -> configuration.Limits:
        current = self._configured.current
        return current.limits if current is not None else configuration.Limits()

    def _note_error(self, error: BaseException) -> None:
        self._note_fault("serve", error)

    def _note_fault(self, task: str, error: BaseException) -> None:
        text = "".join(traceback.format_exception(error))
        self._log.write("unexpected_error", task=task, trace=text[-MOST_TRACE:])

    def _answer_readiness(self) -> http_server.Reply:
        is_ready = self._keeper.is_complete and not self._is_stopping
        return http_server.Reply(200 if is_ready else 503, [], b"")

    def _answer_metrics(self) -> http_server.Reply:
        for name, value in (
            ("zinniastand_requests_in_flight", self._callers.in_flight),
            ("zinniastand_datagrams_sent_total", self._link.sent),
            ("zinniastand_datagram_bytes_sent_total", self._link.sent_bytes),
            ("zinniastand_target_connections_opened_total", self._client.opened),
            ("zinniastand_configuration_version", self._configured.version),
            ("zinniastand_log_lines_dropped", self._log.dropped),
            ("zinniastand_datagrams_unsent_total", self._link.unsent),
        ):
            self.metrics.set_gauge(name, value)
        body = self.metrics.format_text().encode()
        return http_server.Reply(200, [(b"content-type", b"text/plain")], body)

    def _use_targets(self) -> None:
        self._desk.update_targets(anyio.current_time())

    def _deliver(self, vm: str, decision: messages.Decision) -> None:
        member = self._fleet.find(vm)
        if vm == self._fleet.own.vm:
            self._placement.take_decision(decision)
        elif member is not None:
            self._link.send(decision, member)

    def _receive(self, message: datagrams.Message) -> None:
        now = anyio.current_time()
        match message:
            case datagrams.Hello():
                self._take_hello(message, now)
            case datagrams.Leaving():
                self._fleet.remove(message.vm)
            case datagrams.News():
                if self._fleet.is_direct(message.vm, message.is_relayed):
                    self._fleet.note_heard(message.vm, now)
                self._keeper.take_news(message)
            case datagrams.VersionNotice():
                self._keeper.take_version(message.vm, message.version)
            case datagrams.Opinions():
                self._desk.take_opinions(message, now)
            case datagrams.Asked():
                self._fleet.note_heard(message.vm, now)
                self._desk.ask(message.vm, message.ask, now)
            case datagrams.Adopted():
                self._desk.adopt(message.vm, message.held, now)
            case messages.Report():
                self._desk.report(message, now)
            case messages.Grant() | messages.Refuse() | messages.Wait():
                self._placement.take_decision(message)

    def _take_hello(self, hello: datagrams.Hello, now: float) -> None:
        if self._fleet.add(hello.member):
            self._log.write("vm_joined", peer=hello.member.vm)
        self._fleet.note_heard(hello.member.vm, now)
        if hello.wants_answer and not self._is_stopping:
            reply = datagrams.Hello(self._fleet.own, wants_answer=False)
            self._link.send(reply, hello.member)

    def tell_opinions(self) -> None:
        """Tell the others what this VM thinks of targets."""
        self._tell_opinions_now(to_all=True)

    def tell_leaving(self) -> None:
        """Tell the others that this VM leaves."""
        leaving = datagrams.Leaving(self._fleet.own.vm)
        self._link.send_many(leaving, self._fleet.list_others())

    async def _wake_desk(self) -> None:
        while True:
            await anyio.sleep(WAKE_PAUSE)
            now = anyio.current_time()
            if self._registry.drop_lapsed(now):
                self._desk.update_targets(now)
            self._desk.wake(now)

    async def _tell_opinions(self) -> None:
        for number in itertools.count():
            await anyio.sleep(OPINIONS_PAUSE)
            self._tell_opinions_now(to_all=number % TELL_ALL_EACH == 0)

    def _tell_opinions_now(self, to_all: bool) -> None:
        now = anyio.current_time()
        own = self._fleet.own.vm
        for shard in self._desk.list_busy():
            heard = self._fleet.rank_heard(shard.task, now, shard.data_centre)
            ranked = [vm for vm in heard if vm != own]
            told = ranked[: MOST_TOLD if to_all else SUCCESSORS]
            successors = [self._fleet.find(vm) for vm in told]
            self._link.send_many(
                self._desk.summarize(shard, now),
                [member for member in successors if member is not None],
            )

    async def _greet(self) -> None:
        while True:
            await anyio.sleep(GREET_PAUSE)
            hello = datagrams.Hello(self._fleet.own, wants_answer=True)
            silent = self._fleet.list_suspects(anyio.current_time())
            self._link.send_many(hello, silent)

    async def _follow_settings(self) -> None:
        while True:
            await anyio.sleep(SETTINGS_PAUSE)
            if self._settings_file is not None and self._settings_file.has_changed():
                self.reload()

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(IDLE_PAUSE)
            await self._client.close_idle(anyio.current_time())


class _Page:
    """A handler with one answer."""

    def __init__(self, answer: collections.abc.Callable[[], http_server.Reply]) -> None:
        self._answer = answer

    async def handle(self, incoming: http_server.Incoming) -> http_server.Reply:
        """Return the answer."""
        return self._answer()
