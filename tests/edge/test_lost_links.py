"""VMs that are partitioned from all targets serve their callers as the others do."""

from __future__ import annotations

import collections

import anyio
import edge_site
import pytest
import vm_partition

from zinniastand_standins import loopback, partition

pytestmark = pytest.mark.anyio

MIN_SHARE_OF_OTHERS = 0.9
"""First attempts at partitioned VMs are served at least this often, relative to those
at the other VMs."""

MIN_SHARE_OF_BEFORE = 0.97
"""First attempts at the other VMs are served at least this often, relative to the time
before the partition."""

SETTLING_S = 1.0
"""Seconds after the beginning of a partition from which both shares hold."""

REQUESTS_PER_VM = 20
REQUEST_INTERVAL_S = 0.2  # All VMs, callers and targets share one event loop.


async def count_served(vms: list[edge_site.Vm], label: str) -> collections.Counter[str]:
    """Return how many first attempts are served at each VM, sent side by side."""
    served: collections.Counter[str] = collections.Counter()

    async def send(vm: edge_site.Vm, number: int) -> None:
        await anyio.sleep(REQUEST_INTERVAL_S * number)
        request_id = f"{label}-{vm.settings.vm}-{number}"
        answer = await edge_site.call(vm, request_id=request_id, time_left=1500)
        served[vm.settings.vm] += answer.status_code == 200

    async with anyio.create_task_group() as group:
        for vm in vms:
            for number in range(REQUESTS_PER_VM):
                group.start_soon(send, vm, number)
    return served


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize("cut", list(partition.Cut))
async def test_vms_without_links_to_targets_serve_as_often_as_the_others(
    cut: partition.Cut, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against refusing the callers of VMs that alone cannot reach any target, and
    # against taking targets that others reach out of service.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route(kind=kind)])
        for number in range(4):
            target = edge_site.Target(f"t{number}")
            target.delay = 0.05
            await site.start_target(target)
        links = vm_partition.VmPartition(
            monkeypatch, lambda: {target.port for target in site.targets.values()}
        )
        vms = [await site.start_vm(f"vm-{number}") for number in range(6)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        before = await count_served(vms, "before")
        links.begin([vm.settings.vm for vm in vms[:4]], cut)
        await anyio.sleep(SETTLING_S)
        during = await count_served(vms, "during")
    cut_share = sum(during[f"vm-{n}"] for n in range(4)) / (4 * REQUESTS_PER_VM)
    other_share = sum(during[f"vm-{n}"] for n in (4, 5)) / (2 * REQUESTS_PER_VM)
    before_share = sum(before.values()) / (6 * REQUESTS_PER_VM)
    assert other_share >= MIN_SHARE_OF_BEFORE * before_share
    assert cut_share >= MIN_SHARE_OF_OTHERS * other_share


async def test_request_that_no_vm_can_pass_on_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against holding callers until their deadline while no VM has any links.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for number in range(3):
            await site.start_target(edge_site.Target(f"t{number}"))
        links = vm_partition.VmPartition(
            monkeypatch, lambda: {target.port for target in site.targets.values()}
        )
        vms = [await site.start_vm(f"vm-{number}") for number in range(3)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        links.begin([vm.settings.vm for vm in vms], partition.Cut.SILENT)
        for _ in range(3):
            for vm in vms:
                await edge_site.call(vm, time_left=1500)
        begin = anyio.current_time()
        answer = await edge_site.call(vms[0], time_left=5000)
        assert answer.status_code == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert anyio.current_time() - begin < 0.3
        links.end()
        # Links are found to work again by probes.
        await anyio.sleep(1.0)
        assert (await edge_site.call(vms[0])).status_code == 200
        assert any(line["event"] == "links_back" for line in vms[0].read_log())


async def test_failed_rack_is_not_taken_for_lost_links() -> None:
    # Guards against a fleet that refuses its callers, since each VM met two dead
    # targets in turn and takes its own links for lost.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for number in range(6):
            await site.start_target(edge_site.Target(f"t{number}"))
        vms = [await site.start_vm(f"vm-{number}") for number in range(2)]
        for vm in vms:
            await edge_site.wait_ready(vm)
        for number in range(3):
            site.targets[f"t{number}"].port = loopback.find_free_port()
            site.register(site.targets[f"t{number}"])
        await anyio.sleep(0.5)
        answers = [
            (await edge_site.call(vm, request_id=f"{vm.settings.vm}-{n}")).status_code
            for n in range(20)
            for vm in vms
        ]
        assert answers == [200] * 40
        for vm in vms:
            assert not any(line["event"] == "links_lost" for line in vm.read_log())
