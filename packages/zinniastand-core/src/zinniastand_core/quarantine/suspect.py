"""What is known of one request that was at targets when they crashed.

A request that crashes its targets does so wherever it runs, and is never answered. One
that only shared a target with it, or ran while targets crashed for another reason, is
answered elsewhere. Several facts tell them apart: crashes in turn, where each attempt
began after the crash before it, and the last time at which the same request was
answered. Targets of one rack that fail in the same moment count as one crash.

All VMs hold such records and merge them. Records may arrive late, twice and in any
order: what is known stays, and what is not is added.
"""

from __future__ import annotations

import dataclasses
import math

CRASHES_TO_QUARANTINE = 3
"""Crashes in turn from which a request is quarantined, and crashes at any time from
which it goes to one target at a time."""

ANSWER_TRUST_DURATION_S = 2.0
"""Seconds after an answer for which crashes are not held against the same request: less
than the time within which all VMs must know one that begins to crash its targets."""

INITIAL_HOLD_S = 60.0
"""Seconds for which a request is quarantined at first. Targets may have crashed for a
reason that is mended by then."""

MAX_HOLD_S = 3600.0
"""Most seconds for which a request is quarantined at a time."""

TRIAL_DURATION_S = 10.0
"""Seconds for which a trial keeps others of the same request back: longer than most
requests take."""

SHORT_TRIAL_DURATION_S = 2.0
"""The same while crashes overlap and do not prove much: the trial may have failed for
another reason, and callers of a sound request should not wait for long."""

MAX_CRASHES = 12
"""Crashes that are kept: the longest hold needs nine in turn."""

MAX_OVERLAP_S = 0.05
"""Seconds by which attempts in turn may seem to overlap: times travel between VMs as
ages, which the way lengthens."""

MAX_OVERLAP_SHARE = 0.5
"""The same as a share of the attempt. Short work that breaks together in one moment
would otherwise seem to have begun after it."""


TIME_TOLERANCE_S = 0.25
"""Seconds by which two times of the same event may differ: each VM that passes it on
adds the way. Without this, records would seem new for ever."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Crash:
    """A target crashed while it held the request; times of a steady clock."""

    ended_at: float
    """When the attempt broke off."""

    duration: float
    """Seconds from its sending until then."""

    target: str
    """Which start of which target."""

    @property
    def started_at(self) -> float:
        """When the attempt was sent."""
        return self.ended_at - self.duration


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """The record of one request."""

    crashes: tuple[Crash, ...] = ()
    """Crashes, in the order of their times, one for each target."""

    answered_at: float = -math.inf
    """When a target last answered it."""

    tried_at: float = -math.inf
    """When its last trial after a quarantine began."""

    def merge(self, other: Suspect) -> Suspect:
        """Return what both records know together."""
        # The way makes times later, so that the earliest is the most exact.
        both = sorted((*self.crashes, *other.crashes), reverse=True)
        by_target = {one.target: one for one in both}
        answered_at = _choose_later(self.answered_at, other.answered_at)
        counted = [
            one
            for one in sorted(by_target.values())
            if one.started_at > answered_at + ANSWER_TRUST_DURATION_S
        ]
        return Suspect(
            tuple(counted[-MAX_CRASHES:]),
            answered_at,
            _choose_later(self.tried_at, other.tried_at),
        )

    def count_consecutive(self) -> int:
        """Return how many crashes followed each other, without overlapping."""
        count, last = 0, -math.inf
        for one in self.crashes:
            overlap = min(MAX_OVERLAP_S, MAX_OVERLAP_SHARE * one.duration)
            if one.started_at >= last - overlap:
                count += 1
                last = one.ended_at
        return count

    @property
    def needs_trial(self) -> bool:
        """Whether the request may go to one target at a time only."""
        return len(self.crashes) >= CRASHES_TO_QUARANTINE

    def find_hold_end(self) -> float:
        """Return until when the request is kept from all targets; -inf for not at all.

        Each further crash doubles the time, as the trials after it tell ever less.
        """
        if not self.needs_trial:
            return -math.inf
        beyond = self.count_consecutive() - CRASHES_TO_QUARANTINE
        latest = self.crashes[-1].ended_at
        is_on_trial = self.tried_at > latest
        if beyond < 0:
            return self.tried_at + SHORT_TRIAL_DURATION_S if is_on_trial else -math.inf
        hold_until = latest + min(MAX_HOLD_S, INITIAL_HOLD_S * 2.0**beyond)
        trial_until = self.tried_at + TRIAL_DURATION_S if is_on_trial else hold_until
        return max(hold_until, trial_until)

    def is_quarantined(self, now: float) -> bool:
        """Return whether the request is kept from all targets."""
        return now < self.find_hold_end()

    def adds_to(self, known: Suspect) -> bool:
        """Return whether it says more than another record, times apart."""
        targets = {one.target for one in self.crashes}
        return (
            targets != {one.target for one in known.crashes}
            or self.answered_at != known.answered_at
            or self.tried_at != known.tried_at
        )

    def age(self, seconds: float) -> Suspect:
        """Return the record with all times that much earlier."""
        crashes = tuple(
            Crash(one.ended_at - seconds, one.duration, one.target)
            for one in self.crashes
        )
        return Suspect(crashes, self.answered_at - seconds, self.tried_at - seconds)


def _choose_later(known: float, heard: float) -> float:
    return heard if heard > known + TIME_TOLERANCE_S else known
