"""Daemons as separate processes that are stopped, killed or frozen."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import sys

import anyio
import anyio.abc
import httpx
import pytest
import uuid6

from zinniastand_standins import loopback, site

pytestmark = pytest.mark.anyio

WORK_TIME_S = 0.8
SERVICE_PLAN = site.ServicePlan(
    name="desk",
    targets=2,
    slots=8,
    work_time=WORK_TIME_S,
    floor_slots=2,
    detection_weight=0.5,
    kinds=(
        {"name": "lookup", "work": "idempotent", "time_limit_ms": 10_000},
        {"name": "order", "work": "at-most-once", "time_limit_ms": 6_000},
    ),
    routes=(
        {"path_prefix": "/items", "methods": ["GET"], "kind": "lookup"},
        {"path_prefix": "/orders", "methods": ["POST"], "kind": "order"},
    ),
    data_centres=("dc-1",),
)


class Vm:
    """One daemon process."""

    def __init__(self, process: anyio.abc.Process, callers: int, admin: int) -> None:
        self.process = process
        self.callers = callers
        self.admin = admin

    async def wait_ready(self, client: httpx.AsyncClient) -> None:
        """Wait until ``/ready`` says that the daemon accepts requests."""
        with anyio.fail_after(30):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    page = await client.get(f"http://127.0.0.1:{self.admin}/ready")
                    if page.status_code == 200:
                        return
                await anyio.sleep(0.05)

    async def order(self, client: httpx.AsyncClient, key: str) -> httpx.Response:
        """Send an order, at-most-once work, that targets record under its key."""
        headers = {"idempotency-key": key, "x-work-name": key}
        url = f"http://127.0.0.1:{self.callers}/orders"
        return await client.post(url, headers=headers, content=b"x")


@contextlib.asynccontextmanager
async def run_processes(folder: pathlib.Path, count: int):
    """Run the platform in this process and each daemon in a separate one."""
    async with (
        anyio.create_task_group() as group,
        httpx.AsyncClient(timeout=20) as http_client,
    ):
        local_site = site.Site(group)
        await local_site.start_platform()
        await local_site.start_targets([SERVICE_PLAN])
        local_site.publish()
        vms = [await start_vm(local_site, folder, f"vm-{n}") for n in range(count)]
        try:
            for vm in vms:
                await vm.wait_ready(http_client)
            yield local_site, vms, http_client
        finally:
            for vm in vms:
                if vm.process.returncode is None:
                    vm.process.kill()
                    await vm.process.wait()
            group.cancel_scope.cancel()


async def start_vm(local_site: site.Site, folder: pathlib.Path, name: str) -> Vm:
    """Start a daemon process."""
    settings = local_site.make_settings(name)
    callers, admin = loopback.find_free_port(), loopback.find_free_port()
    settings["callers"]["port"] = callers
    settings["admin"]["port"] = admin
    path = folder / f"{name}.json"
    path.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "zinniastand_proxy.cli", "--settings", str(path)]
    process = await anyio.open_process(
        command, stdout=None, stderr=None, env={**os.environ, "PYTHONUNBUFFERED": "1"}
    )
    return Vm(process, callers, admin)


async def test_planned_stop_cuts_off_no_request(tmp_path: pathlib.Path) -> None:
    # SIGTERM arrives while a request runs. Another request arrives afterwards, as the
    # balancer has not noticed yet. Both are answered, then the process exits with 0.
    async with run_processes(tmp_path, 1) as (_site, (vm,), client):
        replies: list[int] = []

        async def look_up() -> None:
            reply = await client.get(f"http://127.0.0.1:{vm.callers}/items/1")
            replies.append(reply.status_code)

        async with anyio.create_task_group() as group:
            group.start_soon(look_up)
            await anyio.sleep(WORK_TIME_S / 4)
            vm.process.terminate()
            await anyio.sleep(WORK_TIME_S / 4)
            page = await client.get(f"http://127.0.0.1:{vm.admin}/ready")
            assert page.status_code == 503
            group.start_soon(look_up)
        assert replies == [200, 200]
        with anyio.fail_after(20):
            assert await vm.process.wait() == 0


async def test_order_of_a_killed_vm_does_not_run_twice(tmp_path: pathlib.Path) -> None:
    # A VM is killed after it has sent an order to a target. The caller's connection
    # breaks, and it repeats the order through another VM. That one finds the claim on
    # the log and answers "unknown", since the order may have run. It has run once.
    async with run_processes(tmp_path, 2) as (local_site, vms, client):
        key = str(uuid6.uuid7())
        broken_connections: list[bool] = []

        async def send() -> None:
            try:
                await vms[0].order(client, key)
            except httpx.HTTPError:
                broken_connections.append(True)

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            with anyio.fail_after(10):
                while local_site.ledger.count(key) == 0:
                    await anyio.sleep(0.01)
            vms[0].process.kill()
        assert broken_connections == [True]
        reply = await vms[1].order(client, key)
        assert reply.headers["x-outcome"] == "unknown"
        assert local_site.ledger.count(key) == 1


async def test_vm_frozen_past_the_start_deadline_does_not_send(
    tmp_path: pathlib.Path,
) -> None:
    # A VM is frozen while its claim is being appended, and resumed after the start
    # deadline of three seconds. Its claim is granted, but it must not send the order
    # any more. The answer is "not-run", and a retry with the same key runs once.
    async with run_processes(tmp_path, 1) as (local_site, (vm,), client):
        key = str(uuid6.uuid7())
        local_site.log.delay = 0.6
        replies: list[httpx.Response] = []

        async def send() -> None:
            replies.append(await vm.order(client, key))

        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await anyio.sleep(0.3)
            vm.process.send_signal(signal.SIGSTOP)
            await anyio.sleep(4.0)
            assert local_site.ledger.count(key) == 0
            vm.process.send_signal(signal.SIGCONT)
        assert replies[0].headers["x-outcome"] == "not-run"
        assert local_site.ledger.count(key) == 0
        local_site.log.delay = 0.0
        await anyio.sleep(1.5)
        retry = await vm.order(client, key)
        assert retry.status_code == 200
        assert local_site.ledger.count(key) == 1
