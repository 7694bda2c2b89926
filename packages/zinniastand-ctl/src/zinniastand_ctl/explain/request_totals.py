"""Count the results of requests by cause, time, service, data centre and VM."""

from __future__ import annotations

import collections
import dataclasses
import typing

from . import causes, log_reader

MAX_OPEN_REQUESTS = 200_000
"""Maximum number of requests with attempts but no answer so far.

The log lines of a VM are in order, so that only its concurrent requests are open. The
oldest are dropped first."""

MAX_NAMES = 20_000
"""Maximum number of targets, and of fingerprints, that are counted individually."""

MS_PER_S = 1000.0

ResultKey = tuple[causes.Result, causes.Cause | None]


@dataclasses.dataclass(slots=True)
class TargetTotals:
    """Estimated and actual failures of one target, and its load."""

    service: str = ""
    """Service of the target."""

    attempts: int = 0
    """Attempts that ended with `good`, `failed` or `silent`."""

    failed: int = 0
    """Attempts that failed or got no answer."""

    failure_probability_sum: float = 0.0
    """Sum of the failure probabilities that were estimated for its attempts."""

    shed: int = 0
    """Attempts that the target rejected."""

    rate_limit: float | None = None
    """Lowest rate limit that it announced, in requests per second; None if it announced
    none."""

    attempts_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    """Attempts by the second of their end, since it first announced a rate limit."""


@dataclasses.dataclass(slots=True)
class CrashTotals:
    """Crashes and answers of the targets of all requests with one fingerprint."""

    targets: set[str] = dataclasses.field(default_factory=set)
    """Targets that crashed while they processed such a request."""

    sent: int = 0
    """Attempts from the first of these crashes on."""

    answered: int = 0
    """Attempts among them that were answered."""


class RequestTotals:
    """Adds up log records one by one; memory grows with names, not with lines.

    Seconds are whole seconds of Unix time. Counts by result use the values of
    `causes.Result` as keys.

    Attributes
    ----------
    results : Counter
        Answered requests by result and cause.
    by_second, by_service, by_data_centre, by_vm : dict
        Answered requests by result, for each second of their answer, service, data
        centre and VM.
    causes_by_second : dict
        Requests that were not served in time, by cause, for each second of answer.
    targets : dict
        Totals of each target by its id, for at most `MAX_NAMES` targets.
    attempts : Counter
        Attempts by outcome.
    store_calls : Counter
        Calls to the store by call and outcome.
    store_calls_by_second : Counter
        Calls to the store by second.
    versions : dict
        Unix times in seconds at which VMs put each version of the configuration in
        force.
    events : Counter
        Log lines by event.
    store_returns : dict
        Unix time in seconds at which the first VM saw each new era of the store.
    crashes : dict
        Totals by fingerprint, for at most `MAX_NAMES` fingerprints.
    arrivals : dict
        Requests by the second of their start, for each service.
    retries : dict
        Attempts beyond the first of their request, by the second of their start and the
        dispatcher that granted the slot, for each service.
    relayed : Counter
        Attempts over relayed connections, by the VM that used and the one that relayed.
    lost_links : Counter
        How often a VM lost its links to a service, by VM and service.
    retried_requests : int
        Answered requests with more than one attempt.
    unanswered : int
        Requests with attempts but no answer.
    lines_dropped : int
        Log lines that the VMs reported as dropped.
    """

    def __init__(self) -> None:
        self._open_attempts: collections.OrderedDict[
            tuple[str, str], tuple[causes.Attempt, ...]
        ] = collections.OrderedDict()
        self.results: collections.Counter[ResultKey] = collections.Counter()
        self.by_second: dict[int, collections.Counter[str]] = {}
        self.by_service: dict[str, collections.Counter[str]] = {}
        self.by_data_centre: dict[str, collections.Counter[str]] = {}
        self.by_vm: dict[str, collections.Counter[str]] = {}
        self.causes_by_second: dict[int, collections.Counter[str]] = {}
        self.targets: dict[str, TargetTotals] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.store_calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.store_calls_by_second: collections.Counter[int] = collections.Counter()
        self.versions: dict[int, list[float]] = {}
        self.events: collections.Counter[str] = collections.Counter()
        self.store_returns: dict[int, float] = {}
        self.crashes: dict[str, CrashTotals] = {}
        self.arrivals: dict[str, collections.Counter[int]] = {}
        self.retries: dict[str, collections.Counter[tuple[int, str]]] = {}
        self.relayed: collections.Counter[tuple[str, str]] = collections.Counter()
        self.lost_links: collections.Counter[tuple[str, str]] = collections.Counter()
        self.retried_requests = 0
        self.unanswered = 0
        self.lines_dropped = 0
        self._data_centres: dict[str, str] = {}

    @property
    def requests(self) -> int:
        """Number of requests that got an answer."""
        return sum(self.results.values())

    @property
    def vms(self) -> list[str]:
        """VMs that wrote a `started` or `answer` line, sorted."""
        return sorted({*self.by_vm, *self._data_centres})

    def count_result(self, result: causes.Result) -> int:
        """Return the number of requests with a result."""
        return sum(
            count for (other, _), count in self.results.items() if other is result
        )

    def add_record(self, record: log_reader.Record) -> None:
        """Add a record. Missing and malformed fields count as empty or 0."""
        event = str(record.get("event", ""))
        self.events[event] += 1
        self.lines_dropped += int(read_number(record, "lines_dropped"))
        match event:
            case "attempt":
                self._add_attempt(record)
            case "answer":
                self._add_answer(record)
            case "started":
                self._data_centres[record["vm"]] = str(record.get("data_centre", ""))
            case "store_call":
                call, outcome = str(record.get("call")), str(record.get("outcome"))
                self.store_calls[call, outcome] += 1
                self.store_calls_by_second[int(read_number(record, "time"))] += 1
            case "store_era" if record.get("before") is not None:
                era, timestamp = (
                    int(read_number(record, "era")),
                    read_number(record, "time"),
                )
                earliest = self.store_returns.get(era, timestamp)
                self.store_returns[era] = min(timestamp, earliest)
            case "links_lost":
                self.lost_links[record["vm"], str(record.get("service", ""))] += 1
            case "configuration_in_force":
                version = int(read_number(record, "version"))
                timestamp = read_number(record, "time")
                self.versions.setdefault(version, []).append(timestamp)

    def finish(self) -> None:
        """Count the requests still open at the end of the logs as unanswered."""
        self.unanswered += len(self._open_attempts)
        self._open_attempts.clear()

    def _add_attempt(self, record: log_reader.Record) -> None:
        attempt = parse_attempt(record)
        self.attempts[attempt.outcome] += 1
        self._count_target(attempt)
        self._count_retry(attempt)
        self._count_crash(attempt)
        if attempt.relay:
            self.relayed[record["vm"], attempt.relay] += 1
        key = (record["vm"], str(record.get("request")))
        self._open_attempts[key] = (*self._open_attempts.get(key, ()), attempt)
        while len(self._open_attempts) > MAX_OPEN_REQUESTS:
            self._open_attempts.popitem(last=False)
            self.unanswered += 1

    def _count_target(self, attempt: causes.Attempt) -> None:
        row = self.targets.get(attempt.target)
        if row is None:
            if len(self.targets) >= MAX_NAMES:
                return
            row = self.targets[attempt.target] = TargetTotals(attempt.service)
        if attempt.rate_limit is not None:
            row.rate_limit = min(
                attempt.rate_limit, row.rate_limit or attempt.rate_limit
            )
        if row.rate_limit is not None:
            row.attempts_by_second[attempt.end_second] += 1
        if attempt.outcome == "shed":
            row.shed += 1
        if attempt.outcome in ("good", "failed", "silent"):
            row.attempts += 1
            row.failure_probability_sum += attempt.failure_probability
            row.failed += attempt.outcome != "good"

    def _count_retry(self, attempt: causes.Attempt) -> None:
        """Count a retry by its start and by the dispatcher that granted its slot.

        Attempts that did not reach a target do not count.
        """
        if attempt.number < 2 or attempt.outcome in causes.UNSENT_OUTCOMES:
            return
        sent_second = attempt.end_second - int(attempt.duration_ms / MS_PER_S)
        by_dispatcher = self.retries.setdefault(attempt.service, collections.Counter())
        by_dispatcher[sent_second, attempt.dispatcher] += 1

    def _count_crash(self, attempt: causes.Attempt) -> None:
        """Count attempts by fingerprint, from its first crash on."""
        row = self.crashes.get(attempt.fingerprint)
        if row is None:
            has_room = len(self.crashes) < MAX_NAMES
            if not attempt.has_crashed or not attempt.fingerprint or not has_room:
                return
            row = self.crashes[attempt.fingerprint] = CrashTotals()
        row.sent += 1
        row.answered += attempt.outcome == "good"
        if attempt.has_crashed:
            row.targets.add(attempt.target)

    def _add_answer(self, record: log_reader.Record) -> None:
        vm = record["vm"]
        attempts = self._open_attempts.pop((vm, str(record.get("request"))), ())
        answer = parse_answer(record)
        verdict = causes.judge(answer, attempts)
        self.results[verdict.result, verdict.cause] += 1
        if len(attempts) > 1:
            self.retried_requests += 1
        second = int(read_number(record, "time"))
        service = str(record.get("service") or _find_service(attempts))
        data_centre = self._data_centres.get(vm, "")
        start_second = second - int(read_number(record, "ms") / MS_PER_S)
        self.arrivals.setdefault(service, collections.Counter())[start_second] += 1
        for groups, name in (
            (self.by_second, second),
            (self.by_service, service),
            (self.by_data_centre, data_centre),
            (self.by_vm, vm),
        ):
            counts = typing.cast(dict[typing.Any, typing.Any], groups)
            counts.setdefault(name, collections.Counter())[verdict.result.value] += 1
        if verdict.cause is not None:
            counts = self.causes_by_second.setdefault(second, collections.Counter())
            counts[verdict.cause.value] += 1


def parse_attempt(record: log_reader.Record) -> causes.Attempt:
    """Return the attempt that a record describes."""
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
        rate_limit=read_number(record, "limit") if "limit" in record else None,
        end_second=int(read_number(record, "time")),
        relay=str(record.get("relay", "")),
    )


def parse_answer(record: log_reader.Record) -> causes.Answer:
    """Return the answer that a record describes."""
    objective = record.get("objective_ms")
    return causes.Answer(
        int(read_number(record, "status")),
        str(record.get("why", "")),
        read_number(record, "ms"),
        float(objective) if isinstance(objective, int | float) else None,
        record.get("truncated") is True,
    )


def read_number(record: log_reader.Record, name: str) -> float:
    """Return a numeric field of a record, 0 if it is missing or not a number."""
    value = record.get(name)
    return float(value) if isinstance(value, int | float) else 0.0


def _find_service(attempts: tuple[causes.Attempt, ...]) -> str:
    return attempts[-1].service if attempts else ""
