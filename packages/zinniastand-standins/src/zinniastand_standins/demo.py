"""The demo: runs two small sites through a series of faults and reports the result.

The result comes from the ledger of the targets, the answers that callers received and
the ejections in the event logs, not from the proxy's own counters.
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
"""Mean rate of requests at each site."""

LOAD_DURATION_S = 36.0
VM_COUNT = 3

DETECTED_SHARE = 0.2
"""Share of its usual requests up to which a failing target counts as detected."""

WINDOW_S = 1.0
"""Time over which a target's requests are counted for that."""


@dataclasses.dataclass(frozen=True, slots=True)
class Detection:
    """Time until a failing target received hardly any requests."""

    fault: str
    """Description of the fault."""

    seconds: float | None
    """Seconds from the fault until requests fell to a fifth; None if they never did."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table: one kind of work of one user."""

    user: str
    """Name of the user."""

    kind: str
    """Name of the kind."""

    sent: int
    """Number of requests of the kind, not counting repeated tries."""

    answered: int
    """Number of them that got a complete answer in the end."""


@dataclasses.dataclass(frozen=True, slots=True)
class SiteReport:
    """Results of one user's site."""

    rows: tuple[Row, ...]
    """Counts for each kind of work."""

    doubled: int
    """Number of at-most-once requests whose work ran more than once."""

    lost: int
    """Number of requests answered with 200 whose work never ran."""

    false_not_run: int
    """Number of at-most-once requests that ran although every try got "not run"."""

    not_whole: int
    """Number of 200 answers that were cut or belonged to another request."""

    told_unknown: int
    """Number of answers with the outcome "unknown"."""

    broken_connections: int
    """Number of tries that ended without an answer or a known outcome."""

    detections: tuple[Detection, ...]
    """Detection time of each fault, in the order of the faults."""

    false_ejections: int
    """Number of targets ejected without a fault."""

    added: tuple[float, ...]
    """Seconds that each answer took beyond the target's work, sorted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Results of the demo."""

    sites: dict[str, SiteReport]
    """Results of each site, by name of the user."""

    @property
    def broken_promises(self) -> list[str]:
        """Descriptions of the promises that were broken; empty if all were kept."""
        broken: list[str] = []
        for name, report in self.sites.items():
            for label in ("doubled", "lost", "false_not_run", "not_whole"):
                count = getattr(report, label)
                if count:
                    broken.append(f"{name}: {label} {count}")
            if report.broken_connections:
                broken.append(f"{name}: cut off {report.broken_connections}")
        return broken

    def format_text(self) -> str:
        """Return the tables of requests and of other results."""
        lines = [f"{'':11}{'kind':22}{'sent':>6}{'answered in time':>18}"]
        for name, report in self.sites.items():
            for row in report.rows:
                share = f"{100 * row.answered / max(1, row.sent):.1f}%"
                lines.append(
                    f"{name:11}{row.kind:22}{row.sent:6}{row.answered:9}{share:>9}"
                )
        lines.append("")
        heading = "".join(f"{name:>12}" for name in self.sites)
        lines.append(f"{'':38}{heading}")
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
    """Runs the demo at one user's site.

    Parameters
    ----------
    user : users.User
        The user whose site is run.
    seed : int
        Seed of the targets and the load.
    """

    def __init__(self, user: users.User, seed: int) -> None:
        self._user = user
        self._seed = seed
        self._faulty_targets: dict[str, tuple[str, float, float]] = {}
        self._ejected_targets: set[str] = set()

    async def run(self) -> SiteReport:
        """Run the site through all faults and return the results."""
        async with anyio.create_task_group() as group:
            place = site.Site(group, self._seed)
            calls = await self._run_site(place, group)
            group.cancel_scope.cancel()
            return self._evaluate(place, calls)
        raise RuntimeError("the site was cancelled")

    async def _run_site(
        self, place: site.Site, group: anyio.abc.TaskGroup
    ) -> list[callers.Call]:
        await place.start_platform()
        await place.start_targets(self._user.plans)
        place.publish()
        for number in range(VM_COUNT):
            await self._start_vm(place, number)
        load_balancer = balancer.Balancer(place)
        group.start_soon(load_balancer.run)
        await load_balancer.wait_ready(VM_COUNT)
        load = callers.Callers(load_balancer, self._user, random.Random(self._seed))
        group.start_soon(self._inject_faults, place)
        await load.run(REQUESTS_PER_S, LOAD_DURATION_S)
        self._collect_ejections(place)
        for process in place.daemons.values():
            process.stop()
        return load.calls

    async def _start_vm(self, place: site.Site, number: int) -> None:
        places = self._user.data_centres
        vm = f"{self._user.name.lower()}-vm-{number + 1}"
        await place.start_daemon(vm, places[number % len(places)], unready_for=1.0)

    async def _inject_faults(self, place: site.Site) -> None:
        first = self._user.plans[0].name
        await anyio.sleep(6)
        errors = target.Behaviour(target.Fault.ERRORS)
        await self._inject_fault(
            place, f"{first}-2", "errors behind fine probes", errors, 8
        )
        straggler = target.Behaviour(target.Fault.SLOW, factor=10)
        await self._inject_fault(place, f"{first}-5", "straggler, 10x", straggler, 8)
        silent = target.Behaviour(target.Fault.SILENT)
        await self._inject_fault(place, f"{first}-3", "connections silent", silent, 4)
        place.log.is_down = True
        await anyio.sleep(3)
        place.log.is_down = False
        await self._replace_vm(place)

    async def _inject_fault(
        self,
        place: site.Site,
        name: str,
        label: str,
        behaviour: target.Behaviour,
        seconds: float,
    ) -> None:
        started = time.time()
        place.targets[name].behaviour = behaviour
        await anyio.sleep(seconds)
        place.targets[name].behaviour = target.Behaviour()
        self._faulty_targets[name] = (label, started, time.time())

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
                    self._ejected_targets.add(event.subject.partition("/")[2])

    def _evaluate(self, place: site.Site, calls: list[callers.Call]) -> SiteReport:
        keyed = {call.name for call in calls if call.work.is_keyed}
        answers = [answer for call in calls for answer in call.answers]
        added = sorted(a.added_latency for a in answers if a.added_latency is not None)
        return SiteReport(
            rows=tuple(self._count_row(work, calls) for work in self._user.work),
            doubled=len(keyed.intersection(place.ledger.list_repeated())),
            lost=sum(
                call.answers[-1].status == 200 and place.ledger.count(call.name) == 0
                for call in calls
            ),
            false_not_run=sum(_ran_despite_not_run(place, call) for call in calls),
            not_whole=sum(a.status == 200 and not a.is_whole for a in answers),
            told_unknown=sum(a.outcome == "unknown" for a in answers),
            broken_connections=sum(a.status == 0 and not a.outcome for a in answers),
            detections=tuple(
                Detection(label, self._find_detection(place, name, start, end))
                for name, (label, start, end) in self._faulty_targets.items()
            ),
            false_ejections=len(self._ejected_targets - set(self._faulty_targets)),
            added=tuple(added),
        )

    def _count_row(self, work: users.Work, calls: list[callers.Call]) -> Row:
        calls_of_kind = [call for call in calls if call.work is work]
        answered = sum(call.is_answered for call in calls_of_kind)
        return Row(self._user.name, work.kind, len(calls_of_kind), answered)

    def _find_detection(
        self, place: site.Site, name: str, start: float, end: float
    ) -> float | None:
        """Return the seconds until the target's requests stayed low for a whole window.

        Low means at most `DETECTED_SHARE` of the requests that it received per window
        in the five seconds before the fault. None if that never happened.
        """
        faulty_target = place.targets[name]
        times = [at for at in faulty_target.received_at if start <= at <= end]
        before = [at for at in faulty_target.received_at if start - 5 <= at < start]
        usual_count = len(before) / 5.0 * WINDOW_S
        moments = [start, *times]
        for moment in moments:
            after = [at for at in times if moment < at <= moment + WINDOW_S]
            if len(after) <= DETECTED_SHARE * usual_count and moment + WINDOW_S <= end:
                return moment - start
        return None


def _ran_despite_not_run(place: site.Site, call: callers.Call) -> bool:
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
    """Run the demo at both users' sites at the same time and return the results."""
    sites: dict[str, SiteReport] = {}

    async def _run_user(user: users.User) -> None:
        sites[user.name] = await SiteDemo(user, seed).run()

    async def _run_all() -> None:
        listeners.log_loop_errors()
        async with anyio.create_task_group() as group:
            for user in (users.AUTHORITY, users.FRANCHISE):
                group.start_soon(_run_user, user)

    anyio.run(_run_all, backend_options={"use_uvloop": True})
    return Report({name: sites[name] for name in sorted(sites)})
