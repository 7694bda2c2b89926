"""Large requests within the limits get a machine killed for its memory.

Some clients each send one request of 20 MiB at the same moment; the configuration
allows 64 MiB. Others go on sending small requests on connections that they keep. As the
platform does, the script kills a process whose memory exceeds `memory_mb`, and starts
it again. Without the disruption the same clients send small requests only.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HOST_NAME = "ficu95.example"
# Routes of the kinds `ext-filing` and `salary-amend` of the site file.
ROUTES: list[list[object]] = [
    ["r-1", HOST_NAME, "/filing/", "unsafe", 3000, 1000, 1, 2, "huvo11a"],
    ["r-2", HOST_NAME, "/amend/", "unsafe", 4000, 600, 0, 2, "wuno96b"],
]
WORKERS = {"huvo11a": 6, "wuno96b": 4}
WORK_S = {"huvo11a": 0.3, "wuno96b": 0.16}
SLOTS = 4
SMALL_CLIENTS = 12
SMALL_BYTES = 1200
LARGE_CLIENTS = 7
LARGE_BYTES = 20 << 20
MEMORY_BYTES = 300 << 20
CHECK_INTERVAL_S = 0.005
ROUNDS = 3
CALM_S = 4.0
RESTART_DELAY_S = 0.5
MAX_LOST = 3


async def behave(
    worker: standins.Worker,
    head: standins.Head,
    body: bytes,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a request."""
    run = worker.begin(head, b"")
    worker.record.write("body", id=run.request_id, bytes=len(body))
    await asyncio.sleep(WORK_S[worker.service])
    run.ended_at = worker.record.now()
    run.ended = "done"
    writer.write(worker.make_answer(head, b"filed " + run.request_id.encode()))
    return True


class Platform:
    """Kills a machine's process that takes too much memory, and starts it again."""

    def __init__(self, vm: standins.Vm, record: standins.Record) -> None:
        self._vm = vm
        self._record = record
        self.kills: list[float] = []
        self.peak = 0

    async def watch(self) -> None:
        """Check the memory of the process, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            size = self._read_memory()
            self.peak = max(self.peak, size)
            if size > MEMORY_BYTES:
                self.kills.append(self._record.now())
                self._record.write("killed for its memory", mb=size >> 20)
                await self._vm.end()
                await asyncio.sleep(RESTART_DELAY_S)
                await self._vm.start()
                await self._vm.wait_until_ready()
                self._record.write("ready again")

    def _read_memory(self) -> int:
        """Return the peak of the resident memory of the process in bytes."""
        process = self._vm.process
        if process is None or process.returncode is not None:
            return 0
        with contextlib.suppress(OSError):
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) << 10
        return 0


class Callers:
    """The clients, and the answers that they got."""

    def __init__(self, vm: standins.Vm, record: standins.Record) -> None:
        self._vm = vm
        self._record = record
        self.answers: list[standins.Answer] = []
        self.is_over = False

    async def send_small_requests(self, number: int) -> None:
        """Send one request after the other on a connection that is kept."""
        client = standins.Client(self._vm.front, self._record, f"client-{number}")
        while not self.is_over:
            answer = await client.send(
                "POST", "/filing/2f", 6000, b"f" * SMALL_BYTES, HOST_NAME
            )
            self.answers.append(answer)
            if answer.status != 200:
                await asyncio.sleep(0.1)
        client.close()

    async def send_together(self, size: int) -> None:
        """Send one request of each of some clients at the same moment."""
        body = b"a" * size
        async with asyncio.TaskGroup() as group:
            for number in range(LARGE_CLIENTS):
                group.create_task(self._send_one(f"large-{number}", body))

    async def _send_one(self, name: str, body: bytes) -> None:
        client = standins.Client(self._vm.front, self._record, name)
        await client.send("PUT", "/amend/2f", 4000, body, HOST_NAME)
        client.close()


async def play(
    record: standins.Record, folder: pathlib.Path, has_trouble: bool
) -> bool:
    """Return whether requests on kept connections were lost."""
    store = standins.Store()
    await store.start()
    workers: list[standins.Worker] = []
    for service, count in WORKERS.items():
        for _ in range(count):
            worker = standins.Worker(len(workers), service, record, behave, SLOTS)
            await worker.start(store)
            workers.append(worker)
    configuration = standins.make_configuration(ROUTES, list(WORKERS))
    await store.put("keyed.op", "config", configuration)
    vm = standins.Vm("front-a-1", store.port, folder)
    platform = Platform(vm, record)
    callers = Callers(vm, record)
    tasks = [asyncio.create_task(worker.beat(store)) for worker in workers]
    try:
        await vm.start()
        await vm.wait_until_ready()
        tasks.append(asyncio.create_task(platform.watch()))
        small = [
            asyncio.create_task(callers.send_small_requests(number))
            for number in range(SMALL_CLIENTS)
        ]
        for _ in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            await callers.send_together(LARGE_BYTES if has_trouble else SMALL_BYTES)
        await asyncio.sleep(CALM_S)
        callers.is_over = True
        await asyncio.gather(*small)
    finally:
        for task in tasks:
            task.cancel()
        await vm.end()
    return judge(record, workers, callers, platform)


def judge(
    record: standins.Record,
    workers: list[standins.Worker],
    callers: Callers,
    platform: Platform,
) -> bool:
    """Return whether more small requests were lost than the rule LOST allows."""
    runs = {run.request_id: run for worker in workers for run in worker.runs}
    lost = 0
    for answer in callers.answers:
        run = runs.get(answer.request_id)
        if answer.status == 0 and run is not None and run.began_at < answer.ended_at:
            lost += 1
            record.write("LOST", id=answer.request_id, sent=round(answer.sent_at, 3))
    summary = (
        f"{len(callers.answers)} small requests, memory at most"
        f" {platform.peak >> 20} MB of {MEMORY_BYTES >> 20} MB, killed"
        f" {len(platform.kills)} times: {lost} passed on to a worker and not answered"
    )
    record.write("summary", text=summary)
    print(summary)
    return lost > MAX_LOST


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play))
