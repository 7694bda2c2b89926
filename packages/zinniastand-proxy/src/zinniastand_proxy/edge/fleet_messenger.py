"""What one VM tells the others by itself, and where it takes what they tell."""

from __future__ import annotations

import dataclasses
import itertools

import anyio

from zinniastand_core.dispatch import messages

from . import (
    datagrams,
    knowledge_keeper,
    local_dispatchers,
    log_lines,
    members,
    peer_link,
    placement,
    supervision,
    suspect_exchange,
)

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

HELPING_TASK = "tell VMs that start"
HELPERS = 3
"""VMs that tell one that starts which requests crash targets."""

COUNTING = 3
"""VMs by rank for each shard that hear of the retries of its service: who dispatches
it, and who would next."""

GREET_PAUSE = 1.0
"""Seconds between greetings of VMs that gave no answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Receivers:
    """Who takes in what other VMs say."""

    local_dispatchers: local_dispatchers.LocalDispatchers
    """The dispatchers here."""

    keeper: knowledge_keeper.KnowledgeKeeper
    """Configuration and targets."""

    placement: placement.Placement
    """Requests that wait for a target."""

    suspects: suspect_exchange.SuspectExchange
    """Requests that crash their targets."""


class FleetMessenger:
    """Talks with the other VMs.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Datagrams to them.
    hearers : Receivers
        Who takes in what they say.
    log : log_lines.LogLines
        VMs that join.
    report_fault : supervision.ReportFault
        Takes a fault met by a datagram.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        hearers: Receivers,
        log: log_lines.LogLines,
        report_fault: supervision.ReportFault,
    ) -> None:
        self._fleet = fleet
        self._link = link
        self._hearers = hearers
        self._log = log
        self._report_fault = report_fault
        self.is_leaving = False

    def receive(self, message: datagrams.Message) -> None:
        """Take in one message; a fault that it leads to leaves the next ones alone."""
        try:
            self._take(message)
        except Exception as error:
            self._report_fault("take datagram", error)

    def _take(self, message: datagrams.Message) -> None:
        now = anyio.current_time()
        match message:
            case datagrams.Hello():
                self._take_hello(message, now)
            case datagrams.Leaving():
                self._fleet.record_leaving(message.vm, message.incarnation, now)
            case datagrams.Resigned():
                self._fleet.record_resignation(
                    message.vm, message.incarnation, message.task, message.until, now
                )
            case datagrams.TargetUpdate():
                if self._fleet.is_direct(message.vm, message.is_for_relay):
                    self._fleet.record_contact(message.vm, now)
                self._hearers.keeper.take_news(message)
            case datagrams.ConfigurationUpdate():
                self._hearers.keeper.take_published(message)
            case datagrams.VersionNotice():
                self._hearers.keeper.take_version(message.vm, message.version)
            case datagrams.TargetEstimates():
                self._hearers.local_dispatchers.apply_estimates(message, now)
            case datagrams.SlotRequested():
                self._fleet.record_contact(message.vm, now)
                self._hearers.local_dispatchers.request_slot(
                    message.vm, message.ask, now
                )
            case datagrams.SlotHeld():
                self._hearers.local_dispatchers.adopt(message.vm, message.held, now)
            case datagrams.RetryUsage():
                self._hearers.local_dispatchers.apply_retry_counts(message, now)
            case datagrams.SuspectRequests():
                self._hearers.suspects.apply(message)
            case messages.Report():
                self._hearers.local_dispatchers.report(message, now)
            case messages.Grant() | messages.Refuse() | messages.Wait():
                self._hearers.placement.handle_decision(message)

    def _take_hello(self, hello: datagrams.Hello, now: float) -> None:
        if self._fleet.add(hello.member):
            self._log.write("vm_joined", peer=hello.member.vm)
            if self._is_helper(now):
                self._hearers.suspects.announce_to(hello.member)
        self._fleet.record_contact(hello.member.vm, now)
        self._hearers.keeper.take_position(hello.member.vm, hello.position)
        if hello.wants_answer:
            self._link.send(self._make_reply(), hello.member)

    def _is_helper(self, now: float) -> bool:
        """Return whether this VM is one of those that tell new ones what they lack."""
        ranked = self._fleet.rank_reachable(HELPING_TASK, now)
        return self._fleet.own.vm in ranked[:HELPERS]

    def _make_reply(self) -> datagrams.Hello | datagrams.Leaving:
        """Return the answer to a greeting.

        A VM that starts while this one leaves has not heard that it does. Taken for one
        that stays, this one would be asked first where it ranks first.
        """
        own = self._fleet.own
        if self.is_leaving:
            return datagrams.Leaving(own.vm, own.incarnation)
        position = self._hearers.keeper.position
        return datagrams.Hello(own, wants_answer=False, position=position)

    async def send_estimates_periodically(self) -> None:
        """Tell opinions until cancelled."""
        for number in itertools.count():
            await anyio.sleep(OPINIONS_PAUSE)
            self.send_estimates(to_all=number % TELL_ALL_EACH == 0)

    def send_estimates(self, to_all: bool) -> None:
        """Tell those next in rank, or all, what the dispatchers here think."""
        now = anyio.current_time()
        own = self._fleet.own.vm
        for shard in self._hearers.local_dispatchers.list_busy():
            heard = self._fleet.rank_reachable(shard.task, now, shard.data_centre)
            ranked = [vm for vm in heard if vm != own]
            told = ranked[: MOST_TOLD if to_all else SUCCESSORS]
            successors = [self._fleet.find(vm) for vm in told]
            self._link.send_many(
                self._hearers.local_dispatchers.summarize_estimates(shard, now),
                [member for member in successors if member is not None],
            )
        for service in self._hearers.local_dispatchers.list_services():
            self.send_retry_counts(service, is_whole=to_all)

    def send_retry_counts(self, service: str, is_whole: bool = False) -> None:
        """Tell all who dispatch a service, or would next, what was counted here.

        The retries of a service are bounded as a whole. A dispatcher that does not know
        what others have given out would give it out once more.
        """
        now = anyio.current_time()
        dispatchers, fleet = self._hearers.local_dispatchers, self._fleet
        names = {
            vm
            for shard in dispatchers.list_shards(service)
            for vm in fleet.rank_reachable(shard.task, now, shard.data_centre)[
                :COUNTING
            ]
        }
        names.discard(fleet.own.vm)
        hearers = [fleet.find(vm) for vm in sorted(names)]
        for told in dispatchers.retries.make_updates(service, now, is_whole):
            self._link.send_many(told, [one for one in hearers if one is not None])

    async def greet(self) -> None:
        """Greet VMs that gave no answer, until cancelled."""
        while True:
            await anyio.sleep(GREET_PAUSE)
            now = anyio.current_time()
            self._fleet.remove_departed(now)
            if not self.is_leaving:
                hello = datagrams.Hello(self._fleet.own, wants_answer=True)
                self._link.send_many(hello, self._fleet.list_suspects(now))

    def announce_leaving(self) -> None:
        """Tell all others that this VM leaves, and leave its tasks to them."""
        own = self._fleet.own
        self._fleet.record_leaving(own.vm, own.incarnation, anyio.current_time())
        leaving = datagrams.Leaving(own.vm, own.incarnation)
        self._link.send_many(leaving, self._fleet.list_others())
