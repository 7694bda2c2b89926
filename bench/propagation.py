"""Measures the time from the append of a bundle until all of 36 daemons accept it.

The daemons run as separate processes; the log stand-in runs in this process. All but
one of the daemons read the log through one of two apps that can be interrupted. The
time of acceptance is that of the event that a daemon records; all processes use the
clock of this machine.

Run as ``python -m bench.propagation``.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import sys
import tempfile
import time
import typing

import anyio
import anyio.abc
import httpx

from zinniastand_proxy import caller_app, listeners
from zinniastand_standins import asgi, log_app, loopback, site

from . import tables

VM_COUNT = 36
ROUNDS = 9
ROUND_PAUSE_S = 6.0
START_TIMEOUT_S = 120.0
PLAN = site.plan_lookups(targets=2, slots=3, work_time=0.01)


class InterruptibleLogApp:
    """Forwards requests to the log until it is interrupted."""

    def __init__(self, log_server: log_app.LogApp) -> None:
        self._log_server = log_server
        self.is_interrupted = False

    async def __call__(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Forward a request to the log, or answer 503 while interrupted."""
        if self.is_interrupted and scope["type"] == "http":
            await asgi.answer(send, 503, b"", [(b"x-not-appended", b"1")])
            return
        await self._log_server(scope, receive, send)


class DaemonProcesses:
    """Starts daemons as processes and reads their admin pages.

    Parameters
    ----------
    local_site : site.Site
        Stand-ins of the platform.
    folder : pathlib.Path
        Folder for the settings files.
    """

    def __init__(self, local_site: site.Site, folder: pathlib.Path) -> None:
        self._local_site = local_site
        self._folder = folder
        self._client = httpx.AsyncClient(timeout=10)
        self._running: list[anyio.abc.Process] = []
        self._admin_ports: list[int] = []

    async def start(self, number: int, log_url: str) -> None:
        """Start a daemon that reads the log at a URL."""
        vm = f"vm-{number}"
        settings = self._local_site.make_settings(vm, f"dc-{number % 3}")
        settings["log"]["url"] = log_url
        settings["callers"]["port"] = loopback.find_free_port()
        settings["admin"]["port"] = loopback.find_free_port()
        settings["log_level"] = "error"
        self._admin_ports.append(settings["admin"]["port"])
        path = self._folder / f"{vm}.json"
        path.write_text(json.dumps(settings))
        module = "zinniastand_proxy.cli"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        process = await anyio.open_process(
            command, stdout=None, stderr=None, env=dict(os.environ)
        )
        self._running.append(process)
        self._local_site.list_vm(vm, f"dc-{number % 3}", settings["peers"]["url"])

    async def read_pages(self, page: str) -> list[dict[str, typing.Any]]:
        """Return an admin page of every daemon."""
        found = []
        for port in self._admin_ports:
            reply = await self._client.get(f"http://{site.HOST}:{port}/{page}")
            found.append(reply.json())
        return found

    async def wait_version(self, version: int) -> None:
        """Wait until every daemon has a version of the bundle or a later one."""
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    pages = await self.read_pages("bundle")
                    if all(page["version"] >= version for page in pages):
                        return
                await anyio.sleep(0.5)

    async def find_last_acceptance(self, proposal_id: str) -> float:
        """Return when the last daemon accepted a proposal, in unix seconds."""
        times = []
        for page in await self.read_pages("events"):
            times += [
                event["time"]
                for event in page["events"]
                if event["kind"] == "bundle-accepted"
                and event["subject"] == proposal_id
            ]
        return max(times)

    async def stop(self) -> None:
        """Kill all daemons."""
        for process in self._running:
            process.kill()
        for process in self._running:
            await process.wait()
        await self._client.aclose()


async def _measure(group: anyio.abc.TaskGroup, folder: pathlib.Path) -> str:
    local_site = site.Site(group)
    await local_site.start_platform()
    await local_site.start_targets([PLAN])
    local_site.publish()
    log_server = log_app.LogApp(local_site.log)
    log_apps = [InterruptibleLogApp(log_server), InterruptibleLogApp(log_server)]
    urls = [f"http://{site.HOST}:{await local_site.serve(app)}" for app in log_apps]
    uninterrupted_url = f"http://{site.HOST}:{await local_site.serve(log_server)}"
    processes = DaemonProcesses(local_site, folder)
    try:
        for number in range(VM_COUNT):
            # VM 0 always reaches the log. The other even VMs are interrupted first.
            url = uninterrupted_url if number == 0 else urls[number % 2]
            await processes.start(number, url)
        await processes.wait_version(1)
        await anyio.sleep(10)
        return await _run_rounds(local_site, processes, log_apps)
    finally:
        await processes.stop()


async def _run_rounds(
    local_site: site.Site,
    processes: DaemonProcesses,
    log_apps: list[InterruptibleLogApp],
) -> str:
    rows = []
    for name, interrupted_count in (
        ("every VM reads the log", 0),
        ("half are cut off", 1),
        ("all but one are cut off", 2),
    ):
        for app in log_apps[:interrupted_count]:
            app.is_interrupted = True
        await anyio.sleep(ROUND_PAUSE_S)
        durations_s = sorted(
            [await _publish(local_site, processes) for _ in range(ROUNDS)]
        )
        cells = [
            f"{1000 * durations_s[len(durations_s) // 2]:.0f} ms",
            f"{1000 * durations_s[-1]:.0f} ms",
        ]
        rows.append([name, *cells])
    columns = ("log", f"last of {VM_COUNT} VMs, median of {ROUNDS}", "worst")
    return tables.format_table(columns, rows)


async def _publish(local_site: site.Site, processes: DaemonProcesses) -> float:
    service = local_site.document["services"]["desk"]
    service["floor_slots"] = 3 - service["floor_slots"]
    started_at = time.time()
    proposal_id = local_site.publish()
    await processes.wait_version(local_site.read_chain().version)
    duration_s = await processes.find_last_acceptance(proposal_id) - started_at
    await anyio.sleep(1)
    return duration_s


def format_report() -> str:
    """Run the measurement; return the table as Markdown."""
    reports: list[str] = []

    async def _run() -> None:
        listeners.log_loop_errors()
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:
                reports.append(await _measure(group, pathlib.Path(folder)))
                group.cancel_scope.cancel()

    anyio.run(_run, backend_options={"use_uvloop": True})
    return reports[0]


if __name__ == "__main__":
    print(format_report())
