"""What VMs do when the store is restored from a copy that is some seconds old."""

from __future__ import annotations

import anyio
import edge_site
import pytest

from zinniastand_standins import topic_store

pytestmark = pytest.mark.anyio

ERA_SETTLE_S = 2.0
"""Seconds within which all VMs know the entries of the new era."""


async def start(site: edge_site.Site, *names: str) -> list[edge_site.Vm]:
    vms = [await site.start_vm(name) for name in names]
    for vm in vms:
        await edge_site.wait_ready(vm)
    return vms


async def find_answering_targets(vms: list[edge_site.Vm], path: str = "/x") -> set[str]:
    """Return the targets that answer when a few requests are sent to each VM."""
    used: set[str] = set()
    for number in range(12):
        for vm in vms:
            name = f"{vm.settings.vm}-{number}-{anyio.current_time()}"
            answer = await edge_site.call(vm, path, name)
            if answer.status_code == 200:
                used.add(answer.content.split()[0].decode())
    return used


async def restore_store(site: edge_site.Site, copy: topic_store.Snapshot) -> None:
    """Make the store unavailable for a moment, then restore it from a copy."""
    site.store.fault = topic_store.Fault.BUSY
    await anyio.sleep(0.3)
    site.store.restore(copy)
    site.store.fault = topic_store.Fault.NONE


async def test_targets_of_the_new_era_are_used_and_leaving_ones_are_not() -> None:
    # The restored store assigns the same offsets again. By offsets alone, all records
    # written after that would look older than those read before, and never be applied.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for name in ("t1", "t2", "t3"):
            await site.start_target(edge_site.Target(name))
        vms = await start(site, "vm-1", "vm-2")
        copy = site.store.take_snapshot()
        for name in ("t1", "t2", "t3") * 10:
            site.register(site.targets[name])
        site.register(site.targets["t1"], "draining")
        await anyio.sleep(1.0)
        assert "t1" not in await find_answering_targets(vms)
        await restore_store(site, copy)
        await anyio.sleep(ERA_SETTLE_S)
        # Its entry is back in phase "ready", as it was when the copy was made.
        assert "t1" not in await find_answering_targets(vms)
        site.register(site.targets["t1"], "draining")
        for name in ("t2", "t3"):
            site.register(site.targets[name], "draining")
        await site.start_target(edge_site.Target("t4"))
        await anyio.sleep(ERA_SETTLE_S)
        assert await find_answering_targets(vms) == {"t4"}


async def test_configuration_in_force_is_kept_when_the_store_is_restored() -> None:
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route("/old/")])
        await site.start_target(edge_site.Target("t1"))
        vms = await start(site, "vm-1", "vm-2")
        copy = site.store.take_snapshot()
        site.publish([edge_site.make_route("/new/")])
        await anyio.sleep(1.0)
        await restore_store(site, copy)
        await anyio.sleep(ERA_SETTLE_S)
        late_vms = await start(site, "vm-3")
        await anyio.sleep(ERA_SETTLE_S)
        assert await find_answering_targets([*vms, *late_vms], "/new/x") == {"t1"}
        assert await find_answering_targets([*vms, *late_vms], "/old/x") == set()
        site.publish([edge_site.make_route("/newest/")])
        await anyio.sleep(ERA_SETTLE_S)
        assert await find_answering_targets([*vms, *late_vms], "/newest/x") == {"t1"}


async def test_vm_whose_entry_is_lost_writes_it_again() -> None:
    # A VM that starts later reads the list of VMs from the store, and would not find
    # the VM whose entry is lost.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        await start(site, "vm-1")
        copy = site.store.take_snapshot()
        await start(site, "vm-2")
        await restore_store(site, copy)
        await anyio.sleep(2 * ERA_SETTLE_S)
        listed = {record.key for record in site.store.list_newest("keyed.members")}
        assert listed == {"vm-1", "vm-2"}


async def test_store_calls_after_a_restore_are_few() -> None:
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        vms = await start(site, *(f"vm-{n}" for n in range(6)))
        await anyio.sleep(1.0)
        copy = site.store.take_snapshot()
        await anyio.sleep(0.5)
        usual_calls = edge_site.count_store_calls(vms)
        await anyio.sleep(5.0)
        usual_calls = edge_site.count_store_calls(vms) - usual_calls
        before = edge_site.count_store_calls(vms)
        site.store.restore(copy)
        await anyio.sleep(5.0)
        calls_made = edge_site.count_store_calls(vms) - before
        assert calls_made.total() - usual_calls.total() <= 3 * len(vms)
