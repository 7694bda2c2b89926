"""Targets that ask a VM for a rest, or state that they are leaving."""

from __future__ import annotations

import collections.abc

import anyio
import edge_site
import pytest
import vm_partition

from zinniastand_standins import partition

pytestmark = pytest.mark.anyio

REST_S = 2.0
UNDER_WAY_S = 0.5
"""Seconds after a rest was asked for in which requests may still arrive."""

MAX_REQUESTS_IN_REST = 2
"""Requests of a VM that may reach a target during a rest."""

SLOTS_OF_ALL_TARGETS = 20
"""Requests at a time that occupy every target of a site."""

DRAIN_BOUND_S = 2.0
"""Seconds after which a leaving target gets no more requests."""


async def start_vms(
    site: edge_site.Site, count: int, targets: int = 3
) -> list[edge_site.Vm]:
    site.publish([edge_site.make_route()])
    for number in range(targets):
        target = edge_site.Target(f"t{number}")
        target.delay = 0.05
        await site.start_target(target)
    vms = [await site.start_vm(f"vm-{number}") for number in range(count)]
    for vm in vms:
        await edge_site.wait_ready(vm)
    return vms


async def call_side_by_side(vm: edge_site.Vm, count: int) -> set[int]:
    """Send requests that occupy all targets; return the statuses of their answers."""
    statuses: set[int] = set()

    async def send() -> None:
        statuses.add((await edge_site.call(vm)).status_code)

    async with anyio.create_task_group() as group:
        for _ in range(count):
            group.start_soon(send)
    return statuses


async def call_until(vm: edge_site.Vm, end: float) -> set[int]:
    """Send requests until a time; return the statuses of their answers."""
    statuses: set[int] = set()
    while anyio.current_time() < end:
        statuses |= await call_side_by_side(vm, SLOTS_OF_ALL_TARGETS)
    return statuses


async def wait_until_called(
    vm: edge_site.Vm, condition: collections.abc.Callable[[], bool]
) -> None:
    """Send requests to a VM until a condition holds."""
    with anyio.fail_after(5.0):
        while not condition():
            await call_side_by_side(vm, SLOTS_OF_ALL_TARGETS)


def count_in_rest(target: edge_site.Target) -> int:
    """Return the arrivals during the rest that the target first asked for."""
    begin = target.arrived[0]
    return sum(
        begin + UNDER_WAY_S < at < begin + REST_S - 0.05 for at in target.arrived
    )


async def test_target_that_asks_for_rest_gets_it() -> None:
    # Guards against sending requests to an overloaded target during the time for which
    # it has asked this VM for a rest.
    async with edge_site.run_site() as site:
        [vm] = await start_vms(site, 1)
        tired = site.targets["t0"]
        tired.status, tired.rest = 503, b"2"
        await wait_until_called(vm, lambda: bool(tired.arrived))
        statuses = await call_until(vm, tired.arrived[0] + REST_S)
        assert statuses == {200}
        assert count_in_rest(tired) <= MAX_REQUESTS_IN_REST
        before = len(tired.arrived)
        await wait_until_called(vm, lambda: len(tired.arrived) > before)


async def test_rest_does_not_bind_other_vms() -> None:
    # Guards against taking a target out of use for VMs that it still serves.
    async with edge_site.run_site() as site:
        first, second = await start_vms(site, 2, targets=2)
        tired = site.targets["t0"]
        tired.status, tired.rest = 503, b"2"
        await wait_until_called(first, lambda: bool(tired.arrived))
        tired.status = 200
        await wait_until_called(second, lambda: bool(tired.ran))
        assert anyio.current_time() < tired.arrived[0] + REST_S


async def test_relaying_vm_keeps_the_rest_that_its_user_was_asked_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against requests over a relay, which the target counts for the relay.
    async with edge_site.run_site() as site:
        cut, relay = await start_vms(site, 2, targets=5)
        tired = site.targets["t0"]
        links = vm_partition.VmPartition(
            monkeypatch, lambda: {target.port for target in site.targets.values()}
        )
        links.begin(["vm-0"], partition.Cut.RESET)
        assert (await edge_site.call(cut)).status_code in (200, 503)
        tired.status, tired.rest = 503, b"2"
        tired.arrived.clear()
        await wait_until_called(cut, lambda: bool(tired.arrived))
        await call_until(relay, tired.arrived[0] + REST_S)
        assert count_in_rest(tired) <= MAX_REQUESTS_IN_REST


async def test_target_that_says_that_it_is_leaving_gets_no_more_requests() -> None:
    # Guards against sending requests to a leaving target whose state in the store did
    # not reach this VM.
    async with edge_site.run_site() as site:
        [vm] = await start_vms(site, 1)
        leaving = site.targets["t0"]
        leaving.is_leaving = True
        await wait_until_called(vm, lambda: bool(leaving.arrived))
        told_at = leaving.arrived[0]
        statuses = await call_until(vm, told_at + DRAIN_BOUND_S + 1.0)
        assert statuses == {200}
        assert all(at <= told_at + DRAIN_BOUND_S for at in leaving.arrived)
