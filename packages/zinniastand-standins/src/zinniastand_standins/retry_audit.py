"""Audits the retries of a service from outside: what callers sent, what targets got.

An arrival counts as a retry if its request has arrived before. In no span of time may
there be more of them than a share of the requests of the busiest of three spans (that
one, the one before it, and the one between them) and a fixed number beyond.
"""

from __future__ import annotations

import bisect
import collections.abc
import dataclasses

SPAN_STEP_S = 0.05
"""Parts of a second between the spans that are looked at, beside those that begin or
end with a retry."""

SPAN_MARGIN_S = 1e-6
"""Seconds by which a span begins before, or ends after, a retry that it holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """How many retries a service may get."""

    ratio: float
    """Retries per request."""

    slack: float
    """Retries beyond that."""

    span: float
    """Seconds over which both are counted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """The retries of one span of time."""

    begin: float
    """When it begins."""

    retries: int
    """Retries that arrived in it."""

    allowed: float
    """How many may."""

    @property
    def excess(self) -> float:
        """Retries beyond what is allowed; negative where some are left."""
        return self.retries - self.allowed


def find_retries(
    arrivals: collections.abc.Iterable[tuple[float, str]],
) -> list[float]:
    """Return when retries arrived, in order, of arrivals with their request's name."""
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
    """Return the span with the most retries beyond what is allowed.

    Parameters
    ----------
    sent : iterable of float
        When callers sent requests for the service, in seconds.
    retries : iterable of float
        When retries arrived at its targets.
    bound : Bound
        How many may.
    """
    asked, repeated = sorted(sent), sorted(retries)
    spans = [
        _look_at(begin, asked, repeated, bound)
        for begin in _list_begins(repeated, bound.span)
    ]
    empty = Span(0.0, 0, bound.slack)
    return max(spans, key=lambda span: span.excess, default=empty)


def _list_begins(repeated: list[float], span: float) -> list[float]:
    begins = [at - SPAN_MARGIN_S for at in repeated]
    begins += [at - span + SPAN_MARGIN_S for at in repeated]
    if repeated:
        count = int((repeated[-1] - repeated[0] + span) / SPAN_STEP_S)
        begins += [repeated[0] - span + number * SPAN_STEP_S for number in range(count)]
    return begins


def _look_at(
    begin: float, asked: list[float], repeated: list[float], bound: Bound
) -> Span:
    span = bound.span
    requests = max(
        _count(asked, begin - back, begin - back + span)
        for back in (0.0, span / 2, span)
    )
    retries = _count(repeated, begin, begin + span)
    return Span(begin, retries, bound.ratio * requests + bound.slack)


def _count(times: list[float], begin: float, end: float) -> int:
    return bisect.bisect_left(times, end) - bisect.bisect_left(times, begin)
