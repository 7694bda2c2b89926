"""VMs that start get what they need from peers, and few of them call the store."""

from __future__ import annotations

import os

import anyio
import edge_site
import pytest

from zinniastand_core.deployment import targets
from zinniastand_proxy.edge import (
    knowledge_exchange,
    knowledge_keeper,
    log_lines,
    members,
    ports,
    start_turn,
    target_record,
)
from zinniastand_standins import topic_store

pytestmark = pytest.mark.anyio

MAX_RANK_DELAY_S = start_turn.RANK_DELAY_S * start_turn.MAX_DELAYED_RANKS


def make_member(name: str) -> ports.Member:
    return ports.Member(name, "a", "10.0.0.1", 7660, 1)


def make_start_turn(own: str, others: tuple[str, ...]) -> start_turn.StartTurn:
    fleet = members.Members(make_member(own), 0.0)
    for name in others:
        fleet.add(make_member(name))
        fleet.record_contact(name, 0.0)
    start = start_turn.StartTurn(fleet, 0.0)
    start.join(0.0, is_alone=not others)
    return start


def test_few_vms_that_start_together_read_the_store_at_once() -> None:
    names = tuple(f"vm-{n}" for n in range(30))
    starts = [
        make_start_turn(own, tuple(name for name in names if name != own))
        for own in names
    ]
    soon = start_turn.ANSWER_DELAY_S + 2.5 * start_turn.RANK_DELAY_S
    assert sum(start.may_read(0.0) for start in starts) == 0
    assert sum(start.may_read(soon) for start in starts) == 3
    latest = start_turn.ANSWER_DELAY_S + MAX_RANK_DELAY_S + 0.01
    assert all(start.may_read(latest) for start in starts)


def test_vm_that_is_alone_or_cannot_join_reads_the_store_itself() -> None:
    assert make_start_turn("own", ()).may_read(0.0)
    fleet = members.Members(make_member("own"), 0.0)
    start = start_turn.StartTurn(fleet, 0.0)
    assert not start.may_read(start_turn.MAX_DELAY_S - 0.1)
    assert start.may_read(start_turn.MAX_DELAY_S)


async def test_joining_vm_calls_the_store_only_for_membership() -> None:
    # Guards against more store calls with each start: a rolling restart starts all VMs.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        for number in range(3):
            await edge_site.wait_ready(await site.start_vm(f"vm-{number}"))
        await anyio.sleep(3.0)
        joining = await site.start_vm("vm-9")
        await edge_site.wait_ready(joining)
        assert (await edge_site.call(joining)).status_code == 200
        calls_made = edge_site.count_store_calls([joining])
        assert calls_made == {"announce": 1, "read members": 1}


async def test_fleet_that_starts_at_once_is_ready_soon_with_few_store_calls() -> None:
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        vms = [await site.start_vm(f"vm-{n}") for n in range(10)]
        with anyio.fail_after(1.5):
            for vm in vms:
                await edge_site.wait_ready(vm)
        calls_made = edge_site.count_store_calls(vms)
        assert calls_made["read targets"] <= 5
        assert calls_made["read configuration"] <= 6


async def test_first_configuration_reaches_all_vms_without_a_store_call_each() -> None:
    async with edge_site.run_site() as site:
        await site.start_target(edge_site.Target("t1"))
        vms = [await site.start_vm(f"vm-{n}") for n in range(10)]
        await anyio.sleep(0.2)
        site.publish([edge_site.make_route()])
        with anyio.fail_after(2.0):
            for vm in vms:
                await edge_site.wait_ready(vm)
        calls_made = edge_site.count_store_calls(vms)
        assert (
            calls_made["read configuration"] + calls_made["follow configuration"] <= 14
        )


async def test_request_waits_until_a_starting_vm_is_complete() -> None:
    # Guards against refusing requests after a power failure of the fleet, in the tenths
    # of a second until its VMs know routes and targets.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        site.store.delay = 0.1
        vm = await site.start_vm("vm-1")
        assert (await edge_site.call(vm)).status_code == 200


async def test_vm_that_stays_incomplete_for_long_refuses_requests_at_once() -> None:
    async with edge_site.run_site() as site:
        site.store.fault = topic_store.Fault.BUSY
        vm = await site.start_vm("vm-1")
        await anyio.sleep(knowledge_keeper.START_WAIT_S)
        with anyio.fail_after(0.3):
            assert (await edge_site.call(vm)).status_code == 503


async def test_vm_starts_from_a_peer_while_the_store_refuses_reads(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The store refuses the reads of the second VM, and the first has all that it needs.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        first = await site.start_vm("vm-0")
        await edge_site.wait_ready(first)

        async def refuse(*_: object) -> None:
            raise ports.StoreUnavailableError("turned away")

        platform_store = edge_site.store.PlatformStore
        with monkeypatch.context() as patch:
            patch.setattr(platform_store, "read_targets", refuse)
            patch.setattr(platform_store, "read_configuration", refuse)
            second = await site.start_vm("vm-1")
            await edge_site.wait_ready(second)
        assert (await edge_site.call(second)).status_code == 200


def test_snapshot_that_is_too_old_or_incomplete_is_not_applied() -> None:
    # Guards against routing by data that no VM has checked within its time limit.
    reader, writer = os.pipe()
    os.close(reader)
    log = log_lines.LogLines("vm-1", writer)
    record = target_record.TargetRecord(targets.Registry(), log, lambda: None)
    old = knowledge_exchange.Snapshot(
        None, 5, -2 * target_record.MAX_SNAPSHOT_AGE_S, ()
    )
    assert not record.apply_snapshot(old, 0.0, "vm-2")
    assert not record.is_complete
    unread = knowledge_exchange.Snapshot(None, -1, 0.0, ())
    assert not record.apply_snapshot(unread, 0.0, "vm-2")
    fresh = knowledge_exchange.Snapshot(None, 5, -0.1, ())
    assert record.apply_snapshot(fresh, 0.0, "vm-2")
    assert record.position == 5


def test_snapshot_round_trips_and_a_truncated_one_is_rejected() -> None:
    snapshot = knowledge_exchange.Snapshot(None, 5, 9.5, ())
    data = knowledge_exchange.encode(snapshot, 10.0)
    found = knowledge_exchange.decode(data, 20.0)
    assert (found.position, found.received_at) == (5, 19.5)
    for end in range(len(data)):
        with pytest.raises(ValueError, match="no"):
            knowledge_exchange.decode(data[:end], 20.0)
