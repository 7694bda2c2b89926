"""Audits the retries of a service by what callers sent and what targets received.

An arrival at a target is a retry if the same request has arrived before. In any
span of time, the retries may not exceed a fixed number plus a share of the requests
in the busiest of three spans: the span itself, the one before it, and the one that
begins halfway between the two.
"""

from __future__ import annotations

import bisect
import collections.abc
import dataclasses

SPAN_STEP_S = 0.05
"""Seconds between the starts of the spans that are examined in addition to those that
begin or end with a retry."""

SPAN_MARGIN_S = 1e-6
"""Seconds by which a span begins before its first retry or ends after its last."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Limit of the retries of a service."""

    ratio: float
    """Allowed retries per request."""

    slack: float
    """Number of retries allowed in addition."""

    span: float
    """Seconds over which requests and retries are counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """The retries that arrived in one span of time, against their limit."""

    begin: float
    """Time at which it begins, in seconds."""

    retries: int
    """Number of retries that arrived in it."""

    allowed: float
    """Number of retries that may arrive in it."""

    @property
    def excess(self) -> float:
        """Retries beyond the limit; negative if the limit is not used up."""
        return self.retries - self.allowed


def find_retries(
    arrivals: collections.abc.Iterable[tuple[float, str]],
) -> list[float]:
    """Return the times of retries, in order, from pairs of time and request name."""
    seen: set[str] = set()
    retries: list[float] = []
    for at, request in sorted(arrivals):
        if request in seen:
            retries.append(at)
        seen.add(request)
    return retries


def find_worst(
    sent: collections.abc.Iterable[float],
    retries: collections.abc.Iterable[float],
    bound: Bound,
) -> Span:
    """Return the span that exceeds its limit most, or stays closest below it.

    Parameters
    ----------
    sent : iterable of float
        Times at which callers sent requests for the service, in seconds.
    retries : iterable of float
        Times at which retries arrived at its targets, in seconds.
    bound : Bound
        Limit of the retries.
    """
    request_times, retry_times = sorted(sent), sorted(retries)
    spans = [
        _examine_span(begin, request_times, retry_times, bound)
        for begin in _list_begins(retry_times, bound.span)
    ]
    empty = Span(0.0, 0, bound.slack)
    return max(spans, key=lambda span: span.excess, default=empty)


def _list_begins(retry_times: list[float], span: float) -> list[float]:
    begins = [at - SPAN_MARGIN_S for at in retry_times]
    begins += [at - span + SPAN_MARGIN_S for at in retry_times]
    if retry_times:
        count = int((retry_times[-1] - retry_times[0] + span) / SPAN_STEP_S)
        begins += [
            retry_times[0] - span + number * SPAN_STEP_S for number in range(count)
        ]
    return begins


def _examine_span(
    begin: float, request_times: list[float], retry_times: list[float], bound: Bound
) -> Span:
    span = bound.span
    requests = max(
        _count_between(request_times, begin - shift, begin - shift + span)
        for shift in (0.0, span / 2, span)
    )
    retries = _count_between(retry_times, begin, begin + span)
    return Span(begin, retries, bound.ratio * requests + bound.slack)


def _count_between(times: list[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
