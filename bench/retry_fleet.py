"""VMs, dispatchers and targets in virtual time, for the bound on retries.

Each VM runs the product's own requests, placement, dispatchers and members; only
sockets, clocks and targets are modelled. Datagrams take time and some are lost, VMs are
killed and start again, targets turn work away, fail, or cannot be reached. What callers
sent and what reached targets is audited as from outside.
"""

from __future__ import annotations

import collections
import collections.abc
import itertools
import math
import os
import random

import anyio
import anyio.abc
import trio.testing

from zinniastand_core import services
from zinniastand_core.deployment import configuration, targets
from zinniastand_core.forwarding import plan
from zinniastand_platform import wire_names
from zinniastand_proxy.edge import (
    calls,
    datagrams,
    http_exchange,
    local_dispatchers,
    members,
    ports,
    request_recorder,
    request_run,
    target_client,
)
from zinniastand_standins import retry_audit

from . import retry_loads, retry_vms

SERVICE = "desk"
SPREAD = 0.5
"""Standard deviation of the logarithm of times of work."""

FAIL_TIME = 0.002
"""Seconds in which a target turns a request away or fails it."""

CASES: dict[str, dict[str, object]] = {
    "nothing else": {},
    "a fifth killed at 9.5 s": {"kills": (retry_loads.Kill(9.5, 0.2),)},
    "a fifth killed, twice": {
        "kills": (retry_loads.Kill(9.5, 0.2), retry_loads.Kill(12.0, 0.2))
    },
    "loads swing by 30%": {"wave": 0.3},
    "a burst of 1.7 until 8 s": {"surge": retry_loads.TimedShare(0.0, 8.0, 0.7)},
}


class Fleet:
    """VMs, their callers and their targets.

    Parameters
    ----------
    load : retry_loads.Load
        What is played.
    seed : int
        Draws everything that is left to chance.
    """

    def __init__(self, load: retry_loads.Load, seed: int) -> None:
        self.load = load
        self.seed = seed
        self._rng = random.Random(seed)
        self._vms: dict[str, retry_vms.Vm | None] = {}
        self._busy: collections.Counter[str] = collections.Counter()
        self._sent: list[float] = []
        self._arrivals: list[tuple[float, str]] = []
        self._served = 0
        self._local_dispatchers: list[local_dispatchers.LocalDispatchers] = []
        self._refused: collections.Counter[str] = collections.Counter()
        self.registry = targets.Registry()
        self.registry.replace(self._make_entries(), 1, 0.0)
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.notes: request_recorder.RequestRecorder = retry_vms.Notes(self._refused)

    def play(self) -> retry_loads.Result:
        """Play the load and return what came of it."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        options = {"clock": clock}
        try:
            anyio.run(self._run, backend="trio", backend_options=options)
        finally:
            os.close(self.sink)
        retries = retry_audit.find_retries(self._arrivals)
        worst = retry_audit.find_worst(self._sent, retries, self.load.bound)
        asked = len(self._sent)
        return retry_loads.Result(
            worst, asked, self._served, len(retries), self._refused
        )

    def count_requests(self) -> int:
        """Return how many requests all dispatchers together have counted lately."""
        return sum(
            one.retries.count_requests(SERVICE) for one in self._local_dispatchers
        )

    def carry(self, message: datagrams.Message, member: ports.Member) -> None:
        """Deliver a datagram to whichever start of a VM runs by then."""

        def _deliver() -> None:
            vm = self._vms.get(member.vm)
            if vm is not None:
                vm.talk.receive(message)

        self._wire.send(_deliver)

    async def is_down(self, target: targets.Entry, broke_at: float) -> bool:
        """Return that no target crashes."""
        return False

    def list_connected_targets(self, work: services.Work, now: float) -> list[str]:
        """Return none: every attempt opens a connection."""
        return []

    async def attempt(
        self,
        target: targets.Entry,
        request: http_exchange.Request,
        work: services.Work,
        mark_sent: collections.abc.Callable[[], None],
    ) -> target_client.Attempt:
        """Play one attempt at a target."""
        await anyio.sleep(FAIL_TIME)
        now = anyio.current_time()
        share = self.load.unreachable.find_share(now - self._begin)
        if self.registry.list_entries().index(target) < share * self.load.target_count:
            return target_client.Attempt(
                plan.AttemptResult.UNREACHABLE, None, "refused"
            )
        mark_sent()
        headers = dict(request.headers)
        name = headers[wire_names.HEADERS.request_id].decode()
        self._arrivals.append((now, name))
        is_full = self._busy[target.target_id] >= 2 * target.slots
        if is_full or self._rng.random() < self.load.shed.find_share(now - self._begin):
            await anyio.sleep(FAIL_TIME)
            return target_client.Attempt(plan.AttemptResult.TURNED_AWAY, None, "503")
        if self._rng.random() < self.load.failing.find_share(now - self._begin):
            await anyio.sleep(FAIL_TIME)
            answer = http_exchange.Answer(500, [], b"", True, b"")
            return target_client.Attempt(plan.AttemptResult.ERROR, answer, "500")
        self._busy[target.target_id] += 1
        try:
            await anyio.sleep(self._draw_work(target))
        finally:
            self._busy[target.target_id] -= 1
        answer = http_exchange.Answer(200, [], b"", True, b"")
        return target_client.Attempt(plan.AttemptResult.ANSWERED, answer, "200")

    def _draw_work(self, target: targets.Entry) -> float:
        mean = self.load.work
        work = self._rng.lognormvariate(math.log(mean) - SPREAD * SPREAD / 2, SPREAD)
        crowd = max(1.0, self._busy[target.target_id] / target.slots)
        return work * crowd

    def _make_entries(self) -> list[targets.Entry]:
        return [
            targets.Entry(
                f"t{n}",
                SERVICE,
                "h",
                1,
                self._name_place(n),
                self.load.slots,
                targets.Phase.READY,
                1,
                0.0,
                n + 1,
            )
            for n in range(self.load.target_count)
        ]

    def _name_place(self, number: int) -> str:
        return f"dc-{number % self.load.data_centres}"

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            self._wire = retry_vms.Wire(self.load, random.Random(f"{self.seed} wire"))
            group.start_soon(self._wire.run)
            names = {f"vm-{n}": self._name_place(n) for n in range(self.load.vms)}
            for name, place in names.items():
                self._start(name, place, retry_vms.FIRST_INCARNATION)
            self._introduce()
            await anyio.sleep(members.SETTLE_TIME_S + 1.0)
            self._begin = self._wire.begin = anyio.current_time()
            for kill in self.load.kills:
                group.start_soon(self._kill, kill, names)
            for place in range(self.load.data_centres):
                group.start_soon(self._send, place)
            await anyio.sleep(self.load.seconds + 5.0)
            group.cancel_scope.cancel()

    def _start(self, name: str, place: str, born: int) -> retry_vms.Vm:
        vm = self._vms[name] = retry_vms.Vm(self, name, place, born)
        self._local_dispatchers.append(vm.local_dispatchers)
        self._group.start_soon(vm.run)
        return vm

    def _introduce(self) -> None:
        now = anyio.current_time()
        running = [vm for vm in self._vms.values() if vm is not None]
        for vm in running:
            for other in running:
                vm.members.add(other.member)
                vm.members.record_contact(other.member.vm, now)

    async def _kill(self, kill: retry_loads.Kill, places: dict[str, str]) -> None:
        await anyio.sleep(kill.at)
        count = round(kill.share * self.load.vms)
        first = self._find_dispatchers()
        others = [name for name in places if name not in first]
        self._rng.shuffle(others)
        killed = [*first, *others][:count]
        born = retry_vms.FIRST_INCARNATION + round(anyio.current_time() * 1000)
        for name in killed:
            vm = self._vms[name]
            self._vms[name] = None
            if vm is not None:
                vm.kill()
        await anyio.sleep(kill.down)
        for name in killed:
            vm = self._start(name, places[name], born)
            for other, place in places.items():
                running = self._vms[other]
                known = running.member if running else None
                fallback = ports.Member(
                    other, place, "h", 1, retry_vms.FIRST_INCARNATION
                )
                vm.members.add(known or fallback)
            vm.greet()

    def _find_dispatchers(self) -> list[str]:
        now = anyio.current_time()
        found: list[str] = []
        for vm in self._vms.values():
            if vm is None:
                continue
            for shard in vm.local_dispatchers.list_shards(SERVICE):
                found += vm.members.rank(shard.task, now, 1, shard.data_centre)
        return [name for name, _ in collections.Counter(found).most_common()][:1]

    async def _send(self, place: int) -> None:
        """Let the callers of a data centre send until the load is over."""
        rng = random.Random(f"{self.seed} callers {place}")
        load = self.load
        for number in itertools.count():
            now = anyio.current_time() - self._begin
            if now >= load.seconds:
                return
            phase = place / load.data_centres
            swing = 1 + load.wave * math.sin(2 * math.pi * (now / 11.0 + phase))
            rate = load.rate / load.data_centres * swing
            rate *= 1 + load.surge.find_share(now)
            await anyio.sleep(rng.expovariate(rate))
            near = [
                vm
                for vm in self._vms.values()
                if vm is not None and vm.member.data_centre == self._name_place(place)
            ]
            self._sent.append(anyio.current_time())
            if not near:
                continue
            work = services.Work.AT_MOST_ONCE
            if rng.random() < load.idempotent:
                work = services.Work.IDEMPOTENT
            name = f"{place}-{number}"
            self._group.start_soon(self._call, rng.choice(near), name, work)

    async def _call(self, vm: retry_vms.Vm, name: str, work: services.Work) -> None:
        now = anyio.current_time()
        headers = [(wire_names.HEADERS.request_id, name.encode())]
        request = http_exchange.Request(b"GET", b"/x", headers, b"", False)
        incoming = calls.Incoming(request, "h", now, calls.Caller())
        route = configuration.Route(
            name=work.value,
            host="h",
            path_prefix="/",
            work=work,
            time_limit=4.0,
            objective=1.0,
            max_attempts=3,
            priority=1,
            weighted_services=(configuration.WeightedService(SERVICE, 1.0),),
        )
        run = request_run.Run(vm.parts, incoming, route, SERVICE)
        reply = await vm.call(run)
        self._served += reply is not None and reply.status == 200


def main() -> None:
    """Print the busiest span of retries by size of the fleet and what happens."""
    for vms in (30, 100, 300):
        for name, changes in CASES.items():
            found = Fleet(retry_loads.make_load(vms, **changes), 1).play()
            worst = found.worst
            print(
                f"{vms:4} {name:26} {worst.retries:5} of {worst.allowed:6.0f}"
                f" served {found.served_share:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
