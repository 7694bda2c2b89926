"""What a VM sends to the others."""

from __future__ import annotations

import collections.abc
import os
import random
import typing

import anyio
import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import messages, retry_window
from zinniastand_proxy.edge import (
    datagrams,
    fleet_messenger,
    knowledge_keeper,
    loan_exchange,
    local_dispatchers,
    log_lines,
    members,
    notice_exchange,
    peer_link,
    placement,
    ports,
    retry_count_sender,
    retry_counts,
    suspect_exchange,
)

pytestmark = pytest.mark.anyio

VMS = 12


class RecordingLink(peer_link.PeerLink):
    """Keeps the messages that are sent, each with its receiver."""

    def __init__(self) -> None:
        self.messages: list[tuple[datagrams.Message, str]] = []

    def send_many(
        self,
        message: datagrams.Message,
        members: collections.abc.Sequence[ports.Member],
    ) -> None:
        """Keep one message for each receiver."""
        self.messages += [(message, member.vm) for member in members]


def ignore_fault(task: str, error: BaseException) -> None:
    """Fail the test on an unexpected error."""
    raise error


def make_registry(target_count: int, now: float) -> targets.Registry:
    """Return a registry with this number of targets of one service."""
    registry = targets.Registry()
    registry.replace(
        [
            targets.Entry(f"t{n}", "desk", "h", 1, "a", 4, targets.Phase.READY, 1, 0, 1)
            for n in range(target_count)
        ],
        1,
        now,
    )
    return registry


class Sender:
    """A VM of a fleet, with dispatchers and a link that records."""

    def __init__(self, target_count: int = 8) -> None:
        now = anyio.current_time()
        self.link = RecordingLink()
        own = ports.Member("vm-0", "a", "h", 1, 1)
        self.fleet = members.Members(own, now)
        for number in range(1, VMS):
            self.fleet.add(ports.Member(f"vm-{number}", "a", "h", 1, 1))
            self.fleet.record_contact(f"vm-{number}", now)
        registry = make_registry(target_count, now)
        self.dispatchers = local_dispatchers.LocalDispatchers(
            self.fleet,
            registry,
            retry_counts.RetryBudget(0.2, 50.0, 10.0),
            random.Random(1),
            lambda vm, decision: None,
        )
        self.dispatchers.update_targets(now)
        unused = typing.cast("typing.Any", None)
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        receivers = fleet_messenger.Receivers(
            self.dispatchers,
            typing.cast(knowledge_keeper.KnowledgeKeeper, unused),
            typing.cast(placement.Placement, unused),
            typing.cast(loan_exchange.LoanExchange, unused),
            typing.cast(suspect_exchange.SuspectExchange, unused),
            typing.cast(notice_exchange.NoticeExchange, unused),
        )
        self.messenger = fleet_messenger.FleetMessenger(
            self.fleet,
            self.link,
            receivers,
            log_lines.LogLines("vm-0", self.log_fd),
            ignore_fault,
        )

    def hear_counts(self, counter: str, now: float) -> None:
        """Receive the retry counts of another VM."""
        parts = (retry_window.Bucket(1, 1.0, 100, 20),)
        update = datagrams.RetryUsage("desk", ((counter, parts),))
        self.dispatchers.apply_retry_counts(update, now)

    def request_slot(self, now: float) -> None:
        """Let another VM request a slot here."""
        slot_request = messages.SlotRequest(
            f"{now}",
            self.dispatchers.list_shards("desk")[0],
            "write",
            False,
            1,
            now + 1.0,
            now + 2.0,
            1,
            "a",
        )
        self.dispatchers.request_slot("vm-3", slot_request, now)

    def list_receivers_of(self, counter: str) -> list[str]:
        """Return the VMs to which the counts of a counter were sent."""
        return [
            vm
            for message, vm in self.link.messages
            if isinstance(message, datagrams.RetryUsage)
            and any(name == counter for name, _ in message.counts)
        ]


async def test_dispatcher_sends_counts_of_others_to_its_successors_alone() -> None:
    # Guards against counts that every dispatcher of a service tells to all others.
    sender = Sender()
    now = anyio.current_time()
    sender.request_slot(now)
    sender.hear_counts("vm-9:1:0", now)
    sender.messenger.send_estimates(is_broadcast=True)
    ranked = sender.fleet.rank_reachable("desk", now)
    successors = [vm for vm in ranked if vm != "vm-0"][:2]
    assert sorted(sender.list_receivers_of("vm-9:1:0")) == sorted(successors)


async def test_vm_whose_dispatcher_is_not_asked_sends_no_counts_of_others() -> None:
    # Guards against VMs that dispatched once, at their start, and go on to send all
    # that they hear.
    sender = Sender()
    now = anyio.current_time()
    sender.request_slot(now - 5.0)
    sender.hear_counts("vm-9:1:0", now)
    sender.messenger.send_estimates(is_broadcast=True)
    assert not sender.list_receivers_of("vm-9:1:0")


MANY_TARGETS = 900
"""Targets of a service with more shards than exchange their counts directly."""


async def test_dispatchers_of_many_shards_send_counts_to_the_aggregators() -> None:
    # Guards against counts that go from each shard to all others.
    sender = Sender(MANY_TARGETS)
    now = anyio.current_time()
    sender.request_slot(now)
    sender.messenger.retry_counts.send_recent("desk")
    receivers = {vm for _, vm in sender.link.messages}
    assert len(receivers) <= retry_count_sender.AGGREGATOR_COUNT
    assert receivers


async def test_aggregator_that_sends_no_allowances_is_suspected() -> None:
    # Guards against counts that go to a lost VM for good, since nothing is asked of it.
    sender = Sender(MANY_TARGETS)
    task = retry_count_sender.AGGREGATION_TASK + "desk"
    now = anyio.current_time()
    first, second = sender.fleet.rank(task, now, 2)
    assert "vm-0" not in (first, second)
    end = now + 1.5 * retry_count_sender.ALLOWANCE_TIMEOUT_S
    while anyio.current_time() < end:
        sender.request_slot(anyio.current_time())
        sender.messenger.retry_counts.send_recent("desk")
        await anyio.sleep(0.2)
    assert sender.fleet.rank(task, anyio.current_time(), 1) == [second]


async def test_aggregator_that_sends_allowances_is_not_suspected() -> None:
    sender = Sender(MANY_TARGETS)
    task = retry_count_sender.AGGREGATION_TASK + "desk"
    now = anyio.current_time()
    [first] = sender.fleet.rank(task, now, 1)
    allowance = retry_window.Allowance(10.0, 0, 3, True)
    end = now + 1.5 * retry_count_sender.ALLOWANCE_TIMEOUT_S
    while anyio.current_time() < end:
        sender.request_slot(anyio.current_time())
        sender.messenger.retry_counts.send_recent("desk")
        sender.messenger.receive(datagrams.RetryAllowance(first, "desk", allowance))
        await anyio.sleep(0.2)
    assert sender.fleet.rank(task, anyio.current_time(), 1) == [first]


async def test_leaving_vm_that_reaches_no_other_sends_no_counts() -> None:
    # Guards against an error in the slot request that happens to send the counts.
    sender = Sender(MANY_TARGETS)
    now = anyio.current_time()
    sender.request_slot(now)
    for number in range(1, VMS):
        sender.fleet.suspect(f"vm-{number}", now)
    sender.messenger.announce_leaving()
    sender.link.messages.clear()
    sender.messenger.send_estimates(is_broadcast=True)
    assert not sender.link.messages
