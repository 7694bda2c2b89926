"""An account as plain values: for scripts, for a page, and to compare two of them."""

from __future__ import annotations

import collections
import dataclasses
import math

from . import account, causes

MOST_ROWS = 20
"""Targets and VMs that are named; those that failed most."""

NEAR = 3
"""Seconds before and after a return of the store in which requests are counted."""

SPAN = 4
"""Whole seconds over which attempts at a target with a limit are counted."""

RETRY_SPAN = 10
"""Whole seconds over which retries are counted, and the requests that allow them."""

NOISE = 2.0
"""Standard deviations of a count below which two runs do not differ."""


@dataclasses.dataclass(frozen=True, slots=True)
class CauseRow:
    """How often a cause was met."""

    result: str
    """What callers got."""

    cause: str
    """Why."""

    count: int
    """Requests."""

    share: float
    """Of all requests that are owed an answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRow:
    """What was believed of a target, and how it did."""

    target: str
    service: str
    attempts: int
    failed: float
    """Share of its attempts that failed."""

    doubt: float
    """Mean of the believed chances that it fails."""

    shed: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRow:
    """A request that was at several targets when they crashed."""

    fingerprint: str
    """Names what it asks for."""

    crashed: int
    """Targets that crashed while they held it."""

    sent: int
    """Attempts since the first of these crashes."""

    answered: int
    """Those that were answered: whatever crashed the targets, it was not this."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRow:
    """A target that named a limit."""

    target: str
    limit: float
    """Least limit that it has named, in requests a second."""

    busiest: float
    """Attempts a second in its busiest seconds since it first named one."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRow:
    """The seconds of a service with the most retries."""

    service: str
    begin: int
    """The first of these seconds."""

    retries: int
    """Attempts after the first of their request that were sent in them."""

    requests: int
    """Requests of the busiest of three spans: these seconds, those before, and those
    between them."""

    dispatchers: dict[str, int]
    """Retries by the VM that gave the slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One cause in two runs."""

    cause: str
    before: int
    after: int
    is_noise: bool
    """Whether counts of two equal runs may differ so much."""


def count_owed(found: account.Account) -> int:
    """Return the requests that the fleet owes an answer."""
    return found.requests - found.count_result(causes.Result.DECLINED)


def list_causes(found: account.Account) -> list[CauseRow]:
    """Return the causes, the most frequent first."""
    owed = max(1, count_owed(found))
    return [
        CauseRow(result.value, cause.value, count, count / owed)
        for (result, cause), count in found.results.most_common()
        if cause is not None
    ]


def list_targets(found: account.Account) -> list[TargetRow]:
    """Return the targets with the most failed attempts."""
    rows = sorted(found.targets.items(), key=lambda item: -item[1].failed)
    return [
        TargetRow(
            name,
            row.service,
            row.attempts,
            round(row.failed / max(1, row.attempts), 3),
            round(row.doubt / max(1, row.attempts), 3),
            row.shed,
        )
        for name, row in rows[:MOST_ROWS]
    ]


def list_crashes(found: account.Account) -> list[CrashRow]:
    """Return the requests that were at several crashed targets, the worst first."""
    rows = [
        CrashRow(name, len(row.targets), row.sent, row.answered)
        for name, row in found.crashes.items()
        if len(row.targets) > 1
    ]
    return sorted(rows, key=lambda row: -row.crashed)[:MOST_ROWS]


def list_limits(found: account.Account) -> list[LimitRow]:
    """Return the targets that named a limit, those furthest beyond it first."""
    rows = [
        LimitRow(name, row.limit, _find_busiest(row.by_second) / SPAN)
        for name, row in found.targets.items()
        if row.limit is not None
    ]
    return sorted(rows, key=lambda row: row.limit - row.busiest)[:MOST_ROWS]


def list_retries(found: account.Account) -> list[RetryRow]:
    """Return the busiest seconds of each service, as far as retries go."""
    return [_find_retries(found, service) for service in sorted(found.retries)]


def _find_retries(found: account.Account, service: str) -> RetryRow:
    sent, asked = found.retries[service], found.asked.get(service, {})
    seconds = {second for second, _ in sent}
    begins = range(min(seconds) - RETRY_SPAN + 1, max(seconds) + 1)
    sums = {
        begin: sum(
            count
            for (second, _), count in sent.items()
            if begin <= second < begin + RETRY_SPAN
        )
        for begin in begins
    }
    begin = max(begins, key=lambda one: sums[one])
    requests = max(
        sum(asked.get(begin - back + n, 0) for n in range(RETRY_SPAN))
        for back in (0, RETRY_SPAN // 2, RETRY_SPAN)
    )
    dispatchers: collections.Counter[str] = collections.Counter()
    for (second, dispatcher), count in sent.items():
        if begin <= second < begin + RETRY_SPAN:
            dispatchers[dispatcher] += count
    named = dict(dispatchers.most_common(MOST_ROWS))
    return RetryRow(service, begin, sums[begin], requests, named)


def _find_busiest(by_second: collections.Counter[int]) -> int:
    """Return the most attempts in any span of some whole seconds."""
    return max(
        sum(by_second[second + n] for n in range(SPAN)) for second in list(by_second)
    )


def _count_unserved(found: account.Account, at: float) -> int:
    """Return how many requests around a time were refused or failed."""
    unserved = (causes.Result.REFUSED.value, causes.Result.FAILED.value)
    return sum(
        counts[name]
        for second, counts in found.by_second.items()
        if abs(second - at) <= NEAR
        for name in unserved
    )


def describe(found: account.Account) -> dict[str, object]:
    """Return all that there is to say, as values that JSON holds."""
    return {
        "requests": found.requests,
        "owed": count_owed(found),
        "results": {
            result.value: found.count_result(result) for result in causes.Result
        },
        "causes": [dataclasses.asdict(row) for row in list_causes(found)],
        "tried_again": found.tried_again,
        "without_answer": found.unanswered,
        "lines_dropped": found.lines_dropped,
        "attempts": dict(found.attempts),
        "store_calls": [
            {"call": call, "outcome": outcome, "count": count}
            for (call, outcome), count in sorted(found.store_calls.items())
        ],
        "by_second": _name_keys(found.by_second),
        "causes_by_second": _name_keys(found.causes_by_second),
        "by_service": _name_keys(found.by_service),
        "by_data_centre": _name_keys(found.by_place),
        "by_vm": _name_keys(found.by_vm),
        "retries": [dataclasses.asdict(row) for row in list_retries(found)],
        "limits": [dataclasses.asdict(row) for row in list_limits(found)],
        "crashes": [dataclasses.asdict(row) for row in list_crashes(found)],
        "targets": [dataclasses.asdict(row) for row in list_targets(found)],
        "store_returns": {
            str(era): {"first_seen": at, "unserved_near": _count_unserved(found, at)}
            for era, at in sorted(found.store_returns.items())
        },
        "versions": {
            str(version): {"vms": len(times), "spread_s": max(times) - min(times)}
            for version, times in sorted(found.versions.items())
        },
    }


def compare(before: account.Account, after: account.Account) -> list[Difference]:
    """Return how often each cause was met in two runs, the largest change first."""
    first = {f"{row.result} / {row.cause}": row.count for row in list_causes(before)}
    second = {f"{row.result} / {row.cause}": row.count for row in list_causes(after)}
    scale = count_owed(after) / max(1, count_owed(before))
    rows = [
        _compare_counts(name, first.get(name, 0), second.get(name, 0), scale)
        for name in sorted({*first, *second})
    ]
    return sorted(rows, key=lambda row: -abs(row.after - row.before))


def _compare_counts(name: str, before: int, after: int, scale: float) -> Difference:
    """Compare two counts of chance events over different numbers of requests."""
    expected = before * scale
    spread = math.sqrt(max(1.0, after + expected * scale))
    return Difference(name, before, after, abs(after - expected) < NOISE * spread)


def _name_keys(groups: dict) -> dict[str, dict[str, int]]:
    return {str(name): dict(groups[name]) for name in sorted(groups)}
