"""Record of one request that targets held when they crashed.

A request that crashes its targets does so wherever it runs, and is never answered. A
harmless one that ran beside it, or while targets crashed for another reason, is
answered by another target. Two facts tell them apart: the number of consecutive
crashes, where each attempt began after the crash before it, and the latest time at
which the request was answered. Targets of one rack that fail at the same moment count
as one crash.

All VMs keep such records and merge those they receive, which may arrive late, twice and
in any order. Merging adds what is missing, and repeats change nothing.
"""

from __future__ import annotations

import dataclasses
import math

CRASHES_TO_QUARANTINE = 3
"""Consecutive crashes from which a request is quarantined, and crashes of any kind from
which it is sent to only one target at a time."""

ANSWER_TRUST_DURATION_S = 2.0
"""Seconds after an answer. Crashes of attempts that began before they are over do not
count against the request. Must stay below the time within which all VMs must know a
request that begins to crash its targets."""

INITIAL_HOLD_S = 60.0
"""Seconds of a request's first quarantine. Targets may have crashed for another reason,
which is mended by then."""

MAX_HOLD_S = 3600.0
"""Upper limit in seconds of one quarantine."""

TRIAL_DURATION_S = 10.0
"""Seconds for which a trial holds other attempts at the same request; longer than most
requests take."""

SHORT_TRIAL_DURATION_S = 2.0
"""Seconds of a trial while too few crashes are consecutive. Overlapping crashes prove
little, and the trial may fail for another reason: callers of a harmless request should
not wait for long."""

MAX_CRASHES = 12
"""Upper limit of crashes kept. Nine consecutive ones are enough for the longest
hold."""

MAX_OVERLAP_S = 0.05
"""Seconds by which consecutive attempts may seem to overlap. VMs send each other times
as ages, so that network delay makes them look later."""

MAX_OVERLAP_SHARE = 0.5
"""Share of an attempt's duration by which it may seem to overlap the one before it.
Without this limit, short attempts that break off at the same moment would look as if
each began after the other's crash."""

TIME_TOLERANCE_S = 0.25
"""Seconds by which two times of the same event may differ. Each VM that forwards a
record adds network delay; without a tolerance, VMs would forward it for ever."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Crash:
    """A crash of a target while it held the request.

    Times are in seconds of the monotonic clock.
    """

    ended_at: float
    """Time at which the attempt broke off."""

    duration: float
    """Seconds from sending the attempt until it broke off."""

    target: str
    """Target and its incarnation, as one text."""

    @property
    def started_at(self) -> float:
        """Time at which the attempt was sent."""
        return self.ended_at - self.duration


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """Crashes, latest answer and latest trial of one request.

    Times are in seconds of the monotonic clock.
    """

    crashes: tuple[Crash, ...] = ()
    """Crashes in the order of their times, at most one for each target incarnation."""

    answered_at: float = -math.inf
    """Time at which a target last answered the request; -inf for never."""

    tried_at: float = -math.inf
    """Time at which its latest trial began; -inf for never."""

    def merge(self, other: Suspect) -> Suspect:
        """Return the record with the facts of both; the order does not matter."""
        # Network delay makes times later, so the earliest time is the most exact.
        latest_first = sorted((*self.crashes, *other.crashes), reverse=True)
        by_target = {crash.target: crash for crash in latest_first}
        answered_at = _choose_later_time(self.answered_at, other.answered_at)
        counted_crashes = [
            crash
            for crash in sorted(by_target.values())
            if crash.started_at > answered_at + ANSWER_TRUST_DURATION_S
        ]
        return Suspect(
            tuple(counted_crashes[-MAX_CRASHES:]),
            answered_at,
            _choose_later_time(self.tried_at, other.tried_at),
        )

    def count_consecutive(self) -> int:
        """Return the number of crashes whose attempts followed each other.

        A crash is left out if its attempt began before the previous counted crash by
        more than the tolerated overlap.
        """
        count, previous_end = 0, -math.inf
        for crash in self.crashes:
            overlap = min(MAX_OVERLAP_S, MAX_OVERLAP_SHARE * crash.duration)
            if crash.started_at >= previous_end - overlap:
                count += 1
                previous_end = crash.ended_at
        return count

    @property
    def needs_trial(self) -> bool:
        """Whether the request may go to only one target at a time."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE

    def find_hold_end(self) -> float:
        """Return when the request may go to a target again; -inf for no hold.

        Each consecutive crash beyond the limit doubles the hold, since each further
        trial reveals less.
        """
        if not self.needs_trial:
            return -math.inf
        extra_crashes = self.count_consecutive() - CRASHES_TO_QUARANTINE
        latest = self.crashes[-1].ended_at
        is_on_trial = self.tried_at > latest
        if extra_crashes < 0:
            return self.tried_at + SHORT_TRIAL_DURATION_S if is_on_trial else -math.inf
        hold_until = latest + min(MAX_HOLD_S, INITIAL_HOLD_S * 2.0**extra_crashes)
        trial_until = self.tried_at + TRIAL_DURATION_S if is_on_trial else hold_until
        return max(hold_until, trial_until)

    def is_quarantined(self, now: float) -> bool:
        """Return whether the request may go to no target now."""
        return now < self.find_hold_end()

    def adds_to(self, earlier: Suspect) -> bool:
        """Return whether this record has facts that `earlier` lacks.

        Of crashes, only the targets are compared and not the times.
        """
        targets = {crash.target for crash in self.crashes}
        return (
            targets != {crash.target for crash in earlier.crashes}
            or self.answered_at != earlier.answered_at
            or self.tried_at != earlier.tried_at
        )

    def age(self, seconds: float) -> Suspect:
        """Return the record with all times earlier by some seconds."""
        crashes = tuple(
            Crash(crash.ended_at - seconds, crash.duration, crash.target)
            for crash in self.crashes
        )
        return Suspect(crashes, self.answered_at - seconds, self.tried_at - seconds)


def _choose_later_time(own: float, received: float) -> float:
    return received if received > own + TIME_TOLERANCE_S else own
