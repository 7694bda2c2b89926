"""Sends this VM's messages to the other VMs and dispatches received messages."""

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
    notice_exchange,
    peer_link,
    placement,
    supervision,
    suspect_exchange,
)
from .accounts import (
    account_messages,
    credit_exchange,
    proof_exchange,
    quota_exchange,
)
from .retries import handover_messages, loan_exchange, retry_handover, retry_loans

ESTIMATES_INTERVAL_S = 0.25
"""Seconds between two sendings of a dispatcher's estimates of its targets. The VM that
succeeds it starts with estimates of at most that age."""

SENDINGS_PER_BROADCAST = 4
"""One in this many sendings of estimates goes to the first `MAX_BROADCAST_VMS` VMs in
rank, and not to the successors alone. A VM that is cut off from the others places its
requests by itself, and then knows which targets were failing a second before. Targets
fail for some ten seconds."""

MAX_BROADCAST_VMS = 40
"""Maximum number of VMs that receive the estimates of a dispatcher, so that the traffic
grows with the size of the fleet and not with its square. The other VMs start with
default estimates."""

SUCCESSOR_COUNT = 2
"""Number of VMs next in rank that receive every sending of a dispatcher's estimates."""

SUSPECTS_FOR_NEW_VMS_TASK = "tell VMs that start"
"""Name of the task by which VMs are ranked as senders of suspected requests."""

SUSPECTS_SENDER_COUNT = 3
"""Number of VMs that each send a starting VM the requests that are suspected to crash
targets."""

GREETING_INTERVAL_S = 1.0
"""Seconds between greetings of VMs that did not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AccountReceivers:
    """The parts of this VM that handle messages about client accounts."""

    proofs: proof_exchange.ProofExchange
    """Proofs that the configuration is the newest."""

    quotas: quota_exchange.QuotaExchange
    """Quotas of client accounts."""

    credits: credit_exchange.CreditExchange
    """Credit of these quotas."""

    def handle(self, message: datagrams.Message, now: float) -> None:
        """Handle one message; others than those about accounts show contact alone."""
        self.quotas.record_contact(now)
        match message:
            case account_messages.ProofRequested():
                self.proofs.answer(message)
            case account_messages.Proof():
                self.proofs.apply(message)
            case account_messages.QuotaRequested():
                self.quotas.answer(message)
            case account_messages.QuotaDecided():
                self.quotas.apply(message)
            case account_messages.QuotaRefunded():
                self.quotas.apply_refund(message)
            case (
                account_messages.CreditAsked()
                | account_messages.CreditLent()
                | account_messages.CreditReturned()
            ):
                self.credits.handle(message)
            case _:
                pass


@dataclasses.dataclass(frozen=True, slots=True)
class Receivers:
    """The parts of this VM that handle received messages."""

    local_dispatchers: local_dispatchers.LocalDispatchers
    """The dispatchers of this VM."""

    keeper: knowledge_keeper.KnowledgeKeeper
    """Configuration and targets."""

    placement: placement.Placement
    """Requests that wait for a slot."""

    loans: loan_exchange.LoanExchange
    """Lends and borrows retries."""

    suspects: suspect_exchange.SuspectExchange
    """Requests that are suspected to crash their targets."""

    notices: notice_exchange.NoticeExchange
    """What targets have told."""

    accounts: AccountReceivers | None = None
    """Client accounts; None if there are none."""

    handover: retry_handover.RetryHandover | None = None
    """Takes over the counts of stopping VMs; None if they are not handed over."""


class FleetMessenger:
    """Exchanges messages with the other VMs.

    Parameters
    ----------
    fleet : members.Members
        The VMs.
    link : peer_link.PeerLink
        Sends datagrams to them.
    receivers : Receivers
        Handle received messages.
    log : log_lines.LogLines
        Logs VMs that join.
    report_fault : supervision.ReportFault
        Called with each fault in handling a datagram.
    """

    def __init__(
        self,
        fleet: members.Members,
        link: peer_link.PeerLink,
        receivers: Receivers,
        log: log_lines.LogLines,
        report_fault: supervision.ReportFault,
    ) -> None:
        self._fleet = fleet
        self._link = link
        self._receivers = receivers
        self._log = log
        self._report_fault = report_fault
        self.is_leaving = False

    def receive(self, message: datagrams.Message) -> None:
        """Handle one message; an error in it does not prevent handling of the next
        ones."""
        try:
            self._handle(message)
        except Exception as error:
            self._report_fault("take datagram", error)

    def _handle(self, message: datagrams.Message) -> None:
        now = anyio.current_time()
        if self._receivers.accounts is not None:
            self._receivers.accounts.handle(message, now)
        match message:
            case datagrams.Hello():
                self._handle_hello(message, now)
            case datagrams.Leaving():
                self._fleet.record_leaving(message.vm, message.incarnation, now)
            case datagrams.Resigned():
                self._fleet.record_resignation(
                    message.vm, message.incarnation, message.task, message.until, now
                )
            case datagrams.TargetUpdate():
                if self._fleet.is_direct(message.vm, message.is_for_relay):
                    self._fleet.record_contact(message.vm, now)
                self._receivers.keeper.apply_target_update(message)
            case datagrams.ConfigurationUpdate():
                self._receivers.keeper.apply_configuration_update(message)
            case datagrams.VersionNotice():
                self._receivers.keeper.record_peer_version(message.vm, message.version)
            case datagrams.SuspectRequests():
                self._receivers.suspects.apply(message)
            case datagrams.TargetNotice():
                self._receivers.notices.apply(message)
            case _:
                self._handle_dispatch(message, now)

    def _handle_dispatch(self, message: datagrams.Message, now: float) -> None:
        """Handle a message to or from a dispatcher, or between dispatchers."""
        dispatchers = self._receivers.local_dispatchers
        match message:
            case datagrams.TargetEstimates():
                dispatchers.apply_estimates(message, now)
            case datagrams.SlotRequested():
                self._fleet.record_contact(message.vm, now)
                dispatchers.request_slot(message.vm, message.request, now)
            case datagrams.SlotHeld():
                dispatchers.adopt(message.vm, message.held, now)
            case (
                retry_loans.LoanRequested()
                | retry_loans.LoanDecided()
                | retry_loans.LoanReturned()
            ):
                self._fleet.record_contact(message.vm, now)
                self._receivers.loans.handle(message)
            case (
                handover_messages.HandoverOffered()
                | handover_messages.HandoverAccepted()
                | handover_messages.CountsHandedOver()
            ):
                if self._receivers.handover is not None:
                    self._receivers.handover.handle(message)
            case messages.Report():
                dispatchers.report(message, now)
            case messages.Grant() | messages.Refuse() | messages.Wait():
                self._receivers.placement.handle_decision(message)
            case _:
                pass  # Handled by the receivers for client accounts.

    def _handle_hello(self, hello: datagrams.Hello, now: float) -> None:
        if self._fleet.add(hello.member):
            self._log.write("vm_joined", peer=hello.member.vm)
            # Ranking all VMs for each of hundreds that start at once takes long.
            suspects = self._receivers.suspects
            if suspects.has_shared and self._sends_suspects_to_new_vms(now):
                suspects.announce_to(hello.member)
        if self._fleet.find(hello.member.vm) is None:
            return  # There are too many VMs.
        self._fleet.record_contact(hello.member.vm, now)
        self._receivers.keeper.record_peer_position(hello.member.vm, hello.position)
        if hello.wants_answer:
            self._link.send(self._make_reply(), hello.member)

    def _sends_suspects_to_new_vms(self, now: float) -> bool:
        """Return whether this VM sends new VMs the requests suspected of crashes."""
        ranked = self._fleet.rank_reachable(SUSPECTS_FOR_NEW_VMS_TASK, now)
        return self._fleet.own.vm in ranked[:SUSPECTS_SENDER_COUNT]

    def _make_reply(self) -> datagrams.Hello | datagrams.Leaving:
        """Return the answer to a greeting.

        A VM that starts while this one is leaving has not received its `Leaving`.
        Without this answer it would expect this VM to stay, and ask it first for tasks
        for which it ranks first.
        """
        own = self._fleet.own
        if self.is_leaving:
            return datagrams.Leaving(own.vm, own.incarnation)
        position = self._receivers.keeper.position
        return datagrams.Hello(own, wants_answer=False, position=position)

    async def send_estimates_periodically(self) -> None:
        """Send the estimates of the dispatchers here until cancelled."""
        for number in itertools.count():
            await anyio.sleep(ESTIMATES_INTERVAL_S)
            self.send_estimates(is_broadcast=number % SENDINGS_PER_BROADCAST == 0)

    def send_estimates(self, is_broadcast: bool) -> None:
        """Send the estimates of the dispatchers here.

        Parameters
        ----------
        is_broadcast : bool
            Whether to send to the first `MAX_BROADCAST_VMS` in rank instead of the
            successors alone.
        """
        now = anyio.current_time()
        own = self._fleet.own.vm
        for shard in self._receivers.local_dispatchers.list_busy():
            reachable = self._fleet.rank_reachable(shard.task, now, shard.data_centre)
            ranked = [vm for vm in reachable if vm != own]
            chosen = ranked[: MAX_BROADCAST_VMS if is_broadcast else SUCCESSOR_COUNT]
            recipients = [self._fleet.find(vm) for vm in chosen]
            self._link.send_many(
                self._receivers.local_dispatchers.summarize_estimates(shard, now),
                [member for member in recipients if member is not None],
            )

    async def greet(self) -> None:
        """Greet VMs that did not answer, until cancelled."""
        while True:
            await anyio.sleep(GREETING_INTERVAL_S)
            now = anyio.current_time()
            self._fleet.remove_departed(now)
            if not self.is_leaving:
                hello = datagrams.Hello(self._fleet.own, wants_answer=True)
                self._link.send_many(hello, self._fleet.list_suspects(now))

    def announce_leaving(self) -> None:
        """Announce to all others that this VM is leaving, and give up its tasks."""
        own = self._fleet.own
        self._fleet.record_leaving(own.vm, own.incarnation, anyio.current_time())
        leaving = datagrams.Leaving(own.vm, own.incarnation)
        self._link.send_many(leaving, self._fleet.list_others())
