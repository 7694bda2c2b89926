"""A VM that was suspended does not act on outdated times, targets or connections.

The monotonic clock does not count the time of the suspension.
"""

from __future__ import annotations

import anyio
import edge_site
import pytest

from zinniastand_core import services
from zinniastand_proxy.edge import suspension

pytestmark = pytest.mark.anyio


class SuspendedTime:
    """The seconds that the monotonic clock has not counted, as set by a test."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def read(self) -> float:
        return self.seconds


def test_each_suspension_is_reported_once() -> None:
    suspended, durations = SuspendedTime(), []
    watch = suspension.SuspensionWatch(durations.append, suspended.read)
    watch.check()
    suspended.seconds += suspension.MIN_SUSPENSION_S / 2
    watch.check()
    assert durations == []
    suspended.seconds += 3.0
    watch.check()
    watch.check()
    assert durations == [3.0]


def test_clocks_of_this_machine_can_be_read() -> None:
    first = suspension.read_suspended_time()
    assert abs(suspension.read_suspended_time() - first) < suspension.MIN_SUSPENSION_S


async def start(site: edge_site.Site) -> tuple[edge_site.Vm, SuspendedTime]:
    """Start a VM whose suspensions are simulated by the test."""
    vm = await site.start_vm("vm-1")
    await edge_site.wait_ready(vm)
    suspended = SuspendedTime()
    watch = vm.daemon._suspension
    watch._read_suspended, watch._suspended_time = suspended.read, 0.0
    return vm, suspended


async def test_caller_is_answered_by_its_own_deadline() -> None:
    # Guards against waiting for an answer as long as the monotonic clock would allow.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route(timeout_ms=3000)])
        target = edge_site.Target("t1")
        target.delay = 2.5
        await site.start_target(target)
        vm, suspended = await start(site)
        statuses: list[int] = []

        async def call() -> None:
            statuses.append((await edge_site.call(vm, time_left=3000)).status_code)

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await edge_site.wait_until(lambda: bool(target.ran))
            suspended.seconds = 10.0
            with anyio.fail_after(0.5):
                while not statuses:
                    await anyio.sleep(0.01)
        assert statuses == [504]


async def test_second_target_gets_the_time_that_is_really_left() -> None:
    # Guards against sending a target more time than the caller has left.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route(kind="safe", timeout_ms=3000)])
        targets = [edge_site.Target("t1"), edge_site.Target("t2")]
        for target in targets:
            target.status, target.delay = 500, 0.3
            await site.start_target(target)
        vm, suspended = await start(site)

        async def call() -> None:
            await edge_site.call(vm, time_left=3000, method="GET", body=b"")

        async with anyio.create_task_group() as group:
            group.start_soon(call)
            await edge_site.wait_until(lambda: any(each.ran for each in targets))
            suspended.seconds = 1.5
        first, second = sorted(left for each in targets for left in each.time_left)
        assert second - first >= 1500


async def test_target_that_left_during_the_suspension_gets_no_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against routing by targets that were read before the suspension.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route()])
        for name in ("t1", "t2"):
            await site.start_target(edge_site.Target(name))
        vm, suspended = await start(site)
        await anyio.sleep(1.0)
        # The read under way hangs, as it would during a suspension.

        async def hang(*_: object) -> None:
            await anyio.sleep_forever()

        with monkeypatch.context() as patch:
            patch.setattr(vm.daemon._store, "read_target_changes", hang)
            await anyio.sleep(0.6)
            site.register(site.targets["t1"], "draining")
        suspended.seconds = 5.0
        await anyio.sleep(0.3)
        for number in range(8):
            await edge_site.call(vm, request_id=f"r{number}")
        assert site.targets["t1"].ran == []


async def test_idle_connections_are_not_used_after_a_suspension() -> None:
    # Guards against sending on connections that broke silently during the suspension.
    async with edge_site.run_site() as site:
        site.publish([edge_site.make_route(kind="safe")])
        await site.start_target(edge_site.Target("t1"))
        vm, suspended = await start(site)
        await edge_site.call(vm, method="GET", body=b"")
        client = vm.daemon._client
        now = anyio.current_time()
        assert client.list_connected_targets(services.Work.IDEMPOTENT, now) == ["t1"]
        suspended.seconds = 2.0
        await anyio.sleep(0.1)
        now = anyio.current_time()
        assert client.list_connected_targets(services.Work.IDEMPOTENT, now) == []
        assert (await edge_site.call(vm, request_id="id-2")).status_code == 200
        assert client.opened_connections == 2
