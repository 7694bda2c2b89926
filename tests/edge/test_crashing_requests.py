"""Requests that crash every target that runs them."""

from __future__ import annotations

import anyio
import edge_site
import pytest

pytestmark = pytest.mark.anyio

FRAGILE = "/fragile"
SETTLE_TIME_S = 0.3
"""Seconds to wait until the VMs have exchanged their records of crashes."""
MAX_CRASHED_TARGETS = 6
"""Targets that may crash before all VMs know the request: three, and those that it has
reached at the same time."""


SOUND_TARGETS = 2
"""Targets that do not crash where all others may: without any, nothing can be served.
"""


async def start(site: edge_site.Site, *names: str) -> list[edge_site.Vm]:
    site.publish([edge_site.make_route(kind="safe")])
    for number in range(8):
        target = edge_site.Target(f"t{number}")
        await site.start_fragile_target(target, FRAGILE.encode())
    vms = [await site.start_vm(name) for name in names]
    for vm in vms:
        await edge_site.wait_ready(vm)
    return vms


async def send(vm: edge_site.Vm, request_id: str) -> int:
    answer = await edge_site.call(vm, FRAGILE, request_id, method="GET", body=b"")
    return answer.status_code


def count_crashes(site: edge_site.Site) -> int:
    return sum(
        1 for candidate in site.targets.values() if candidate.crash_scope.cancel_called
    )


async def test_request_that_crashes_its_targets_is_quarantined_by_all_vms() -> None:
    # Each VM sees only a crash or two; the VMs must combine them to quarantine it.
    async with edge_site.run_site() as site:
        vms = await start(site, "vm-1", "vm-2", "vm-3", "vm-4")
        for number in range(8):
            await send(vms[number % 4], f"r{number}")
        await anyio.sleep(SETTLE_TIME_S)
        before = count_crashes(site)
        assert before <= MAX_CRASHED_TARGETS
        statuses = {await send(vms[n % 4], f"s{n}") for n in range(12)}
        assert statuses == {503}
        assert count_crashes(site) == before
        answer = await edge_site.call(vms[0], "/other", method="GET", body=b"")
        assert answer.status_code == 200


async def test_vm_that_starts_later_quarantines_known_requests() -> None:
    async with edge_site.run_site() as site:
        vms = await start(site, "vm-1", "vm-2", "vm-3")
        for number in range(8):
            await send(vms[number % 3], f"r{number}")
        before = count_crashes(site)
        late = await site.start_vm("vm-late")
        await edge_site.wait_ready(late)
        await anyio.sleep(SETTLE_TIME_S)
        assert [await send(late, f"s{n}") for n in range(4)] == [503] * 4
        assert count_crashes(site) == before


async def test_request_is_not_quarantined_when_targets_crash_for_other_reasons() -> (
    None
):
    # Many callers send the same request; targets crash one after the other while they
    # hold it, and in between it is answered.
    async with edge_site.run_site() as site:
        vms = await start(site, "vm-1", "vm-2")
        served = 0
        for number in range(40):
            if number % 5 == 0:
                victims = [
                    candidate
                    for candidate in site.targets.values()
                    if not candidate.crash_scope.cancel_called
                ]
                for victim in victims[:-SOUND_TARGETS][:2]:
                    victim.crash_path = b"/same"
            answer = await edge_site.call(
                vms[number % 2], "/same", f"r{number}", method="GET", body=b""
            )
            served += answer.status_code == 200
            assert b"quarantined" not in answer.content
        assert served >= 30
