"""VMs that are running but cannot perform a task leave it to others."""

from __future__ import annotations

import os

import anyio
import edge_site
import pytest

from zinniastand_proxy.edge import (
    datagrams,
    log_lines,
    members,
    peer_link,
    ports,
    reading_turn,
    resignation,
    store_contact,
    target_reader,
)
from zinniastand_standins import loopback, topic_store

pytestmark = pytest.mark.anyio

NAMES = tuple(f"vm-{n}" for n in range(6))
SETTLED_AT_S = members.SETTLE_TIME_S + 0.1
"""Time, in seconds after the start, at which all VMs of a test have settled."""


def make_fleet() -> members.Members:
    def make_member(name: str) -> ports.Member:
        return ports.Member(name, "a", "127.0.0.1", 7660, 1)

    fleet = members.Members(make_member("own"), 0.0)
    for name in NAMES:
        fleet.add(make_member(name))
        fleet.record_contact(name, 0.0)
    return fleet


def resign(fleet: members.Members, vm: str, task: str, until: float) -> bool:
    return fleet.record_resignation(vm, 1, task, until, SETTLED_AT_S)


def test_resigned_vm_gets_no_task_though_it_is_reachable() -> None:
    # Guards against asking a VM first, again and again, that only appears healthy.
    fleet = make_fleet()
    first = fleet.rank("desk", SETTLED_AT_S, 1)[0]
    assert resign(fleet, first, "desk", SETTLED_AT_S + 3)
    fleet.record_contact(first, SETTLED_AT_S + 1)
    assert fleet.rank("desk", SETTLED_AT_S + 1, 1) != [first]
    assert first in fleet.rank("other", SETTLED_AT_S + 1, len(NAMES) + 1)
    assert fleet.rank("desk", SETTLED_AT_S + 3, 1) == [first]


def test_vm_that_resigned_from_all_tasks_gets_none() -> None:
    fleet = make_fleet()
    assert resign(fleet, "vm-1", resignation.ALL_TASKS, SETTLED_AT_S + 3)
    for task in ("desk", "other", reading_turn.READER_TASK):
        assert "vm-1" not in fleet.rank(task, SETTLED_AT_S, len(NAMES) + 1)


def test_resignations_are_bounded_in_number_and_duration() -> None:
    # Guards against a task that no VM may perform, and against an endless resignation.
    fleet = make_fleet()
    done = [resign(fleet, name, "desk", SETTLED_AT_S + 1e9) for name in NAMES]
    assert done.count(True) == members.MAX_RESIGNED
    left = fleet.rank("desk", SETTLED_AT_S, len(NAMES) + 1)
    assert len(left) == len(NAMES) + 1 - members.MAX_RESIGNED
    late = SETTLED_AT_S + members.MAX_RESIGNATION_S
    assert len(fleet.rank("desk", late, len(NAMES) + 1)) == len(NAMES) + 1


def test_resignation_from_an_earlier_start_is_ignored() -> None:
    fleet = make_fleet()
    assert not fleet.record_resignation(
        "vm-1", 0, "desk", SETTLED_AT_S + 3, SETTLED_AT_S
    )


def test_vm_resigns_only_after_lasting_lateness_with_tasks() -> None:
    fleet = make_fleet()
    log = log_lines.LogLines("own", os.pipe()[1])
    link = peer_link.PeerLink("127.0.0.1", loopback.find_free_port(), log)
    own = resignation.Resignation(fleet, link, log)

    async def record_delays() -> None:
        own.record_lateness(0.2, has_tasks=True)
        assert link.sent == 0
        for _ in range(10):
            own.record_lateness(0.2, has_tasks=False)
        assert link.sent == 0
        for _ in range(10):
            own.record_lateness(0.2, has_tasks=True)
        assert link.sent == len(NAMES)

    anyio.run(record_delays)
    link.close()


def test_resignation_is_sent_with_its_remaining_time() -> None:
    message = datagrams.Resigned("vm-1", 7, "desk", 13.0)
    data = datagrams.encode(message, 10.0)
    assert datagrams.decode(data, 100.0) == datagrams.Resigned("vm-1", 7, "desk", 103.0)


async def test_reader_refused_by_the_store_leaves_reading_to_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a reader that is asked first again as soon as it greets, while all
    # others read the store themselves each time that its updates are missing.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        vms = [await site.start_vm(f"vm-{n}") for n in range(8)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        await anyio.sleep(3.0)
        now = anyio.current_time()
        fleet = vms[0].daemon._fleet
        [reader] = fleet.rank(reading_turn.READER_TASK, now, 1)
        [refused_reader] = [vm for vm in vms if vm.settings.vm == reader]

        async def refuse(*_: object) -> None:
            raise ports.StoreUnavailableError("turned away")

        for name in ("read_target_changes", "read_configuration", "read_targets"):
            monkeypatch.setattr(refused_reader.daemon._store, name, refuse)
        await anyio.sleep(2.0)
        before = edge_site.count_store_calls(vms)
        await anyio.sleep(4.0)
        calls_made = edge_site.count_store_calls(vms) - before
        assert calls_made["follow targets"] <= 12
        assert calls_made["read configuration"] <= 6


async def test_few_vms_call_an_unavailable_store_and_all_learn_of_its_return() -> None:
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route("/old/")])
        await site.start_target(edge_site.Target("t1"))
        vms = [await site.start_vm(f"vm-{n}") for n in range(12)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        await anyio.sleep(3.0)
        site.store.fault = topic_store.Fault.BUSY
        await anyio.sleep(2.0)
        before = edge_site.count_store_calls(vms).total()
        await anyio.sleep(4.0)
        calls_made = edge_site.count_store_calls(vms).total() - before
        first_vm_count = reading_turn.MAX_DELAYED_RANKS + 1
        standby_count = len(vms) - first_vm_count
        # The VMs that rank first call once a second, at times after half a second.
        calls_per_first_vm = 4.0 / store_contact.MAX_DELAY_S * 2
        calls_per_standby = 4.0 / target_reader.MAX_STANDBY_DELAY_S * 2
        assert (
            calls_made
            <= first_vm_count * calls_per_first_vm + standby_count * calls_per_standby
        )
        site.store.fault = topic_store.Fault.NONE
        site.publish([edge_site.make_route("/new/")])
        await anyio.sleep(2.0)
        for vm in vms:
            assert (await edge_site.call(vm, "/new/x")).status_code == 200
