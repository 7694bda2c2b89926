"""What one VM knows of the health of a service's targets, from real outcomes."""

from __future__ import annotations

import typing

from . import baselines, evidence, latencies

SCORE_DECAY_PER_S = 0.15
OVERDUE_FACTOR = 2.0
SUSPECT_SHARE = 0.5
SUSPECT_SCORE_RATIO = 0.5


class _Record:
    """What is known of one subject."""

    def __init__(self) -> None:
        self.score = evidence.Score()
        self.moved_at = 0.0

    def find_level(self, now: float) -> float:
        """Return the score, sunk since anything last fed it.

        Without sinking, a target that gets no work could never clear itself.
        """
        idle = max(0.0, now - self.moved_at)
        return max(0.0, self.score.level - SCORE_DECAY_PER_S * idle)


class Health:
    """Scores of the targets of one service, as far as one VM sees them.

    Parameters
    ----------
    threshold : float
        Score at which a target counts as failing.
    """

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self._records: dict[str, dict[str, _Record]] = {}
        self._baselines = baselines.Baselines()
        self._latencies: dict[str, latencies.Latencies] = {}
        self._fresh: dict[baselines.Subject, evidence.Tally] = {}

    def judge_latency(
        self, subject: baselines.Subject, latency: float
    ) -> evidence.Sign:
        """Return what a whole answer's latency says, and remember it."""
        known = self._latencies.setdefault(subject.kind, latencies.Latencies())
        limit = known.find_limit(subject.target)
        known.add(subject.target, latency)
        if limit is not None and latency > limit:
            return evidence.Sign.SLOW
        return evidence.Sign.GOOD

    def find_overdue_after(self, subject: baselines.Subject) -> float | None:
        """Return the seconds after which no answer yet counts as a slow one."""
        known = self._latencies.get(subject.kind)
        limit = known.find_limit(subject.target) if known else None
        return None if limit is None else OVERDUE_FACTOR * limit

    def find_typical_latency(self, kind: str) -> float | None:
        """Return the median latency of a kind, or None while unknown."""
        known = self._latencies.get(kind)
        return known.find_typical() if known else None

    def observe(
        self, subject: baselines.Subject, sign: evidence.Sign, now: float
    ) -> None:
        """Take in one outcome."""
        tally = evidence.Tally(
            good=int(sign is evidence.Sign.GOOD),
            error=int(sign is evidence.Sign.ERROR),
            slow=int(sign is evidence.Sign.SLOW),
        )
        record = self._find_record(subject)
        is_idle = record.score.level == 0.0 and sign is evidence.Sign.GOOD
        if not is_idle:
            record.score.add(tally, self._baselines.find(subject))
        record.moved_at = now
        self._baselines.add(subject, tally)
        self._fresh[subject] = self._fresh.get(subject, evidence.Tally()) + tally

    def find_level(self, target: str, now: float) -> float:
        """Return the highest score of a target over all kinds."""
        records = self._records.get(target, {}).values()
        return max((record.find_level(now) for record in records), default=0.0)

    def list_suspects(self, now: float) -> set[str]:
        """Return the targets whose score is at least half of the threshold."""
        return {
            target
            for target in self._records
            if self.find_level(target, now) >= SUSPECT_SCORE_RATIO * self.threshold
        }

    def suspects_observer(self, targets: typing.Collection[str], now: float) -> bool:
        """Return whether so many targets look bad that the observer may be at fault.

        A slow VM, or one behind a bad link, sees failures everywhere. Such a VM goes
        on steering its own work but keeps its evidence to itself.
        """
        suspects = self.list_suspects(now).intersection(targets)
        return len(suspects) >= 2 and len(suspects) > SUSPECT_SHARE * len(targets)

    def take_unsent(self) -> dict[baselines.Subject, evidence.Tally]:
        """Return and forget the outcomes counted since the last call."""
        fresh = self._fresh
        self._fresh = {}
        return fresh

    def reset(self, target: str, level: float = 0.0) -> None:
        """Begin anew with a target, for instance after a time out of service."""
        for record in self._records.get(target, {}).values():
            record.score.reset(level)

    def keep_only(self, targets: typing.Collection[str]) -> None:
        """Drop what is known of targets that are gone."""
        for target in [name for name in self._records if name not in targets]:
            del self._records[target]
            self._baselines.forget(target)
        for subject in [s for s in self._fresh if s.target not in targets]:
            del self._fresh[subject]

    def _find_record(self, subject: baselines.Subject) -> _Record:
        kinds = self._records.setdefault(subject.target, {})
        record = kinds.get(subject.kind)
        if record is None:
            record = kinds[subject.kind] = _Record()
        return record
