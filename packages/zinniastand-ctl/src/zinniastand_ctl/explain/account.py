"""Totals of what became of requests, by cause and by where it happened."""

from __future__ import annotations

import collections
import dataclasses
import typing

from . import causes, log_reader

MOST_OPEN = 200_000
"""Requests of which attempts were read and no answer yet. Lines of one VM come in
order, so that only those under way at a time are open; the oldest go first."""

MOST_NAMES = 20_000
"""Targets, VMs and repeated requests that are counted by name."""

UNSENT = frozenset({"unreachable", "unused"})
"""Outcomes of attempts that reached no target."""

MILLISECONDS = 1000.0

Key = tuple[causes.Result, causes.Cause | None]


@dataclasses.dataclass(slots=True)
class TargetRow:
    """What was believed of one target, and how it did."""

    service: str = ""
    """Its service."""

    attempts: int = 0
    """Attempts that ended in an outcome of its own."""

    failed: int = 0
    """Those that failed or got no answer."""

    doubt: float = 0.0
    """Sum of the believed chances that it fails."""

    shed: int = 0
    """Attempts that it turned away."""

    limit: float | None = None
    """Least limit that it has named, in requests a second; None where it named none."""

    by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Attempts that ended in each second since it first named one."""


@dataclasses.dataclass(slots=True)
class CrashRow:
    """How one request, which may come again and again, and its targets fared."""

    targets: set[str] = dataclasses.field(default_factory=set)
    """Targets that crashed while they held it."""

    sent: int = 0
    """Attempts since the first of these crashes."""

    answered: int = 0
    """Those that were answered."""


class Account:
    """Takes in log records one by one; memory grows with names, not with lines."""

    def __init__(self) -> None:
        self._open: collections.OrderedDict[
            tuple[str, str], tuple[causes.Attempt, ...]
        ] = collections.OrderedDict()
        self.results: collections.Counter[Key] = collections.Counter()
        self.by_second: dict[int, collections.Counter[str]] = {}
        self.by_service: dict[str, collections.Counter[str]] = {}
        self.by_place: dict[str, collections.Counter[str]] = {}
        self.by_vm: dict[str, collections.Counter[str]] = {}
        self.causes_by_second: dict[int, collections.Counter[str]] = {}
        self.targets: dict[str, TargetRow] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.store_calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.store_calls_by_second: collections.Counter[int] = collections.Counter()
        self.versions: dict[int, list[float]] = {}
        self.events: collections.Counter[str] = collections.Counter()
        self.store_returns: dict[int, float] = {}
        self.crashes: dict[str, CrashRow] = {}
        self.asked: dict[str, collections.Counter[int]] = {}
        self.retries: dict[str, collections.Counter[tuple[int, str]]] = {}
        self.tried_again = 0
        self.unanswered = 0
        self.lines_dropped = 0
        self._places: dict[str, str] = {}

    @property
    def requests(self) -> int:
        """Requests that got an answer."""
        return sum(self.results.values())

    @property
    def vms(self) -> list[str]:
        """VMs with a line."""
        return sorted({*self.by_vm, *self._places})

    def count_result(self, result: causes.Result) -> int:
        """Return how many requests ended so."""
        return sum(n for (one, _), n in self.results.items() if one is result)

    def take(self, record: log_reader.Line) -> None:
        """Take in one record; fields that are missing or odd count as unknown."""
        event = str(record.get("event", ""))
        self.events[event] += 1
        self.lines_dropped += int(read_number(record, "lines_dropped"))
        match event:
            case "attempt":
                self._take_attempt(record)
            case "answer":
                self._take_answer(record)
            case "started":
                self._places[record["vm"]] = str(record.get("data_centre", ""))
            case "store_call":
                call, outcome = str(record.get("call")), str(record.get("outcome"))
                self.store_calls[call, outcome] += 1
                self.store_calls_by_second[int(read_number(record, "time"))] += 1
            case "store_era" if record.get("before") is not None:
                era, at = int(read_number(record, "era")), read_number(record, "time")
                first = self.store_returns.get(era, at)
                self.store_returns[era] = min(at, first)
            case "configuration_in_force":
                version = int(read_number(record, "version"))
                at = read_number(record, "time")
                self.versions.setdefault(version, []).append(at)

    def finish(self) -> None:
        """Take in that there are no more records."""
        self.unanswered += len(self._open)
        self._open.clear()

    def _take_attempt(self, record: log_reader.Line) -> None:
        attempt = parse_attempt(record)
        self.attempts[attempt.outcome] += 1
        self._count_target(attempt)
        self._count_retry(attempt)
        self._count_crash(attempt)
        key = (record["vm"], str(record.get("request")))
        self._open[key] = (*self._open.get(key, ()), attempt)
        while len(self._open) > MOST_OPEN:
            self._open.popitem(last=False)
            self.unanswered += 1

    def _count_target(self, attempt: causes.Attempt) -> None:
        row = self.targets.get(attempt.target)
        if row is None:
            if len(self.targets) >= MOST_NAMES:
                return
            row = self.targets[attempt.target] = TargetRow(attempt.service)
        if attempt.limit is not None:
            row.limit = min(attempt.limit, row.limit or attempt.limit)
        if row.limit is not None:
            row.by_second[attempt.second] += 1
        if attempt.outcome == "shed":
            row.shed += 1
        if attempt.outcome in ("good", "failed", "silent"):
            row.attempts += 1
            row.doubt += attempt.doubt
            row.failed += attempt.outcome != "good"

    def _count_retry(self, attempt: causes.Attempt) -> None:
        """Count an attempt after the first, by when it was sent and who gave the slot.

        One that reached no target is none.
        """
        if attempt.number < 2 or attempt.outcome in UNSENT:
            return
        sent = attempt.second - int(attempt.took / MILLISECONDS)
        by_dispatcher = self.retries.setdefault(attempt.service, collections.Counter())
        by_dispatcher[sent, attempt.dispatcher] += 1

    def _count_crash(self, attempt: causes.Attempt) -> None:
        """Count requests by what they ask for, from their first crash on."""
        row = self.crashes.get(attempt.fingerprint)
        if row is None:
            has_room = len(self.crashes) < MOST_NAMES
            if not attempt.has_crashed or not attempt.fingerprint or not has_room:
                return
            row = self.crashes[attempt.fingerprint] = CrashRow()
        row.sent += 1
        row.answered += attempt.outcome == "good"
        if attempt.has_crashed:
            row.targets.add(attempt.target)

    def _take_answer(self, record: log_reader.Line) -> None:
        vm = record["vm"]
        attempts = self._open.pop((vm, str(record.get("request"))), ())
        answer = parse_answer(record)
        verdict = causes.judge(answer, attempts)
        self.results[verdict.result, verdict.cause] += 1
        if len(attempts) > 1:
            self.tried_again += 1
        second = int(read_number(record, "time"))
        service = str(record.get("service") or _name_service(attempts))
        place = self._places.get(vm, "")
        begun = second - int(read_number(record, "ms") / MILLISECONDS)
        self.asked.setdefault(service, collections.Counter())[begun] += 1
        for groups, name in (
            (self.by_second, second),
            (self.by_service, service),
            (self.by_place, place),
            (self.by_vm, vm),
        ):
            counts = typing.cast(dict[typing.Any, typing.Any], groups)
            counts.setdefault(name, collections.Counter())[verdict.result.value] += 1
        if verdict.cause is not None:
            counts = self.causes_by_second.setdefault(second, collections.Counter())
            counts[verdict.cause.value] += 1


def parse_attempt(record: log_reader.Line) -> causes.Attempt:
    """Return the attempt of a record."""
    return causes.Attempt(
        str(record.get("target", "")),
        str(record.get("service", "")),
        read_number(record, "doubt"),
        read_number(record, "expected_ms"),
        read_number(record, "waited_ms"),
        str(record.get("outcome", "")),
        str(record.get("why", "")),
        read_number(record, "ms"),
        number=int(read_number(record, "number")),
        dispatcher=str(record.get("dispatcher", "")),
        fingerprint=str(record.get("fingerprint", "")),
        has_crashed=record.get("crashed") is True,
        limit=read_number(record, "limit") if "limit" in record else None,
        second=int(read_number(record, "time")),
    )


def parse_answer(record: log_reader.Line) -> causes.Answer:
    """Return the answer of a record."""
    objective = record.get("objective_ms")
    return causes.Answer(
        int(read_number(record, "status")),
        str(record.get("why", "")),
        read_number(record, "ms"),
        float(objective) if isinstance(objective, int | float) else None,
    )


def read_number(record: log_reader.Line, name: str) -> float:
    """Return a number of a record, 0 where there is none."""
    value = record.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _name_service(attempts: tuple[causes.Attempt, ...]) -> str:
    return attempts[-1].service if attempts else ""
