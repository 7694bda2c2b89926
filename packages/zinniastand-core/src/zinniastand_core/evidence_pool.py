"""Evidence of many VMs about one service, summed where no VM alone sees enough.

Steering follows the sum at once. Ejection is rarer: the VMs of two data centres must
each find the target failing, for some time, while most of the service looks well. One
observer or one link cannot bring that about, nor can a fault that is everybody's.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from . import baselines, evidence

MIN_ACCUSING_DATA_CENTRES = 2
DATA_CENTRE_SHARE = 0.6
MASS_FAULT_SHARE = 0.34
MIN_MASS_FAULT_TARGETS = 2
MASS_FAULT_PAUSE_S = 5.0
MIN_FAILING_DURATION_S = 1.4
ACCUSATION_RETENTION_S = 30.0
SUSPECT_THRESHOLD_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Observer:
    """A VM that reports evidence."""

    vm: str
    """Name of the VM."""

    data_centre: str
    """Where it runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObserverCounts:
    """How many can be asked to agree."""

    vms: int
    """VMs known to be alive."""

    data_centres: int
    """Data centres in which they run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Fresh outcomes of one target and kind, from one VM."""

    subject: baselines.Subject
    """What they are about."""

    tally: evidence.Tally
    """Outcomes since this VM's last report."""


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """The score of one target."""

    target: str
    """Name of the target."""

    overall: float
    """Score over all VMs, where several data centres accuse; else 0."""

    by_data_centre: tuple[tuple[str, float], ...]
    """Score of each accusing data centre's own VMs."""

    def find_for(self, data_centre: str) -> float:
        """Return the score that a VM of a data centre should go by.

        A link that is bad from one data centre concerns the VMs there, and no others.
        """
        return max(self.overall, dict(self.by_data_centre).get(data_centre, 0.0))


class _PooledScores:
    """What has been pooled about one subject."""

    def __init__(self) -> None:
        self.overall = evidence.Score()
        self.places: dict[str, evidence.Score] = {}
        self.accused_at = 0.0

    def add(
        self, place: str, tally: evidence.Tally, baseline: evidence.Baseline
    ) -> None:
        """Take in outcomes that the VMs of one data centre saw."""
        self.overall.add(tally, baseline)
        self.places.setdefault(place, evidence.Score()).add(tally, baseline)


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
        """Take in what one observer saw."""
        tally = report.tally
        self._baselines.add(report.subject, tally)
        accuses = tally.error + tally.slow > 0
        case = self._scores.get(report.subject)
        if case is None:
            if not accuses:
                return
            case = self._scores[report.subject] = _PooledScores()
        case.add(observer.data_centre, tally, self._baselines.find(report.subject))
        if accuses:
            case.accused_at = now

    def list_levels(self, watch: ObserverCounts, now: float) -> list[Level]:
        """Return the score of each accused target, over all kinds of work."""
        found: dict[str, Level] = {}
        for subject, case in self._scores.items():
            if now - case.accused_at > ACCUSATION_RETENTION_S:
                continue
            level = self._make_level(subject.target, case, watch)
            known = found.get(subject.target)
            found[subject.target] = _merge(known, level) if known else level
        return list(found.values())

    def list_ejectable(
        self,
        places: collections.abc.Mapping[str, str],
        watch: ObserverCounts,
        now: float,
    ) -> list[Level]:
        """Return the targets fit for ejection, worst first.

        Parameters
        ----------
        places : mapping
            Data centre of each target that is in service.
        watch : Watch
            Who could have reported.
        now : float
            Unix seconds.
        """
        levels = {v.target: v for v in self.list_levels(watch, now)}
        suspects = {name for name in places if self._is_suspect(levels.get(name))}
        if self._is_mass_fault(suspects, places, now):
            return []
        bad = {
            name
            for name in suspects
            if levels[name].overall >= self.threshold
            and not _blames_link(name, suspects, places)
        }
        for name in set(self._failing_since) - bad:
            del self._failing_since[name]
        for name in bad:
            self._failing_since.setdefault(name, now)
        ripe = [
            n for n in bad if now - self._failing_since[n] >= MIN_FAILING_DURATION_S
        ]
        return sorted(
            (levels[name] for name in ripe), key=lambda v: (-v.overall, v.target)
        )

    def forget(self, target: str) -> None:
        """Drop what was pooled about a target."""
        for subject in [s for s in self._scores if s.target == target]:
            del self._scores[subject]
        self._baselines.forget(target)
        self._failing_since.pop(target, None)

    def _make_level(
        self, target: str, case: _PooledScores, watch: ObserverCounts
    ) -> Level:
        by_place = tuple(
            (place, score.level)
            for place, score in sorted(case.places.items())
            if score.level > 0
        )
        needed = min(MIN_ACCUSING_DATA_CENTRES, watch.data_centres)
        accusers = [
            level
            for _, level in by_place
            if level >= SUSPECT_THRESHOLD_SHARE * self.threshold
        ]
        overall = case.overall.level if len(accusers) >= needed else 0.0
        return Level(target, overall, by_place)

    def _is_suspect(self, level: Level | None) -> bool:
        if level is None:
            return False
        highest = max((score for _, score in level.by_data_centre), default=0.0)
        return max(level.overall, highest) >= SUSPECT_THRESHOLD_SHARE * self.threshold

    def _is_mass_fault(
        self,
        suspects: set[str],
        places: collections.abc.Mapping[str, str],
        now: float,
    ) -> bool:
        """Return whether much of the service looks bad, or did a moment ago.

        Then the fault is everybody's, or the observers'. Until the baseline has
        followed, the evidence is worth nothing, and ejecting would only move the load
        onto the rest.
        """
        if len(suspects) >= MIN_MASS_FAULT_TARGETS and len(
            suspects
        ) > MASS_FAULT_SHARE * len(places):
            self._paused_until = now + MASS_FAULT_PAUSE_S
            self._failing_since.clear()
        return now < self._paused_until


def _merge(one: Level, other: Level) -> Level:
    places = dict(one.by_data_centre)
    for place, level in other.by_data_centre:
        places[place] = max(level, places.get(place, 0.0))
    overall = max(one.overall, other.overall)
    return Level(one.target, overall, tuple(sorted(places.items())))


def _blames_link(
    target: str, suspects: set[str], places: collections.abc.Mapping[str, str]
) -> bool:
    """Return whether most of the target's data centre looks bad at once."""
    home = places[target]
    neighbours = [name for name, where in places.items() if where == home]
    bad = [name for name in neighbours if name in suspects]
    return len(bad) >= MIN_MASS_FAULT_TARGETS and len(bad) > DATA_CENTRE_SHARE * len(
        neighbours
    )
