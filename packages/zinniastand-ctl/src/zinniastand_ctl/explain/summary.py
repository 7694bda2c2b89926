"""Summarize request totals as plain values for JSON, pages and comparisons."""

from __future__ import annotations

import collections
import dataclasses
import math

from . import causes, request_totals

MAX_ROWS = 20
"""Rows of a table; further rows, which rank lower, are left out."""

STORE_RETURN_MARGIN_S = 3
"""Time before and after a return of the store in which failed requests are counted."""

LIMIT_WINDOW_S = 4
"""Seconds over which the load of a target with a rate limit is averaged."""

RETRY_WINDOW_S = 10
"""Seconds over which retries, and the requests that permit them, are counted."""

NOISE_DEVIATIONS = 2.0
"""Two counts differ if they are at least this many standard deviations apart."""


@dataclasses.dataclass(frozen=True, slots=True)
class CauseRow:
    """Number of requests with one result and cause."""

    result: str
    """Result for the callers."""

    cause: str
    """Cause of the result."""

    count: int
    """Number of requests."""

    share: float
    """Share of the requests that matched a route, from 0 to 1."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRow:
    """Estimated and actual failures of a target."""

    target: str
    """Id of the target."""

    service: str
    """Service of the target."""

    attempts: int
    """Attempts that ended with `good`, `failed` or `silent`."""

    failed: float
    """Share of its attempts that failed, from 0 to 1."""

    doubt: float
    """Mean estimated failure probability of its attempts."""

    shed: int
    """Attempts that the target rejected."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRow:
    """A fingerprint whose requests were at several targets when these crashed."""

    fingerprint: str
    """Fingerprint of what the requests ask for."""

    crashed: int
    """Targets that crashed while they processed such a request."""

    sent: int
    """Attempts from the first of these crashes on."""

    answered: int
    """Attempts among them that were answered. They show that something other than these
    requests crashed the targets."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRow:
    """Load of a target that announced a rate limit."""

    target: str
    """Id of the target."""

    limit: float
    """Lowest rate limit that it announced, in requests per second."""

    busiest: float
    """Attempts per second in the busiest `LIMIT_WINDOW_S` since its first limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRow:
    """The window of `RETRY_WINDOW_S` in which a service had the most retries."""

    service: str
    """Name of the service."""

    begin: int
    """Unix time at which the window begins, in whole seconds."""

    retries: int
    """Attempts beyond the first of their request that started in the window."""

    requests: int
    """Requests in the busiest of three windows: this one, the one before it, and one
    halfway between these."""

    dispatchers: dict[str, int]
    """Retries by the VM whose dispatcher granted the slot, at most `MAX_ROWS` VMs."""


@dataclasses.dataclass(frozen=True, slots=True)
class LinkRow:
    """Lost links and relayed attempts of one VM."""

    vm: str
    """Name of the VM."""

    lost: dict[str, int]
    """How often it lost its links to all targets of a service, by service."""

    relayed: int
    """Attempts over connections that other VMs relayed."""

    relays: int
    """VMs that relayed them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Counts of one cause in two runs."""

    cause: str
    """Result and cause, with a slash between them."""

    before: int
    """Requests in the earlier run."""

    after: int
    """Requests in the later run."""

    is_noise: bool
    """Whether the difference is within the usual variation of equal runs."""


def count_routed(totals: request_totals.RequestTotals) -> int:
    """Return the number of answered requests that matched a route."""
    return totals.requests - totals.count_result(causes.Result.DECLINED)


def list_causes(totals: request_totals.RequestTotals) -> list[CauseRow]:
    """Return the causes with their counts, the most frequent first."""
    routed = max(1, count_routed(totals))
    return [
        CauseRow(result.value, cause.value, count, count / routed)
        for (result, cause), count in totals.results.most_common()
        if cause is not None
    ]


def list_targets(totals: request_totals.RequestTotals) -> list[TargetRow]:
    """Return the targets with the most failed attempts."""
    rows = sorted(totals.targets.items(), key=lambda item: -item[1].failed)
    return [
        TargetRow(
            name,
            row.service,
            row.attempts,
            round(row.failed / max(1, row.attempts), 3),
            round(row.failure_probability_sum / max(1, row.attempts), 3),
            row.shed,
        )
        for name, row in rows[:MAX_ROWS]
    ]


def list_crashes(totals: request_totals.RequestTotals) -> list[CrashRow]:
    """Return the fingerprints with several crashed targets, the most crashes first."""
    rows = [
        CrashRow(name, len(row.targets), row.sent, row.answered)
        for name, row in totals.crashes.items()
        if len(row.targets) > 1
    ]
    return sorted(rows, key=lambda row: -row.crashed)[:MAX_ROWS]


def list_limits(totals: request_totals.RequestTotals) -> list[LimitRow]:
    """Return the targets with a rate limit, those that exceeded it most first."""
    rows = [
        LimitRow(
            name,
            row.rate_limit,
            _find_max_attempts(row.attempts_by_second) / LIMIT_WINDOW_S,
        )
        for name, row in totals.targets.items()
        if row.rate_limit is not None
    ]
    return sorted(rows, key=lambda row: row.limit - row.busiest)[:MAX_ROWS]


def list_retries(totals: request_totals.RequestTotals) -> list[RetryRow]:
    """Return the window with the most retries of each service."""
    return [
        _find_busiest_retries(totals, service) for service in sorted(totals.retries)
    ]


def list_links(totals: request_totals.RequestTotals) -> list[LinkRow]:
    """Return the VMs that lost their links to a service, or used relays."""
    rows = [
        LinkRow(
            vm,
            {
                service: count
                for (name, service), count in sorted(totals.lost_links.items())
                if name == vm
            },
            sum(count for (name, _), count in totals.relayed.items() if name == vm),
            sum(1 for name, _ in totals.relayed if name == vm),
        )
        for vm in sorted({name for name, _ in (*totals.lost_links, *totals.relayed)})
    ]
    return sorted(rows, key=lambda row: -row.relayed)[:MAX_ROWS]


def _find_busiest_retries(
    totals: request_totals.RequestTotals, service: str
) -> RetryRow:
    retry_counts, arrivals = totals.retries[service], totals.arrivals.get(service, {})
    seconds = {second for second, _ in retry_counts}
    begins = range(min(seconds) - RETRY_WINDOW_S + 1, max(seconds) + 1)
    sums = {
        begin: sum(
            count
            for (second, _), count in retry_counts.items()
            if begin <= second < begin + RETRY_WINDOW_S
        )
        for begin in begins
    }
    begin = max(begins, key=lambda start: sums[start])
    requests = max(
        sum(arrivals.get(begin - shift + n, 0) for n in range(RETRY_WINDOW_S))
        for shift in (0, RETRY_WINDOW_S // 2, RETRY_WINDOW_S)
    )
    dispatchers: collections.Counter[str] = collections.Counter()
    for (second, dispatcher), count in retry_counts.items():
        if begin <= second < begin + RETRY_WINDOW_S:
            dispatchers[dispatcher] += count
    top_dispatchers = dict(dispatchers.most_common(MAX_ROWS))
    return RetryRow(service, begin, sums[begin], requests, top_dispatchers)


def _find_max_attempts(by_second: collections.Counter[int]) -> int:
    """Return the maximum number of attempts in any window of `LIMIT_WINDOW_S`."""
    return max(
        sum(by_second[second + n] for n in range(LIMIT_WINDOW_S))
        for second in list(by_second)
    )


def _count_unserved(totals: request_totals.RequestTotals, timestamp: float) -> int:
    """Return the number of requests that were refused or failed near a Unix time."""
    unserved = (causes.Result.REFUSED.value, causes.Result.FAILED.value)
    return sum(
        counts[name]
        for second, counts in totals.by_second.items()
        if abs(second - timestamp) <= STORE_RETURN_MARGIN_S
        for name in unserved
    )


def describe(totals: request_totals.RequestTotals) -> dict[str, object]:
    """Return all totals as values that JSON can represent."""
    return {
        "requests": totals.requests,
        "owed": count_routed(totals),
        "results": {
            result.value: totals.count_result(result) for result in causes.Result
        },
        "causes": [dataclasses.asdict(row) for row in list_causes(totals)],
        "tried_again": totals.retried_requests,
        "without_answer": totals.unanswered,
        "lines_dropped": totals.lines_dropped,
        "attempts": dict(totals.attempts),
        "store_calls": [
            {"call": call, "outcome": outcome, "count": count}
            for (call, outcome), count in sorted(totals.store_calls.items())
        ],
        "by_second": _stringify_keys(totals.by_second),
        "causes_by_second": _stringify_keys(totals.causes_by_second),
        "by_service": _stringify_keys(totals.by_service),
        "by_data_centre": _stringify_keys(totals.by_data_centre),
        "by_vm": _stringify_keys(totals.by_vm),
        "retries": [dataclasses.asdict(row) for row in list_retries(totals)],
        "links": [dataclasses.asdict(row) for row in list_links(totals)],
        "limits": [dataclasses.asdict(row) for row in list_limits(totals)],
        "crashes": [dataclasses.asdict(row) for row in list_crashes(totals)],
        "targets": [dataclasses.asdict(row) for row in list_targets(totals)],
        "store_returns": {
            str(era): {
                "first_seen": timestamp,
                "unserved_near": _count_unserved(totals, timestamp),
            }
            for era, timestamp in sorted(totals.store_returns.items())
        },
        "versions": {
            str(version): {"vms": len(times), "spread_s": max(times) - min(times)}
            for version, times in sorted(totals.versions.items())
        },
    }


def compare(
    before: request_totals.RequestTotals, after: request_totals.RequestTotals
) -> list[Difference]:
    """Return the counts of each cause in two runs, the largest change first."""
    first = {f"{row.result} / {row.cause}": row.count for row in list_causes(before)}
    second = {f"{row.result} / {row.cause}": row.count for row in list_causes(after)}
    scale = count_routed(after) / max(1, count_routed(before))
    rows = [
        _compare_counts(name, first.get(name, 0), second.get(name, 0), scale)
        for name in sorted({*first, *second})
    ]
    return sorted(rows, key=lambda row: -abs(row.after - row.before))


def _compare_counts(name: str, before: int, after: int, scale: float) -> Difference:
    """Compare two counts of random events, after scaling the earlier one.

    The variance of such a count equals its mean, so that the standard deviation of the
    difference is the square root of the sum of the variances.
    """
    expected = before * scale
    deviation = math.sqrt(max(1.0, after + expected * scale))
    return Difference(
        name, before, after, abs(after - expected) < NOISE_DEVIATIONS * deviation
    )


def _stringify_keys(groups: dict) -> dict[str, dict[str, int]]:
    return {str(name): dict(groups[name]) for name in sorted(groups)}
