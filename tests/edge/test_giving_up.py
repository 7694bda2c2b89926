"""A request at which a target is at work is given up only for an answer in hand.

A caller got 502 from a VM that was stopping, although a target was at work on its
lookup and would have answered. The work had taken four times as long as expected, so
the VM broke it off to try another target; that failed too, and there was nothing left
to give. Now the attempt goes on beside the second one, and the first answer ends both.
Of the report and of the log of this test before the mend:

    69.247  the target begins to work
    69.320  the VM gets SIGTERM
    69.845  the work ends as cut, 598 ms after it began
    70.032  the caller gets 502, without a signature

    stopping  in_flight=1
    attempt   target=t1 outcome=silent why=overdue expected_ms=200 ms=723
    attempt   target=t2 outcome=shed why="turned away with 503" ms=2
    answer    status=502 why="turned away with 503" ms=726 attempts=2
"""

from __future__ import annotations

import anyio
import edge_site
import httpx
import pytest

from zinniastand_standins import loopback

pytestmark = pytest.mark.anyio

TIME_LIMIT = 4.0
LONG_WORK = 2.0


def make_failing_target(how: str) -> edge_site.Target:
    """Return a second target that gives no success."""
    target = edge_site.Target("t2")
    target.is_signed = how != "unsigned"
    target.status = {"turned-away": 503, "error": 500}.get(how, 200)
    return target


async def start_failing_target(site: edge_site.Site, how: str) -> None:
    target = make_failing_target(how)
    if how == "unreachable":
        target.port = loopback.find_free_port()
        site.register(target)
    else:
        await site.start_target(target)


@pytest.mark.parametrize("how", ["unreachable", "turned-away", "unsigned", "error"])
async def test_overdue_work_goes_on_while_its_second_target_fails(how: str) -> None:
    # A VM is stopping. A lookup takes long at its target, so that a slot of another
    # one is asked for and granted, and there it fails. The first target answers in
    # time; its caller must get that answer, and not the failure of the second.
    async with edge_site.run_site() as site:
        limit = int(TIME_LIMIT * 1000)
        site.publish([edge_site.make_route(kind="safe", timeout_ms=limit)])
        first = edge_site.Target("t1")
        first.delay = LONG_WORK
        await site.start_target(first)
        vm = await site.start_vm("vm-1")
        await edge_site.wait_ready(vm)
        answers: list[httpx.Response] = []

        async def send() -> None:
            answers.append(await edge_site.call(vm, time_left=limit))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await edge_site.wait_until(lambda: first.ran == ["id-1"])
            vm.daemon.stop()
            await start_failing_target(site, how)
        assert answers[0].status_code == 200
        assert answers[0].content.startswith(b"t1")
        assert first.cancelled == []


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
async def test_request_gets_a_final_answer_before_its_vm_ends(kind: str) -> None:
    # A VM stops while a target hangs, and the request's own limit lies beyond the end
    # of the process. Its caller saw the connection close, as if nobody had read it.
    async with edge_site.run_site() as site:
        site.stop_limit = 1.5
        site.publish([edge_site.make_route(kind=kind, timeout_ms=60_000)])
        hanging = edge_site.Target("t1")
        hanging.delay = 60.0
        await site.start_target(hanging)
        vm = await site.start_vm("vm-1")
        await edge_site.wait_ready(vm)
        answers: list[httpx.Response] = []

        async def send() -> None:
            answers.append(await edge_site.call(vm, time_left=60_000))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await edge_site.wait_until(lambda: hanging.ran == ["id-1"])
            vm.daemon.stop()
        assert answers[0].status_code == 504
        assert answers[0].json()["reason"] == "stopping"
        await edge_site.wait_until(
            lambda: any(one["event"] == "stopped" for one in vm.read_log())
        )
        [line] = [one for one in vm.read_log() if one["event"] == "stopped"]
        assert line["cut_off"] == 0
