"""Health scores of a service's targets, from the outcomes that one VM saw."""

from __future__ import annotations

import typing

from . import baselines, evidence, latencies

SCORE_DECAY_PER_S = 0.15
"""Amount by which a score falls per second without an outcome."""

OVERDUE_FACTOR = 2.0
"""Factor on the latency limit after which a missing answer counts as slow."""

MAX_SUSPECT_SHARE = 0.5
"""Share of suspects among the targets above which this VM may itself be at fault."""

SUSPECT_SCORE_RATIO = 0.5
"""Ratio of score to threshold from which on a target is a suspect."""


class _Record:
    """The score of one subject, and when it last changed."""

    def __init__(self) -> None:
        self.score = evidence.Score()
        self.updated_at = 0.0

    def find_level(self, now: float) -> float:
        """Return the score, reduced by the time since the last outcome.

        Without this decay, a target that gets no work could never lower its score.
        """
        idle = max(0.0, now - self.updated_at)
        return max(0.0, self.score.level - SCORE_DECAY_PER_S * idle)


class Health:
    """Scores of the targets of one service, from the outcomes seen by one VM.

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
        self._unsent: dict[baselines.Subject, evidence.Tally] = {}

    def judge_latency(
        self, subject: baselines.Subject, latency: float
    ) -> evidence.Sign:
        """Judge the latency of a complete answer, and record it for later ones.

        Parameters
        ----------
        subject : baselines.Subject
            Target and kind of work that gave the answer.
        latency : float
            Seconds from sending the request to the end of the answer.

        Returns
        -------
        evidence.Sign
            SLOW above the limit set by the other targets, else GOOD; also GOOD while
            the limit is unknown.
        """
        recent = self._latencies.setdefault(subject.kind, latencies.Latencies())
        limit = recent.find_limit(subject.target)
        recent.add(subject.target, latency)
        if limit is not None and latency > limit:
            return evidence.Sign.SLOW
        return evidence.Sign.GOOD

    def find_overdue_after(self, subject: baselines.Subject) -> float | None:
        """Return the seconds after which a missing answer counts as a slow one.

        Returns None while the latency limit of the target is unknown.
        """
        recent = self._latencies.get(subject.kind)
        limit = recent.find_limit(subject.target) if recent else None
        return None if limit is None else OVERDUE_FACTOR * limit

    def find_typical_latency(self, kind: str) -> float | None:
        """Return the median latency of a kind in seconds, or None while unknown."""
        recent = self._latencies.get(kind)
        return recent.find_typical() if recent else None

    def observe(
        self, subject: baselines.Subject, sign: evidence.Sign, now: float
    ) -> None:
        """Update the score and the baselines with one outcome.

        Parameters
        ----------
        subject : baselines.Subject
            Target and kind of work.
        sign : evidence.Sign
            Whether the answer was good, slow or an error.
        now : float
            Unix seconds.
        """
        tally = evidence.Tally(
            good=int(sign is evidence.Sign.GOOD),
            error=int(sign is evidence.Sign.ERROR),
            slow=int(sign is evidence.Sign.SLOW),
        )
        record = self._find_record(subject)
        is_unchanged = record.score.level == 0.0 and sign is evidence.Sign.GOOD
        if not is_unchanged:
            record.score.add(tally, self._baselines.find(subject))
        record.updated_at = now
        self._baselines.add(subject, tally)
        self._unsent[subject] = self._unsent.get(subject, evidence.Tally()) + tally

    def find_level(self, target: str, now: float) -> float:
        """Return the highest score of a target over all kinds."""
        records = self._records.get(target, {}).values()
        return max((record.find_level(now) for record in records), default=0.0)

    def list_suspects(self, now: float) -> set[str]:
        """Return the targets with at least `SUSPECT_SCORE_RATIO` of the threshold."""
        return {
            target
            for target in self._records
            if self.find_level(target, now) >= SUSPECT_SCORE_RATIO * self.threshold
        }

    def suspects_observer(self, targets: typing.Collection[str], now: float) -> bool:
        """Return whether so many targets look bad that this VM may be at fault.

        A slow VM, or one behind a bad link, sees failures everywhere. Such a VM still
        steers its own work, but does not send its evidence to other VMs.
        """
        suspects = self.list_suspects(now).intersection(targets)
        return len(suspects) >= 2 and len(suspects) > MAX_SUSPECT_SHARE * len(targets)

    def take_unsent(self) -> dict[baselines.Subject, evidence.Tally]:
        """Return the outcomes counted since the last call, and start counting again."""
        unsent = self._unsent
        self._unsent = {}
        return unsent

    def reset_scores(self, target: str, level: float = 0.0) -> None:
        """Set all scores of a target to `level`, for instance when it is readmitted."""
        for record in self._records.get(target, {}).values():
            record.score.reset(level)

    def keep_only(self, targets: typing.Collection[str]) -> None:
        """Remove everything recorded about targets that are not in `targets`."""
        for target in [name for name in self._records if name not in targets]:
            del self._records[target]
            self._baselines.forget(target)
        for subject in [s for s in self._unsent if s.target not in targets]:
            del self._unsent[subject]

    def _find_record(self, subject: baselines.Subject) -> _Record:
        kinds = self._records.setdefault(subject.target, {})
        record = kinds.get(subject.kind)
        if record is None:
            record = kinds[subject.kind] = _Record()
        return record
