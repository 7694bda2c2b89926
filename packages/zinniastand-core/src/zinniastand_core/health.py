"""What one VM knows of the health of a service's targets, from real outcomes."""

from __future__ import annotations

import collections
import dataclasses
import typing

from . import evidence, latencies

DECAY = 0.98
FORGET_PER_SECOND = 0.15
OVERDUE_FACTOR = 2.0
SUSPECT_SHARE = 0.5
HALF = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A target seen through one kind of work."""

    target: str
    """Name of the target."""

    kind: str
    """Name of the kind: a target may fail one kind only."""


class _Rates:
    """Decaying counts of one target, for the baseline of the others."""

    def __init__(self) -> None:
        self.good = 0.0
        self.error = 0.0
        self.slow = 0.0

    def add(self, tally: evidence.Tally) -> None:
        keep = DECAY**tally.total
        self.good = self.good * keep + tally.good
        self.error = self.error * keep + tally.error
        self.slow = self.slow * keep + tally.slow


class Health:
    """Scores of the targets of one service, as far as one VM sees them.

    Parameters
    ----------
    threshold : float
        Score at which a target counts as failing.
    """

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self._scores: dict[Subject, evidence.Score] = {}
        self._rates: dict[str, dict[str, _Rates]] = collections.defaultdict(dict)
        self._latencies: dict[str, latencies.Latencies] = {}
        self._fresh: dict[Subject, evidence.Tally] = {}
        self._moved_at: dict[Subject, float] = {}

    def judge_latency(self, subject: Subject, latency: float) -> evidence.Sign:
        """Return what a whole answer's latency says, and remember it."""
        known = self._latencies.setdefault(subject.kind, latencies.Latencies())
        limit = known.find_limit(subject.target)
        known.add(subject.target, latency)
        if limit is not None and latency > limit:
            return evidence.Sign.SLOW
        return evidence.Sign.GOOD

    def find_overdue_after(self, subject: Subject) -> float | None:
        """Return the seconds after which no answer yet counts as a slow one."""
        known = self._latencies.get(subject.kind)
        limit = known.find_limit(subject.target) if known else None
        return None if limit is None else OVERDUE_FACTOR * limit

    def find_typical_latency(self, kind: str) -> float | None:
        """Return the median latency of a kind, or None while unknown."""
        known = self._latencies.get(kind)
        return known.find_typical() if known else None

    def observe(self, subject: Subject, sign: evidence.Sign, now: float) -> None:
        """Take in one outcome."""
        tally = evidence.Tally(
            good=int(sign is evidence.Sign.GOOD),
            error=int(sign is evidence.Sign.ERROR),
            slow=int(sign is evidence.Sign.SLOW),
        )
        baseline = self.find_baseline(subject)
        score = self._scores.setdefault(subject, evidence.Score())
        score.add(tally, baseline)
        self._moved_at[subject] = now
        rates = self._rates[subject.kind].setdefault(subject.target, _Rates())
        rates.add(tally)
        self._fresh[subject] = self._fresh.get(subject, evidence.Tally()) + tally

    def find_baseline(self, subject: Subject) -> evidence.Baseline:
        """Return how the service's other targets do in the same kind of work."""
        good = error = slow = 0.0
        for target, rates in self._rates[subject.kind].items():
            if target != subject.target:
                good += rates.good
                error += rates.error
                slow += rates.slow
        total = good + error + slow
        if total < 1.0:
            return evidence.Baseline()
        # One notional good answer keeps a single error from setting the rate.
        return evidence.Baseline(error / (total + 1.0), slow / (total + 1.0))

    def find_level(self, target: str, now: float) -> float:
        """Return the highest score of a target over all kinds.

        A score that nothing feeds sinks with time: without it a target that gets no
        work could never clear itself.
        """
        levels = [
            self._sink(subject, score, now)
            for subject, score in self._scores.items()
            if subject.target == target
        ]
        return max(levels, default=0.0)

    def find_level_of(self, subject: Subject, now: float) -> float:
        """Return the score of a target in one kind of work."""
        score = self._scores.get(subject)
        return self._sink(subject, score, now) if score else 0.0

    def list_suspects(self, now: float) -> set[str]:
        """Return the targets whose score is at least half of the threshold."""
        return {
            subject.target
            for subject, score in self._scores.items()
            if self._sink(subject, score, now) >= HALF * self.threshold
        }

    def doubts_itself(self, targets: typing.Collection[str], now: float) -> bool:
        """Return whether so many targets look bad that the observer may be at fault.

        A slow VM, or one behind a bad link, sees failures everywhere. Such a VM goes
        on steering its own work but keeps its evidence to itself.
        """
        suspects = self.list_suspects(now).intersection(targets)
        return len(suspects) >= 2 and len(suspects) > SUSPECT_SHARE * len(targets)

    def take_fresh(self) -> dict[Subject, evidence.Tally]:
        """Return and forget the outcomes counted since the last call."""
        fresh = self._fresh
        self._fresh = {}
        return fresh

    def forget(self, target: str, level: float = 0.0) -> None:
        """Begin anew with a target, for instance after a time out of service."""
        for subject, score in self._scores.items():
            if subject.target == target:
                score.reset(level)

    def keep_only(self, targets: typing.Collection[str]) -> None:
        """Drop what is known of targets that are gone."""
        gone = [s for s in self._scores if s.target not in targets]
        for subject in gone:
            del self._scores[subject]
            self._moved_at.pop(subject, None)
            self._fresh.pop(subject, None)
            self._rates[subject.kind].pop(subject.target, None)

    def _sink(self, subject: Subject, score: evidence.Score, now: float) -> float:
        idle = now - self._moved_at.get(subject, now)
        return max(0.0, score.level - FORGET_PER_SECOND * idle)
