"""Clients read large answers slowly; does a process exceed its memory?"""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import standins_2 as standins

MEMORY_MB = 300
ANSWER_BYTES = 4_000_000
CLIENTS_PER_VM = 100
READ_BYTES = 4096
SLOW_BYTES_PER_S = 20_000
DEADLINE_MS = 6000
IDLE_TIMEOUT_MS = 2000
LENGTH_S = 50.0
RESTART_DELAY_S = 0.3
CHECK_INTERVAL_S = 0.02
MAX_LOST = 3
"""Requests of kept connections that may be lost at workers."""

FILERS_PER_VM = 8


class LargeWorker(standins.Worker):
    """Answers downloads with a large body, and other requests with a small one."""

    _body = b"x" * ANSWER_BYTES

    async def handle(
        self, request: standins.Message, writer: asyncio.StreamWriter, number: int
    ) -> None:
        """Run one request."""
        if not request.first.startswith("GET "):
            await super().handle(request, writer, number)
            return
        identity = request.headers.get("x-request-id", "")
        await asyncio.sleep(self.work_s)
        headers = {"X-Request-Id": identity, "X-Server-Seal": f"{self.name}.{identity}"}
        writer.write(standins.encode_answer(200, headers, self._body))
        await writer.drain()


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def watch_memory(
    site: standins.Site, vm: standins.Vm, ends: collections.Counter, peaks: dict
) -> None:
    """Kill and restart a process that exceeds its memory, as the platform does."""
    while vm.process is not None:
        await asyncio.sleep(CHECK_INTERVAL_S)
        memory = read_memory_mb(vm.process.pid)
        peaks[vm.name] = max(peaks.get(vm.name, 0.0), memory)
        if memory <= MEMORY_MB:
            continue
        ends[vm.name] += 1
        site.record.add(f"{vm.name} has {memory:.0f} MB and is killed", is_shown=True)
        vm.send_signal(signal.SIGKILL)
        await vm.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await vm.start()


class Downloads:
    """Clients that download one large answer after another."""

    def __init__(self, record: standins.Record) -> None:
        self.results: collections.Counter = collections.Counter()
        self._record = record
        self._numbers = itertools.count()

    async def run(self, vm: standins.Vm) -> None:
        """Send requests until cancelled, each on a new connection."""
        while True:
            identity = f"r{next(self._numbers)}"
            result = "cut, no answer"
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    result = await self._download(vm, identity)
            except TimeoutError:
                result = "deadline"
            except OSError:
                result = "no connection"
                await asyncio.sleep(0.3)
            self.results[result] += 1
            self._record.add(f"client of {vm.name}: {identity} {result}")

    async def _download(self, vm: standins.Vm, identity: str) -> str:
        """Return how a download ended."""
        raw = socket.socket()
        raw.setblocking(False)
        if standins.has_trouble():
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(raw, (standins.HOST, vm.callers_port))
            request = standins.encode_request("GET", "/d/a", identity, DEADLINE_MS)
            await loop.sock_sendall(raw, request)
            data = await loop.sock_recv(raw, READ_BYTES)
            status = data[9:12].decode()
            received = len(data)
            while data and status == "200" and received < ANSWER_BYTES:
                if standins.has_trouble():
                    await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
                    data = await loop.sock_recv(raw, READ_BYTES)
                else:
                    data = await loop.sock_recv(raw, 1 << 18)
                received += len(data)
            if not data:
                return f"{status or 'no answer'}, cut"
            if status != "200":
                await asyncio.sleep(0.5)
            return status
        finally:
            raw.close()


async def play(site: standins.Site) -> int:
    """Download for some time, and count the processes that exceed their memory."""
    record = site.record
    for number in range(6):
        worker = LargeWorker(f"w-{number}", "desk", site.store, record, 0.2)
        worker.slots = 20
        site.workers.append(worker)
        await worker.start()
    routes = [
        standins.make_route("report", "/d/", "download", "desk", DEADLINE_MS),
        standins.make_route("filing", "/filing/", "unsafe", "desk", DEADLINE_MS),
    ]
    configuration = standins.encode_configuration(
        12, routes, ["desk"], idle_timeout_ms=IDLE_TIMEOUT_MS
    )
    site.store.put("keyed.op", ("config", configuration))
    if not await site.start_vms(2):
        return standins.EXIT_NOT_RUN
    ends: collections.Counter = collections.Counter()
    peaks: dict[str, float] = {}
    downloads = Downloads(record)
    load = standins.Load(site)
    for vm in site.vms:
        load.add_clients(vm, FILERS_PER_VM, "/filing/a", 0.05, DEADLINE_MS)
    tasks = [
        asyncio.create_task(watch_memory(site, vm, ends, peaks)) for vm in site.vms
    ]
    tasks += [
        asyncio.create_task(downloads.run(vm))
        for vm in site.vms
        for _ in range(CLIENTS_PER_VM)
    ]
    await asyncio.sleep(LENGTH_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await load.end()
    runs = {identity for worker in site.workers for _, identity in worker.runs}
    lost = [
        identity
        for identity, status in load.answers.items()
        if not status and identity in runs
    ]
    shown = {name: round(peak) for name, peak in peaks.items()}
    record.add(
        f"{len(load.sent_at)} filings, LOST at workers: {len(lost)} {lost[:4]}; "
        f"{sum(downloads.results.values())} downloads {dict(downloads.results)}; "
        f"peak MB {shown}; ends for memory {dict(ends)}",
        is_shown=True,
    )
    return standins.EXIT_BROKEN if len(lost) > MAX_LOST else standins.EXIT_HELD


standins.run_case(__file__, play)
