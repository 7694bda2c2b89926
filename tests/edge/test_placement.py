"""Acquiring a slot from the first dispatcher, from the next one, or locally."""

from __future__ import annotations

import collections.abc
import dataclasses
import os
import random

import anyio
import pytest

from zinniastand_core.deployment import targets
from zinniastand_core.dispatch import messages, shards
from zinniastand_proxy.edge import (
    datagrams,
    local_dispatchers,
    log_lines,
    members,
    peer_link,
    placement,
    ports,
    retry_counts,
)

pytestmark = pytest.mark.anyio

ENTRY = targets.Entry(
    "t1", "desk", "127.0.0.1", 1, "a", 3, targets.Phase.READY, 1, 0.0, 1
)


class FakeLink(peer_link.PeerLink):
    """Records sent messages and lets a test answer them."""

    def __init__(self) -> None:
        self.sent_messages: list[tuple[str, datagrams.Message]] = []
        self.answer: collections.abc.Callable[[str, datagrams.Message], None] = (
            lambda vm, message: None
        )

    def send_many(
        self,
        message: datagrams.Message,
        members: collections.abc.Sequence[ports.Member],
    ) -> None:
        for member in members:
            self.sent_messages.append((member.vm, message))
            self.answer(member.vm, message)

    def list_asked_vms(self) -> list[str]:
        return [
            vm
            for vm, one in self.sent_messages
            if isinstance(one, datagrams.SlotRequested)
        ]


class Fixture:
    """One VM with two others that it has received messages from."""

    def __init__(self) -> None:
        now = anyio.current_time() - members.SETTLE_TIME_S
        self.fleet = members.Members(ports.Member("own", "a", "127.0.0.1", 1, 1), now)
        for name in ("vm-1", "vm-2"):
            self.fleet.add(ports.Member(name, "a", "127.0.0.1", 1, 1))
            self.fleet.record_contact(name, now)
        self.link = FakeLink()
        registry = self.registry = targets.Registry()
        registry.apply([ENTRY], now)
        _, writer = os.pipe()
        log = log_lines.LogLines("own", writer)
        self.placement = placement.Placement(
            self.fleet, self.link, log, random.Random(1)
        )
        self.local_dispatchers = local_dispatchers.LocalDispatchers(
            self.fleet,
            registry,
            retry_counts.RetryBudget(0.2, 10.0, 10.0),
            random.Random(1),
            lambda _, decision: self.placement.handle_decision(decision),
        )
        self.placement.use_local_dispatchers(self.local_dispatchers)
        self.service = self._find_service()
        self.first, self.second = self.fleet.rank(self.service, self.now, 2)

    @property
    def now(self) -> float:
        return anyio.current_time()

    def make_slot_request(self, ticket: str = "t:1") -> messages.SlotRequest:
        return messages.SlotRequest(
            ticket,
            shards.Shard(self.service),
            "r",
            False,
            1,
            self.now + 1,
            self.now + 2,
            1,
            "a",
        )

    def answer_with_grant(self, *vms: str) -> None:
        def answer(vm: str, message: datagrams.Message) -> None:
            if vm in vms and isinstance(message, datagrams.SlotRequested):
                grant = messages.Grant(message.request.ticket, "t1", 0.1, 0.2)
                self.placement.handle_decision(grant)

        self.link.answer = answer

    def _find_service(self) -> str:
        """Return a service whose two highest-ranking dispatchers are other VMs.

        The same holds for its shards if it is divided into four.
        """
        for name in (f"desk-{n}" for n in range(5000)):
            parts = [
                shards.Shard(name),
                *(shards.Shard(name, "a", n, 4) for n in range(4)),
            ]
            ranks = [self.fleet.rank(part.task, self.now, 2) for part in parts]
            if not any("own" in rank for rank in ranks):
                return name
        raise AssertionError("no service dispatched by others")


async def test_first_in_rank_gets_slot_request_and_report() -> None:
    one = Fixture()
    one.answer_with_grant(one.first)
    answer = await one.placement.acquire(one.make_slot_request())
    assert isinstance(answer, messages.Grant)
    assert one.link.list_asked_vms() == [one.first]
    report = messages.Report(
        "t:1", shards.Shard(one.service), "t1", messages.Outcome.GOOD, 0.1, "own"
    )
    one.placement.report(report)
    assert one.link.sent_messages[-1] == (one.first, report)


async def test_silent_dispatcher_is_skipped_long_before_the_deadline() -> None:
    # The first in rank was killed. Guards against callers waiting for it until their
    # deadlines: two unanswered slot requests suffice to try the next VM, and later
    # requests skip it.
    one = Fixture()
    one.answer_with_grant(one.second)
    ask = one.make_slot_request()
    assert isinstance(await one.placement.acquire(ask), messages.Grant)
    assert sum(placement.ANSWER_TIMEOUTS_S) < 0.1
    assert one.now < ask.objective_at
    assert one.link.list_asked_vms() == [one.first, one.first, one.second]
    await one.placement.acquire(one.make_slot_request("t:2"))
    assert one.link.list_asked_vms()[3:] == [one.second]


async def test_unanswered_slot_request_is_withdrawn() -> None:
    # A grant of the silent dispatcher may still be in transit and would keep a slot
    # in use.
    one = Fixture()
    one.answer_with_grant(one.second)
    await one.placement.acquire(one.make_slot_request())
    reports = [
        (vm, message.outcome)
        for vm, message in one.link.sent_messages
        if isinstance(message, messages.Report)
    ]
    assert reports == [(one.first, messages.Outcome.UNUSED)]


async def test_vm_that_reaches_no_dispatcher_decides_locally() -> None:
    one = Fixture()
    # The only target belongs to another service: register it for this one.
    registry = targets.Registry()
    registry.apply([dataclasses.replace(ENTRY, service=one.service)], one.now)
    one.placement.use_local_dispatchers(
        local_dispatchers.LocalDispatchers(
            one.fleet,
            registry,
            retry_counts.RetryBudget(0.2, 10.0, 10.0),
            random.Random(1),
            lambda _, decision: one.placement.handle_decision(decision),
        )
    )
    answer = await one.placement.acquire(one.make_slot_request())
    assert isinstance(answer, messages.Grant)
    assert answer.target_id == "t1"


async def test_new_dispatcher_receives_the_slots_in_use() -> None:
    one = Fixture()
    one.answer_with_grant(one.first, one.second)
    await one.placement.acquire(one.make_slot_request("t:1"))
    one.fleet.suspect(one.first, one.now)
    await one.placement.acquire(one.make_slot_request("t:2"))
    adopted = [
        (vm, message.held.granted_request.ticket)
        for vm, message in one.link.sent_messages
        if isinstance(message, datagrams.SlotHeld)
    ]
    assert adopted == [(one.second, "t:1")]


async def test_queued_slot_request_is_resent_to_a_live_dispatcher() -> None:
    one = Fixture()

    def answer(vm: str, message: datagrams.Message) -> None:
        if isinstance(message, datagrams.SlotRequested):
            one.placement.handle_decision(messages.Wait(message.request.ticket))

    one.link.answer = answer
    with anyio.move_on_after(0.7):
        await one.placement.acquire(one.make_slot_request())
    assert set(one.link.list_asked_vms()) == {one.first}
    assert 3 <= len(one.link.list_asked_vms()) <= 6


async def test_deadline_of_queued_slot_request_does_not_suspect_its_dispatcher() -> (
    None
):
    # A dispatcher queues a slot request until its deadline, since all slots are in use.
    # It is alive: if it were suspected, this VM would no longer rank it for its tasks.
    site = Fixture()

    def answer(vm: str, message: datagrams.Message) -> None:
        if isinstance(message, datagrams.SlotRequested):
            site.placement.handle_decision(messages.Wait(message.request.ticket))

    site.link.answer = answer
    ask = dataclasses.replace(site.make_slot_request(), deadline_at=site.now + 0.3)
    refused = await site.placement.acquire(ask)
    assert isinstance(refused, messages.Refuse)
    assert refused.reason is messages.RefusalReason.TOO_LATE
    assert site.fleet.rank(site.service, site.now, 1) == [site.first]
    withdrawn = [one for _, one in site.link.sent_messages if one != ask]
    assert any(isinstance(one, messages.Report) for one in withdrawn)


async def test_slot_request_is_withdrawn_when_the_caller_leaves() -> None:
    one = Fixture()
    with anyio.move_on_after(0.01):
        await one.placement.acquire(one.make_slot_request())
    vm, message = one.link.sent_messages[-1]
    assert vm == one.first
    assert isinstance(message, messages.Report)
    assert message.outcome is messages.Outcome.UNUSED


def divide_service(one: Fixture, targets_count: int) -> None:
    """Give the service enough targets to be divided into shards."""
    entries = [
        dataclasses.replace(
            ENTRY, target_id=f"t{n}", service=one.service, position=n + 10
        )
        for n in range(targets_count)
    ]
    one.registry.apply(entries, one.now)
    one.local_dispatchers.update_targets(one.now)


def list_requested_shards(one: Fixture) -> list[shards.Shard]:
    return [
        message.request.shard
        for _, message in one.link.sent_messages
        if isinstance(message, datagrams.SlotRequested)
    ]


@pytest.mark.parametrize(
    "reason",
    [messages.RefusalReason.OVERLOADED, messages.RefusalReason.RETRY_BUDGET],
)
async def test_request_refused_in_one_shard_is_sent_to_another(
    reason: messages.RefusalReason,
) -> None:
    # One shard of four has lost its targets or has no free slots, while the others
    # have. Guards against refusing a caller that can be served.
    one = Fixture()
    divide_service(one, 100)
    refusing: list[shards.Shard] = []

    def answer(vm: str, message: datagrams.Message) -> None:
        if not isinstance(message, datagrams.SlotRequested):
            return
        ticket, shard = message.request.ticket, message.request.shard
        if not refusing:
            refusing.append(shard)
        decision: messages.Decision = messages.Grant(ticket, "t1", 0.1, 0.2)
        if shard in refusing:
            decision = messages.Refuse(ticket, reason, one.now + 1, 3.0)
        one.placement.handle_decision(decision)

    one.link.answer = answer
    answered = await one.placement.acquire(one.make_slot_request())
    assert isinstance(answered, messages.Grant)
    first, second = list_requested_shards(one)
    assert first != second
    assert {first.count, second.count} == {4}


async def test_refusal_is_final_after_two_shards() -> None:
    # All shards are full. Asking each of them would delay the caller and load
    # dispatchers that have no free slots.
    one = Fixture()
    divide_service(one, 100)

    def answer(vm: str, message: datagrams.Message) -> None:
        if isinstance(message, datagrams.SlotRequested):
            reason = messages.RefusalReason.OVERLOADED
            refuse = messages.Refuse(message.request.ticket, reason, one.now + 1, 3.0)
            one.placement.handle_decision(refuse)

    one.link.answer = answer
    answered = await one.placement.acquire(one.make_slot_request())
    assert isinstance(answered, messages.Refuse)
    assert len(list_requested_shards(one)) == placement.MAX_SHARDS


async def test_slots_in_use_follow_their_targets_into_new_shards() -> None:
    # The service grows while requests are in progress, and is divided. Guards against
    # dispatchers of the new shards granting the same slots again, so that targets
    # reject work.
    one = Fixture()
    vms = ("vm-1", "vm-2")
    one.answer_with_grant(*vms)
    await one.placement.acquire(one.make_slot_request("t:1"))
    divide_service(one, 100)
    one.placement.use_local_dispatchers(one.local_dispatchers)
    one.link.sent_messages.clear()
    for n in range(40):
        await one.placement.acquire(one.make_slot_request(f"n:{n}"))
    moved = [
        message.held.granted_request.shard
        for _, message in one.link.sent_messages
        if isinstance(message, datagrams.SlotHeld)
        and message.held.granted_request.ticket == "t:1"
    ]
    entry = one.registry.find("t1")
    assert entry is not None
    assert [shard.covers(entry) for shard in moved] == [True]
    report = messages.Report(
        "t:1", shards.Shard(one.service), "t1", messages.Outcome.GOOD, 0.1, "own"
    )
    one.placement.report(report)
    last = one.link.sent_messages[-1][1]
    assert isinstance(last, messages.Report)
    assert last.shard == moved[0]


@pytest.mark.parametrize("is_known", [True, False])
async def test_dispatcher_that_knows_no_target_yet_is_skipped(
    is_known: bool,
) -> None:
    # Guards against refusing a request because a dispatcher that has just started
    # knows no targets, although this VM does.
    one = Fixture()
    if is_known:
        entry = dataclasses.replace(ENTRY, service=one.service, position=9)
        one.registry.apply([entry], one.now)

    def answer(vm: str, message: datagrams.Message) -> None:
        if not isinstance(message, datagrams.SlotRequested):
            return
        ticket = message.request.ticket
        decision: messages.Decision = messages.Grant(ticket, "t1", 0.1, 0.2)
        if vm == one.first:
            reason = messages.RefusalReason.NO_TARGET
            decision = messages.Refuse(ticket, reason, one.now + 1, 3.0)
        one.placement.handle_decision(decision)

    one.link.answer = answer
    answered = await one.placement.acquire(one.make_slot_request())
    assert isinstance(answered, messages.Grant) is is_known
    assert (one.second in one.link.list_asked_vms()) is is_known
