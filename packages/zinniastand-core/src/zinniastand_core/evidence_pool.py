"""Pools the evidence of many VMs about the targets of one service.

A single VM often sees too few outcomes to judge a target. Routing follows the pooled
scores at once. Ejection needs more: the VMs of two data centres must each find the
target failing for `MIN_FAILING_DURATION_S`, while most of the service looks healthy.
Neither one observer, one broken link nor a fault of the whole service can eject.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from . import baselines, evidence

MIN_ACCUSING_DATA_CENTRES = 2
"""Data centres whose VMs must accuse a target, or all if there are fewer."""

LINK_FAULT_SHARE = 0.6
"""Share of a data centre's targets above which suspects are blamed on its link."""

MASS_FAULT_SHARE = 0.34
"""Share of a service's targets above which suspects count as a mass fault."""

MIN_MASS_FAULT_TARGETS = 2
"""Suspects below which neither a fault of the link nor a mass fault is assumed."""

MASS_FAULT_PAUSE_S = 5.0
"""Time without ejections after a mass fault was last seen."""

MIN_FAILING_DURATION_S = 1.4
"""Time for which a target must be failing before it may be ejected."""

ACCUSATION_RETENTION_S = 30.0
"""Time for which a target is listed after its last bad outcome."""

SUSPECT_THRESHOLD_SHARE = 0.5
"""Share of the threshold from which on a score makes its target a suspect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observer:
    """VM that reports evidence."""

    vm: str
    """Name of the VM."""

    data_centre: str
    """Data centre in which the VM runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObserverCounts:
    """How many VMs and data centres can contribute evidence."""

    vms: int
    """VMs known to be alive, including the VM that counts."""

    data_centres: int
    """Data centres in which they run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Outcomes of one target and kind of work that one VM has not reported before."""

    subject: baselines.Subject
    """Target and kind of work."""

    tally: evidence.Tally
    """Outcomes since this VM's previous report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Pooled score of one target."""

    target: str
    """Name of the target."""

    overall: float
    """Score over all VMs if enough data centres accuse the target, else 0."""

    by_data_centre: tuple[tuple[str, float], ...]
    """Positive scores from the VMs of each data centre alone, sorted by name."""

    def find_for(self, data_centre: str) -> float:
        """Return the score that VMs of a data centre should use for routing.

        A link that is bad from one data centre affects only the VMs in it.
        """
        return max(self.overall, dict(self.by_data_centre).get(data_centre, 0.0))


class _PooledScores:
    """Scores pooled for one target and kind of work."""

    def __init__(self) -> None:
        self.overall = evidence.Score()
        self.scores_by_data_centre: dict[str, evidence.Score] = {}
        self.accused_at = 0.0

    def add(
        self,
        observing_data_centre: str,
        tally: evidence.Tally,
        baseline: evidence.Baseline,
    ) -> None:
        """Add outcomes seen by the VMs of one data centre."""
        self.overall.add(tally, baseline)
        self.scores_by_data_centre.setdefault(
            observing_data_centre, evidence.Score()
        ).add(tally, baseline)


class EvidencePool:
    """Pooled scores of the targets of one service.

    Parameters
    ----------
    threshold : float
        Score at which a target counts as failing.
    """

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self._scores: dict[baselines.Subject, _PooledScores] = {}
        self._baselines = baselines.Baselines()
        self._failing_since: dict[str, float] = {}
        self._paused_until = 0.0

    def add(self, observer: Observer, report: Report, now: float) -> None:
        """Add the outcomes reported by one observer."""
        tally = report.tally
        self._baselines.add(report.subject, tally)
        accuses = tally.error + tally.slow > 0
        pooled = self._scores.get(report.subject)
        if pooled is None:
            if not accuses:
                return
            pooled = self._scores[report.subject] = _PooledScores()
        pooled.add(observer.data_centre, tally, self._baselines.find(report.subject))
        if accuses:
            pooled.accused_at = now

    def list_levels(self, observer_counts: ObserverCounts, now: float) -> list[Level]:
        """Return the highest score of each accused target over all kinds of work.

        Targets without a bad outcome for `ACCUSATION_RETENTION_S` are left out.
        """
        highest_levels: dict[str, Level] = {}
        for subject, pooled in self._scores.items():
            if now - pooled.accused_at > ACCUSATION_RETENTION_S:
                continue
            level = self._make_level(subject.target, pooled, observer_counts)
            previous = highest_levels.get(subject.target)
            highest_levels[subject.target] = (
                _merge(previous, level) if previous else level
            )
        return list(highest_levels.values())

    def list_ejectable(
        self,
        target_data_centres: collections.abc.Mapping[str, str],
        observer_counts: ObserverCounts,
        now: float,
    ) -> list[Level]:
        """Return the targets that may be ejected, highest score first.

        Parameters
        ----------
        target_data_centres : mapping
            Data centre of each target that is in service.
        observer_counts : ObserverCounts
            VMs and data centres that can contribute evidence.
        now : float
            Unix seconds.
        """
        levels = {v.target: v for v in self.list_levels(observer_counts, now)}
        suspects = {
            name for name in target_data_centres if self._is_suspect(levels.get(name))
        }
        if self._is_mass_fault(suspects, target_data_centres, now):
            return []
        bad = {
            name
            for name in suspects
            if levels[name].overall >= self.threshold
            and not _blames_link(name, suspects, target_data_centres)
        }
        for name in set(self._failing_since) - bad:
            del self._failing_since[name]
        for name in bad:
            self._failing_since.setdefault(name, now)
        sustained = [
            n for n in bad if now - self._failing_since[n] >= MIN_FAILING_DURATION_S
        ]
        return sorted(
            (levels[name] for name in sustained), key=lambda v: (-v.overall, v.target)
        )

    def forget(self, target: str) -> None:
        """Drop all evidence about a target."""
        for subject in [s for s in self._scores if s.target == target]:
            del self._scores[subject]
        self._baselines.forget(target)
        self._failing_since.pop(target, None)

    def _make_level(
        self, target: str, pooled: _PooledScores, observer_counts: ObserverCounts
    ) -> Level:
        level_by_data_centre = tuple(
            (observing_data_centre, score.level)
            for observing_data_centre, score in sorted(
                pooled.scores_by_data_centre.items()
            )
            if score.level > 0
        )
        needed = min(MIN_ACCUSING_DATA_CENTRES, observer_counts.data_centres)
        accusers = [
            level
            for _, level in level_by_data_centre
            if level >= SUSPECT_THRESHOLD_SHARE * self.threshold
        ]
        overall = pooled.overall.level if len(accusers) >= needed else 0.0
        return Level(target, overall, level_by_data_centre)

    def _is_suspect(self, level: Level | None) -> bool:
        if level is None:
            return False
        highest = max((score for _, score in level.by_data_centre), default=0.0)
        return max(level.overall, highest) >= SUSPECT_THRESHOLD_SHARE * self.threshold

    def _is_mass_fault(
        self,
        suspects: set[str],
        target_data_centres: collections.abc.Mapping[str, str],
        now: float,
    ) -> bool:
        """Return whether much of the service looks bad, or did recently.

        The fault then lies in the whole service or with the observers. Until the
        baseline has adapted (`MASS_FAULT_PAUSE_S`), the evidence says nothing about
        single targets, and ejecting would only move the load onto the others.
        """
        if len(suspects) >= MIN_MASS_FAULT_TARGETS and len(
            suspects
        ) > MASS_FAULT_SHARE * len(target_data_centres):
            self._paused_until = now + MASS_FAULT_PAUSE_S
            self._failing_since.clear()
        return now < self._paused_until


def _merge(first: Level, second: Level) -> Level:
    merged = dict(first.by_data_centre)
    for observing_data_centre, level in second.by_data_centre:
        merged[observing_data_centre] = max(
            level, merged.get(observing_data_centre, 0.0)
        )
    overall = max(first.overall, second.overall)
    return Level(first.target, overall, tuple(sorted(merged.items())))


def _blames_link(
    target: str,
    suspects: set[str],
    target_data_centres: collections.abc.Mapping[str, str],
) -> bool:
    """Return whether most targets in the target's data centre look bad at once.

    The link to the data centre is then a likelier cause than its targets.
    """
    own_data_centre = target_data_centres[target]
    neighbours = [
        name
        for name, location in target_data_centres.items()
        if location == own_data_centre
    ]
    bad = [name for name in neighbours if name in suspects]
    return len(bad) >= MIN_MASS_FAULT_TARGETS and len(bad) > LINK_FAULT_SHARE * len(
        neighbours
    )
