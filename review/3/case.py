"""Requests that a stopping machine accepts late are broken off.

Two of the three machines of a zone get SIGTERM together. Fewer than half of the zone's
machines are in rotation then, so the platform goes on using all of them. New requests
arrive until the stop ends, of the kinds and with the work that the site file states;
nothing else disturbs machines, workers, store or links.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import math
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

HOST_NAME = "ficu95.example"


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request, with the figures of the site file."""

    name: str
    kind: str
    method: str
    service: str
    workers: int
    per_s: float
    aim_ms: int
    deadline_ms: int
    timeout_ms: int
    mean_s: float
    spread: float
    tail_factor: float
    max_s: float

    @property
    def prefix(self) -> str:
        """Path prefix of its route."""
        return f"/{self.name}/"

    def draw_work(self, rng: random.Random) -> float:
        """Return the seconds of work of one request."""
        median = self.mean_s * math.exp(-self.spread * self.spread / 2)
        seconds = median * math.exp(rng.gauss(0.0, self.spread))
        if rng.random() < TAIL_SHARE:
            seconds *= self.tail_factor
        return min(self.max_s, seconds)


TAIL_SHARE = 0.01
KINDS = (
    Kind(
        *("proof-view", "safe", "GET", "proofdesk", 7, 20.3),
        *(1000, 2000, 2000, 0.32, 0.8, 3, 1.9),
    ),
    Kind(
        *("print-order", "unsafe", "POST", "orderpress", 11, 44.9),
        *(1000, 2500, 2500, 0.24, 0.8, 5, 1.8),
    ),
    Kind(
        *("stock-check", "safe", "GET", "stockroom", 10, 15.2),
        *(1500, 4000, 4000, 0.59, 0.5, 3, 3.8),
    ),
    Kind(
        *("run-status", "safe", "GET", "runtracker", 8, 7.87),
        *(2500, 6000, 4000, 0.97, 0.8, 5, 7.3),
    ),
)
SLOTS = 3
STOPS = ((0, 1), (1, 2), (2, 0), (0, 1), (1, 2), (2, 0), (0, 1))
CALM_S = 3.2
EXIT_TIMEOUT_S = 8.0
RESTART_DELAY_S = 0.3
CHECK_INTERVAL_S = 1.0

# Bounds of the rule.
GRACE_S = standins.GRACE_S
EXCUSED_IF_SENT_BY_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
PLANNED_UNTIL_S = GRACE_S + 1.0


class Workload:
    """Workers that run each request for a time drawn from the site file's figures."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    async def behave(
        self,
        worker: standins.Worker,
        head: standins.Head,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request to its end, also if its connection closes meanwhile."""
        kind = next(each for each in KINDS if each.service == worker.service)
        run = worker.begin(head, body)
        await asyncio.sleep(kind.draw_work(self._rng))
        run.ended_at = worker.record.now()
        run.ended = "done"
        worker.record.write("run ends", worker=worker.worker_id, id=run.request_id)
        writer.write(worker.make_answer(head, b"answer " + run.request_id.encode()))
        return True


class Platform:
    """Chooses a machine for each new connection, by their readiness."""

    def __init__(self, vms: list[standins.Vm], rng: random.Random) -> None:
        self._vms = vms
        self._rng = rng
        self._misses = dict.fromkeys(range(len(vms)), 0)

    def choose(self) -> standins.Vm:
        """Return the machine for the next connection."""
        in_rotation = [
            vm for number, vm in enumerate(self._vms) if self._misses[number] < 2
        ]
        if 2 * len(in_rotation) < len(self._vms):
            in_rotation = self._vms
        return self._rng.choice(in_rotation)

    async def watch(self, number: int) -> None:
        """Ask a machine once per second whether it is ready, until cancelled."""
        while True:
            is_ready = await self._vms[number].is_ready()
            self._misses[number] = 0 if is_ready else self._misses[number] + 1
            await asyncio.sleep(CHECK_INTERVAL_S)


class Play:
    """One play of the case."""

    def __init__(self, record: standins.Record) -> None:
        self.record = record
        self.rng = random.Random(3)
        self.workload = Workload(5)
        self.stops: list[tuple[str, float]] = []
        self.answers: list[tuple[str, Kind, standins.Answer]] = []
        self.is_over = False

    async def send_requests(self, platform: Platform) -> None:
        """Send requests, each on a connection of its own, until the play is over."""
        async with asyncio.TaskGroup() as group:
            while not self.is_over:
                [kind] = self.rng.choices(KINDS, [each.per_s for each in KINDS])
                group.create_task(self._send_request(platform.choose(), kind))
                await asyncio.sleep(
                    self.rng.expovariate(sum(each.per_s for each in KINDS))
                )

    async def _send_request(self, vm: standins.Vm, kind: Kind) -> None:
        client = standins.Client(vm.front, self.record, vm.name)
        answer = await client.send(
            kind.method, f"{kind.prefix}2f", kind.deadline_ms, host=HOST_NAME
        )
        client.close()
        self.answers.append((vm.name, kind, answer))

    async def stop_and_start(self, vms: list[standins.Vm]) -> None:
        """Send SIGTERM to machines together, and start each again once it has ended."""
        await asyncio.gather(*(self._stop_and_start(vm) for vm in vms))

    async def _stop_and_start(self, vm: standins.Vm) -> None:
        self.record.write("SIGTERM", vm=vm.name)
        self.stops.append((vm.name, self.record.now()))
        vm.send_signal(signal.SIGTERM)
        if vm.process is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(vm.process.wait(), GRACE_S)
        await vm.end()
        after = self.record.now() - self.stops[-1][1]
        self.record.write("ended", vm=vm.name, after_s=round(after, 2))
        await asyncio.sleep(RESTART_DELAY_S)
        await vm.start()
        await vm.wait_until_ready()

    def judge(self, workers: list[standins.Worker]) -> bool:
        """Return whether a stop broke off requests that the rule does not excuse."""
        runs = {run.request_id: run for worker in workers for run in worker.runs}
        broken = 0
        for vm_name, kind, answer in self.answers:
            run = runs.get(answer.request_id)
            stops = [at for name, at in self.stops if name == vm_name]
            for stopped_at in stops:
                if run is not None and _is_lost(kind, answer, run, stopped_at):
                    broken += 1
                    self.record.write(
                        "LOST",
                        id=answer.request_id,
                        kind=kind.name,
                        sent_after_sigterm_s=round(answer.sent_at - stopped_at, 2),
                        ended_after_sigterm_s=round(answer.ended_at - stopped_at, 2),
                        status=answer.status,
                        answer=answer.body,
                        worker_at_work_s=round(run.ended_at - run.began_at, 2),
                    )
        counts = collections.Counter(answer.status for *_, answer in self.answers)
        summary = (
            f"{len(self.answers)} requests, answers {dict(sorted(counts.items()))}: "
            f"{broken} broken off by a stop while a worker was at work"
        )
        self.record.write("summary", text=summary)
        print(summary)
        return broken > 0


def _is_lost(
    kind: Kind, answer: standins.Answer, run: standins.Run, stopped_at: float
) -> bool:
    """Return whether a stop broke a request off that the rule does not excuse."""
    sent, ended = answer.sent_at - stopped_at, answer.ended_at - stopped_at
    is_around_stop = sent < PLANNED_UNTIL_S and 0 <= ended <= PLANNED_UNTIL_S
    is_own_answer = answer.status == 0 or "x-server-seal" not in answer.headers
    was_at_work = run.began_at < answer.ended_at < run.ended_at
    limit_s = min(kind.deadline_ms, kind.timeout_ms) / 1000
    is_in_time = answer.ended_at - answer.sent_at < limit_s - 0.1
    # In doubt about the moment of the signal, a request counts as excused.
    is_excused = sent <= EXCUSED_IF_SENT_BY_S and ended >= LAST_SIXTH_S - 0.1
    return (
        is_around_stop
        and is_own_answer
        and was_at_work
        and is_in_time
        and not is_excused
    )


async def play(
    record: standins.Record, folder: pathlib.Path, has_trouble: bool
) -> bool:
    """Return whether requests were lost around planned stops."""
    current = Play(record)
    store = standins.Store()
    await store.start()
    workers: list[standins.Worker] = []
    for kind in KINDS:
        for _ in range(kind.workers):
            number, behave = len(workers), current.workload.behave
            worker = standins.Worker(number, kind.service, record, behave, SLOTS)
            await worker.start(store)
            workers.append(worker)
    routes: list[list[object]] = [
        [
            *(kind.name, HOST_NAME, kind.prefix, kind.kind, kind.timeout_ms),
            *(kind.aim_ms, 1, 2, kind.service),
        ]
        for kind in KINDS
    ]
    services = [kind.service for kind in KINDS]
    configuration = standins.make_configuration(routes, services)
    await store.put("keyed.op", "config", configuration)
    vms = [standins.Vm(f"front-a-{n}", store.port, folder) for n in range(3)]
    platform = Platform(vms, current.rng)
    tasks = [asyncio.create_task(worker.beat(store)) for worker in workers]
    try:
        for vm in vms:
            await vm.start()
        for vm in vms:
            await vm.wait_until_ready()
        tasks += [asyncio.create_task(platform.watch(n)) for n in range(len(vms))]
        traffic = asyncio.create_task(current.send_requests(platform))
        for numbers in STOPS:
            await asyncio.sleep(CALM_S)
            if has_trouble:
                await current.stop_and_start([vms[number] for number in numbers])
            else:
                await asyncio.sleep(GRACE_S)
        await asyncio.sleep(CALM_S)
        current.is_over = True
        await traffic
    finally:
        for task in tasks:
            task.cancel()
        for vm in vms:
            await vm.end()
    return current.judge(workers)


if __name__ == "__main__":
    sys.exit(standins.run_case(FOLDER, play, limit_s=112.0))
