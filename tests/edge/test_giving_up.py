"""An attempt in progress is cancelled only when there is an answer to relay.

An idempotent request runs four times as long as expected, so that a backup attempt
starts at a second target and fails. If the overdue attempt were cancelled for it, the
caller would get 502 although the first target was still working and would answer. So
the overdue attempt continues concurrently with its backup, and the first answer ends
both.
"""

from __future__ import annotations

import anyio
import edge_site
import httpx
import pytest

from zinniastand_standins import loopback

pytestmark = pytest.mark.anyio

TIME_LIMIT_S = 4.0
WORK_DURATION_S = 2.0


def make_failing_target(how: str) -> edge_site.Target:
    """Return a target that fails in the way `how`."""
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
async def test_overdue_attempt_continues_while_its_backup_fails(how: str) -> None:
    # A VM is stopping while an idempotent request takes long at its target. A backup
    # attempt is granted a slot and fails. The first target answers in time, and the
    # caller must get this answer, not the failure of the backup.
    async with edge_site.run_site() as site:
        limit = int(TIME_LIMIT_S * 1000)
        site.publish([edge_site.make_route(kind="safe", timeout_ms=limit)])
        first = edge_site.Target("t1")
        first.delay = WORK_DURATION_S
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
async def test_request_gets_reply_before_its_vm_ends(kind: str) -> None:
    # A VM stops while a target hangs, and the request's deadline lies after the end of
    # the process. Guards against a closed connection without a reply, from which the
    # caller could not tell whether the request had been read.
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
            lambda: any(log_line["event"] == "stopped" for log_line in vm.read_log())
        )
        [line] = [
            log_line for log_line in vm.read_log() if log_line["event"] == "stopped"
        ]
        assert line["cut_off"] == 0
