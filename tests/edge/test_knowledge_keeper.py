"""How a VM handles updates from peers, and a store that fails and comes back."""

from __future__ import annotations

import anyio
import edge_site
import pytest

from zinniastand_standins import topic_store

pytestmark = pytest.mark.anyio


async def test_configuration_is_in_force_soon_after_an_outage() -> None:
    # The store stops answering while a VM waits there, and a version is published as it
    # comes back. The old wait will never be answered; only a new call gets the version.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route("/old/")])
        await site.start_target(edge_site.Target("t1"))
        vm = await site.start_vm("vm-1")
        await edge_site.wait_ready(vm)
        site.store.fault = topic_store.Fault.SILENT
        await anyio.sleep(1.5)
        site.store.fault = topic_store.Fault.NONE
        site.publish([edge_site.make_route("/new/")])
        await anyio.sleep(2.0)
        assert (await edge_site.call(vm, "/new/x")).status_code == 200
        events = [line["event"] for line in vm.read_log()]
        assert "store_lost" in events
        assert "store_back" in events


async def test_full_list_is_read_when_the_store_has_dropped_history() -> None:
    # A target starts to leave, and the store drops that record before the VM reads it:
    # only the full list of targets shows it.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for name in ("t1", "t2", "t3", "t4"):
            await site.start_target(edge_site.Target(name))
        vm = await site.start_vm("vm-1")
        await edge_site.wait_ready(vm)
        site.register(site.targets["t1"], "draining")
        site.store.forget(edge_site.wire_names.TARGETS_TOPIC)
        await anyio.sleep(1.2)
        for n in range(6):
            await edge_site.call(vm, request_id=f"r{n}")
        assert site.targets["t1"].ran == []


async def test_leaving_target_gets_no_more_requests_after_its_time_limit() -> None:
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for name in ("t1", "t2"):
            await site.start_target(edge_site.Target(name))
        vms = [await site.start_vm(f"vm-{n}") for n in range(3)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        await anyio.sleep(2.5)
        site.register(site.targets["t1"], "draining")
        await anyio.sleep(1.0)
        before = len(site.targets["t1"].ran)
        for n in range(12):
            answer = await edge_site.call(vms[n % 3], request_id=f"r{n}")
            assert answer.status_code == 200
        assert len(site.targets["t1"].ran) == before


async def test_updates_reach_other_data_centres_through_relays() -> None:
    # One VM reads for two data centres. The other data centre gets updates through a
    # relay; if that did not forward them, each VM there would read the store itself.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for name in ("t1", "t2"):
            await site.start_target(edge_site.Target(name))
        vms = [
            await site.start_vm(f"vm-{n}", data_centre=vm_data_centre)
            for n, vm_data_centre in enumerate("aaabbb")
        ]
        for vm in vms:
            await edge_site.wait_ready(vm)
        await anyio.sleep(4.0)
        site.register(site.targets["t1"], "draining")
        await anyio.sleep(1.0)
        sources = {
            str(line["source"])
            for vm in vms
            for line in vm.read_log()
            if line["event"] == "target_changed" and line["phase"] == "draining"
        }
        assert "store" in sources
        assert len(sources) == 2


async def test_fleet_that_starts_has_one_reader_at_any_time() -> None:
    # All VMs start together. As long as each ranks itself first, each reads the store
    # some three times a second, and the calls to the store are limited.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        await site.start_target(edge_site.Target("t1"))
        vms = [await site.start_vm(f"vm-{n}") for n in range(6)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        before = site.store.calls
        await anyio.sleep(3.5)
        # One reader waits 0.4 s and pauses 0.25 s: 5 or 6 reads, and a few more by VMs
        # that became the reader after it.
        assert site.store.calls - before < 16
