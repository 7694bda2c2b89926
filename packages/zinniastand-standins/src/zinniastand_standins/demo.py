"""The demo: two small sites through a series of faults, judged by the targets' ledger.

Nothing in the verdict comes from the proxy's own counters.
"""

from __future__ import annotations

import dataclasses
import random
import time

import anyio
import anyio.abc

from zinniastand_core import timeline
from zinniastand_proxy import listeners

from . import balancer, callers, site, target, users

REQUESTS_PER_S = 14.0
LOAD_DURATION_S = 36.0
VM_COUNT = 3
DETECTED_SHARE = 0.2
WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Detection:
    """How long a failing target kept receiving work."""

    fault: str
    """The fault."""

    seconds: float | None
    """Seconds until its work had faded to a fifth; None if it never did."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One kind of one user in the table."""

    user: str
    """The user."""

    kind: str
    """The kind."""

    sent: int
    """Pieces of work."""

    answered: int
    """Of these, answered whole and in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class SiteReport:
    """What became of one user's site."""

    rows: tuple[Row, ...]
    """By kind."""

    doubled: int
    """At-most-once work that ran twice."""

    lost: int
    """Work reported as done that never ran."""

    false_not_run: int
    """Work that ran though every try was told "not run"."""

    not_whole: int
    """Successes with a cut or crossed answer."""

    told_unknown: int
    """Callers told "unknown"."""

    broken_connections: int
    """Requests cut off without any answer."""

    detections: tuple[Detection, ...]
    """Detection times."""

    false_ejections: int
    """Ejections of targets that had no fault."""

    added: tuple[float, ...]
    """Latency added to each answered request, in seconds, sorted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What became of the demo."""

    sites: dict[str, SiteReport]
    """By user."""

    @property
    def broken_promises(self) -> list[str]:
        """What must always hold and did not."""
        found: list[str] = []
        for name, report in self.sites.items():
            for label in ("doubled", "lost", "false_not_run", "not_whole"):
                count = getattr(report, label)
                if count:
                    found.append(f"{name}: {label} {count}")
            if report.broken_connections:
                found.append(f"{name}: cut off {report.broken_connections}")
        return found

    def format_text(self) -> str:
        """Return the table."""
        lines = [f"{'':11}{'kind':22}{'sent':>6}{'answered in time':>18}"]
        for name, report in self.sites.items():
            for row in report.rows:
                share = f"{100 * row.answered / max(1, row.sent):.1f}%"
                lines.append(
                    f"{name:11}{row.kind:22}{row.sent:6}{row.answered:9}{share:>9}"
                )
        lines.append("")
        head = "".join(f"{name:>12}" for name in self.sites)
        lines.append(f"{'':38}{head}")
        for label, values in self._list_counts():
            cells = "".join(f"{value:>12}" for value in values)
            lines.append(f"{label:38}{cells}")
        return "\n".join(lines)

    def _list_counts(self) -> list[tuple[str, list[str]]]:
        reports = list(self.sites.values())
        rows: list[tuple[str, list[str]]] = [
            ("at-most-once work doubled", [str(r.doubled) for r in reports]),
            ("told done, never ran (lost)", [str(r.lost) for r in reports]),
            ("told not-run, but ran", [str(r.false_not_run) for r in reports]),
            ("cut or crossed answers", [str(r.not_whole) for r in reports]),
            ("cut off without an answer", [str(r.broken_connections) for r in reports]),
            ("told unknown", [str(r.told_unknown) for r in reports]),
            ("healthy targets ejected", [str(r.false_ejections) for r in reports]),
            ("latency added, p50", [_format_ms(r.added, 0.5) for r in reports]),
            ("latency added, p99", [_format_ms(r.added, 0.99) for r in reports]),
        ]
        for index, detection in enumerate(reports[0].detections):
            cells = [_format_seconds(r.detections[index].seconds) for r in reports]
            rows.append((f"detection time, {detection.fault}", cells))
        return rows


class SiteDemo:
    """The demo at one user's site.

    Parameters
    ----------
    user : users.User
        The user.
    seed : int
        Seed of the stand-ins.
    """

    def __init__(self, user: users.User, seed: int) -> None:
        self._user = user
        self._seed = seed
        self._faulted: dict[str, tuple[str, float, float]] = {}
        self._ejected: set[str] = set()

    async def run(self) -> SiteReport:
        """Return what became of the site."""
        async with anyio.create_task_group() as group:
            place = site.Site(group, self._seed)
            calls = await self._run_site(place, group)
            group.cancel_scope.cancel()
            return self._judge(place, calls)
        raise RuntimeError("the site was cancelled")

    async def _run_site(
        self, place: site.Site, group: anyio.abc.TaskGroup
    ) -> list[callers.Call]:
        await place.start_platform()
        await place.start_targets(self._user.plans)
        place.publish()
        for number in range(VM_COUNT):
            await self._start_vm(place, number)
        door = balancer.Balancer(place)
        group.start_soon(door.run)
        await door.wait_ready(VM_COUNT)
        load = callers.Callers(door, self._user, random.Random(self._seed))
        group.start_soon(self._bring_faults, place)
        await load.run(REQUESTS_PER_S, LOAD_DURATION_S)
        self._collect_ejections(place)
        for process in place.daemons.values():
            process.stop()
        return load.calls

    async def _start_vm(self, place: site.Site, number: int) -> None:
        places = self._user.data_centres
        vm = f"{self._user.name.lower()}-vm-{number + 1}"
        await place.start_daemon(vm, places[number % len(places)], unready_for=1.0)

    async def _bring_faults(self, place: site.Site) -> None:
        first = self._user.plans[0].name
        await anyio.sleep(6)
        gray = target.Behaviour(target.Fault.ERRORS)
        await self._fault(place, f"{first}-2", "errors behind fine probes", gray, 8)
        straggler = target.Behaviour(target.Fault.SLOW, factor=10)
        await self._fault(place, f"{first}-5", "straggler, 10x", straggler, 8)
        silent = target.Behaviour(target.Fault.SILENT)
        await self._fault(place, f"{first}-3", "connections silent", silent, 4)
        place.log.is_down = True
        await anyio.sleep(3)
        place.log.is_down = False
        await self._replace_vm(place)

    async def _fault(
        self,
        place: site.Site,
        name: str,
        label: str,
        mood: target.Behaviour,
        seconds: float,
    ) -> None:
        started = time.time()
        place.targets[name].behaviour = mood
        await anyio.sleep(seconds)
        place.targets[name].behaviour = target.Behaviour()
        self._faulted[name] = (label, started, time.time())

    async def _replace_vm(self, place: site.Site) -> None:
        vm = f"{self._user.name.lower()}-vm-1"
        self._collect_ejections(place)
        place.daemons[vm].stop()
        await anyio.sleep(2.5)
        place.forget_daemon(vm)
        await self._start_vm(place, VM_COUNT)

    def _collect_ejections(self, place: site.Site) -> None:
        for process in place.daemons.values():
            for event in process.events.list_events():
                if event.kind is timeline.EventKind.EJECTED:
                    self._ejected.add(event.subject.partition("/")[2])

    def _judge(self, place: site.Site, calls: list[callers.Call]) -> SiteReport:
        keyed = {call.name for call in calls if call.work.is_keyed}
        told = [answer for call in calls for answer in call.answers]
        added = sorted(a.added_latency for a in told if a.added_latency is not None)
        return SiteReport(
            rows=tuple(self._count(work, calls) for work in self._user.work),
            doubled=len(keyed.intersection(place.ledger.list_repeated())),
            lost=sum(
                call.answers[-1].status == 200 and place.ledger.count(call.name) == 0
                for call in calls
            ),
            false_not_run=sum(_is_false_not_run(place, call) for call in calls),
            not_whole=sum(a.status == 200 and not a.is_whole for a in told),
            told_unknown=sum(a.outcome == "unknown" for a in told),
            broken_connections=sum(a.status == 0 and not a.outcome for a in told),
            detections=tuple(
                Detection(label, self._find_detection(place, name, start, end))
                for name, (label, start, end) in self._faulted.items()
            ),
            false_ejections=len(self._ejected - set(self._faulted)),
            added=tuple(added),
        )

    def _count(self, work: users.Work, calls: list[callers.Call]) -> Row:
        ours = [call for call in calls if call.work is work]
        answered = sum(call.is_answered for call in ours)
        return Row(self._user.name, work.kind, len(ours), answered)

    def _find_detection(
        self, place: site.Site, name: str, start: float, end: float
    ) -> float | None:
        """Return when the target's work had faded for a whole window."""
        worker = place.targets[name]
        times = [at for at in worker.received_at if start <= at <= end]
        before = [at for at in worker.received_at if start - 5 <= at < start]
        usual = len(before) / 5.0 * WINDOW_S
        moments = [start, *times]
        for moment in moments:
            after = [at for at in times if moment < at <= moment + WINDOW_S]
            if len(after) <= DETECTED_SHARE * usual and moment + WINDOW_S <= end:
                return moment - start
        return None


def _is_false_not_run(place: site.Site, call: callers.Call) -> bool:
    if any(answer.outcome != "not-run" for answer in call.answers):
        return False
    return call.work.is_keyed and place.ledger.count(call.name) > 0


def _format_ms(values: tuple[float, ...], quantile: float) -> str:
    if not values:
        return "-"
    return f"{1000 * values[int(quantile * (len(values) - 1))]:.1f} ms"


def _format_seconds(value: float | None) -> str:
    return "not found" if value is None else f"{value:.1f} s"


def run(seed: int) -> Report:
    """Run the demo at both users' sites at once."""
    sites: dict[str, SiteReport] = {}

    async def _run_one(user: users.User) -> None:
        sites[user.name] = await SiteDemo(user, seed).run()

    async def _run_all() -> None:
        listeners.log_loop_errors()
        async with anyio.create_task_group() as group:
            for user in (users.AUTHORITY, users.FRANCHISE):
                group.start_soon(_run_one, user)

    anyio.run(_run_all, backend_options={"use_uvloop": True})
    return Report({name: sites[name] for name in sorted(sites)})
