"""Rate limits that targets announce for all VMs together."""

from __future__ import annotations

import collections.abc

import anyio
import edge_site
import pytest

pytestmark = pytest.mark.anyio

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
MAX_ARRIVALS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Limit on the requests that arrive at a target in one window."""
WORK_TIME_S = 0.25
"""Seconds that a target works on a request: long enough that most slots are in use and
every target is needed."""

KNOWN_AFTER_S = 0.5
"""Seconds after a target first announces a limit until all VMs must keep it."""


async def start(
    site: edge_site.Site, names: collections.abc.Sequence[str], targets: int
) -> list[edge_site.Vm]:
    site.publish([edge_site.make_route()])
    for number in range(targets):
        target = edge_site.Target(f"t{number}")
        target.delay = WORK_TIME_S
        await site.start_target(target)
    vms = [await site.start_vm(name) for name in names]
    for vm in vms:
        await edge_site.wait_ready(vm)
    return vms


async def send_all(
    vms: collections.abc.Sequence[edge_site.Vm], seconds: float, rate: float
) -> list[int]:
    """Send requests at a constant rate to the VMs in turn; return their statuses."""
    statuses: list[int] = []
    begin = anyio.current_time()

    async def send(number: int) -> None:
        vm = vms[number % len(vms)]
        answer = await edge_site.call(vm, request_id=f"r{begin}-{number}")
        statuses.append(answer.status_code)

    async with anyio.create_task_group() as group:
        for number in range(int(seconds * rate)):
            await anyio.sleep_until(begin + number / rate)
            group.start_soon(send, number)
    return statuses


def count_busiest_window(target: edge_site.Target, since: float) -> int:
    """Return the largest number of arrivals in any window from `since` on."""
    times = [at for at in target.arrived if at >= since]
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in times) for begin in times),
        default=0,
    )


async def test_all_vms_together_keep_the_limit_of_a_target() -> None:
    # Guards against VMs that each stay below the limit and together far exceed it.
    async with edge_site.run_site() as site:
        vms = await start(site, ["vm-1", "vm-2", "vm-3"], targets=3)
        limited = site.targets["t0"]
        limited.limit = LIMIT_PER_S
        since = anyio.current_time() + KNOWN_AFTER_S
        statuses = await send_all(vms, seconds=6.0, rate=30.0)
        assert count_busiest_window(limited, since) <= MAX_ARRIVALS
        assert len(limited.arrived) >= LIMIT_PER_S * 3
        assert statuses.count(200) >= 0.95 * len(statuses)


async def test_limit_ends_when_a_target_no_longer_states_it() -> None:
    async with edge_site.run_site() as site:
        vms = await start(site, ["vm-1", "vm-2"], targets=2)
        limited = site.targets["t0"]
        limited.limit = LIMIT_PER_S
        await send_all(vms, seconds=2.0, rate=20.0)
        limited.limit = None
        await anyio.sleep(1.0)
        before = len(limited.arrived)
        await send_all(vms, seconds=2.0, rate=30.0)
        assert len(limited.arrived) - before >= 20


async def test_requests_beyond_the_limits_of_all_targets_are_refused_at_once() -> None:
    async with edge_site.run_site() as site:
        vms = await start(site, ["vm-1", "vm-2"], targets=2)
        for target in site.targets.values():
            target.limit = LIMIT_PER_S
        await send_all(vms, seconds=2.0, rate=10.0)
        begin = anyio.current_time()
        statuses = await send_all(vms, seconds=2.0, rate=30.0)
        assert anyio.current_time() - begin < 3.0
        assert set(statuses) == {200, 503}
        for target in site.targets.values():
            assert count_busiest_window(target, begin) <= MAX_ARRIVALS


async def test_new_dispatcher_keeps_the_limit_after_a_crash() -> None:
    # Guards against a new dispatcher that does not know its targets' limits after the
    # previous dispatcher of the service crashed.
    async with edge_site.run_site() as site:
        vms = await start(site, ["vm-1", "vm-2", "vm-3"], targets=3)
        limited = site.targets["t0"]
        limited.limit = LIMIT_PER_S
        since = anyio.current_time() + KNOWN_AFTER_S
        await send_all(vms, seconds=3.0, rate=30.0)
        first = vms[0].daemon.find_dispatcher("desk")
        [dispatching] = [vm for vm in vms if vm.settings.vm == first]
        dispatching.daemon.kill()
        survivors = [vm for vm in vms if vm is not dispatching]
        await send_all(survivors, seconds=4.0, rate=30.0)
        assert count_busiest_window(limited, since) <= MAX_ARRIVALS
