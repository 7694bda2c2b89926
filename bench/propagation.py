"""Time from the append of a bundle until it is in force on the last of 36 daemons.

The daemons are processes of their own; the log stand-in runs here. Half or nearly all
of them read through a way to the log that can be cut. The times are those of the events
that the daemons record, on one machine's clock.
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

VMS = 36
ROUNDS = 9
ROUND_PAUSE = 6.0
START_LIMIT = 120.0
PLAN = site.plan_lookups(targets=2, slots=3, work_time=0.01)


class CutApp:
    """A way to the log that can be cut."""

    def __init__(self, inner: log_app.LogApp) -> None:
        self._inner = inner
        self.is_cut = False

    async def __call__(
        self,
        scope: caller_app.Scope,
        receive: caller_app.Receive,
        send: caller_app.Send,
    ) -> None:
        """Pass a request on, or refuse it."""
        if self.is_cut and scope["type"] == "http":
            await asgi.answer(send, 503, b"", [(b"x-not-appended", b"1")])
            return
        await self._inner(scope, receive, send)


class Processes:
    """The daemons.

    Parameters
    ----------
    place : site.Site
        The platform.
    folder : pathlib.Path
        Where settings go.
    """

    def __init__(self, place: site.Site, folder: pathlib.Path) -> None:
        self._place = place
        self._folder = folder
        self._client = httpx.AsyncClient(timeout=10)
        self._running: list[anyio.abc.Process] = []
        self._admins: list[int] = []

    async def start(self, number: int, log_url: str) -> None:
        """Start one daemon."""
        vm = f"vm-{number}"
        settings = self._place.make_settings(vm, f"dc-{number % 3}")
        settings["log"]["url"] = log_url
        settings["callers"]["port"] = loopback.find_free_port()
        settings["admin"]["port"] = loopback.find_free_port()
        settings["log_level"] = "error"
        self._admins.append(settings["admin"]["port"])
        path = self._folder / f"{vm}.json"
        path.write_text(json.dumps(settings))
        module = "zinniastand_proxy.cli"
        command = [sys.executable, "-m", module, "--settings", str(path)]
        process = await anyio.open_process(
            command, stdout=None, stderr=None, env=dict(os.environ)
        )
        self._running.append(process)
        self._place.list_vm(vm, f"dc-{number % 3}", settings["peers"]["url"])

    async def read(self, page: str) -> list[dict[str, typing.Any]]:
        """Return a page of every daemon."""
        found = []
        for port in self._admins:
            reply = await self._client.get(f"http://{site.HOST}:{port}/{page}")
            found.append(reply.json())
        return found

    async def wait_version(self, version: int) -> None:
        """Wait until every daemon has a version."""
        with anyio.fail_after(START_LIMIT):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    pages = await self.read("bundle")
                    if all(page["version"] >= version for page in pages):
                        return
                await anyio.sleep(0.5)

    async def find_last(self, proposal_id: str) -> float:
        """Return when the last daemon accepted a proposal, in unix seconds."""
        times = []
        for page in await self.read("events"):
            times += [
                event["time"]
                for event in page["events"]
                if event["kind"] == "bundle-accepted"
                and event["subject"] == proposal_id
            ]
        return max(times)

    async def stop(self) -> None:
        """End all daemons."""
        for process in self._running:
            process.kill()
        for process in self._running:
            await process.wait()
        await self._client.aclose()


async def _measure(group: anyio.abc.TaskGroup, folder: pathlib.Path) -> str:
    place = site.Site(group)
    await place.start_platform()
    await place.start_targets([PLAN])
    place.publish()
    inner = log_app.LogApp(place.log)
    ways = [CutApp(inner), CutApp(inner)]
    urls = [f"http://{site.HOST}:{await place.serve(way)}" for way in ways]
    whole = f"http://{site.HOST}:{await place.serve(inner)}"
    processes = Processes(place, folder)
    try:
        for number in range(VMS):
            # VM 0 is never cut off; the even ones go first.
            url = whole if number == 0 else urls[number % 2]
            await processes.start(number, url)
        await processes.wait_version(1)
        await anyio.sleep(10)
        return await _run_rounds(place, processes, ways)
    finally:
        await processes.stop()


async def _run_rounds(
    place: site.Site, processes: Processes, ways: list[CutApp]
) -> str:
    rows = []
    for name, cut in (("every VM reads the log", 0), ("half are cut off", 1),
                      ("all but one are cut off", 2)):  # fmt: skip
        for way in ways[:cut]:
            way.is_cut = True
        await anyio.sleep(ROUND_PAUSE)
        took = sorted([await _publish(place, processes) for _ in range(ROUNDS)])
        cells = [f"{1000 * took[len(took) // 2]:.0f} ms", f"{1000 * took[-1]:.0f} ms"]
        rows.append([name, *cells])
    head = ("log", f"last of {VMS} VMs, median of {ROUNDS}", "worst")
    return tables.format_table(head, rows)


async def _publish(place: site.Site, processes: Processes) -> float:
    service = place.document["services"]["desk"]
    service["floor_slots"] = 3 - service["floor_slots"]
    started = time.time()
    proposal_id = place.publish()
    await processes.wait_version(place.read_chain().version)
    took = await processes.find_last(proposal_id) - started
    await anyio.sleep(1)
    return took


def format_report() -> str:
    """Return the table."""
    found: list[str] = []

    async def _run() -> None:
        listeners.log_loop_errors()
        with tempfile.TemporaryDirectory() as folder:
            async with anyio.create_task_group() as group:
                found.append(await _measure(group, pathlib.Path(folder)))
                group.cancel_scope.cancel()

    anyio.run(_run, backend_options={"use_uvloop": True})
    return found[0]


if __name__ == "__main__":
    print(format_report())
