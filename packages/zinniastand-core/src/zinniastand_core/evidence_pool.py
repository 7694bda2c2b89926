"""Evidence of many VMs about one service, summed where no VM alone sees enough.

Steering follows the sum at once. Ejection is rarer: the VMs of two data centres must
each find the target failing, for some time, while most of the service looks well. One
observer or one link cannot bring that about, nor can a fault that is everybody's.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from . import baselines, evidence

ACCUSERS_NEEDED = 2
GROUP_SHARE = 0.6
MASS_SHARE = 0.34
MASS_LEAST = 2
MASS_PAUSE = 5.0
SUSTAINED_FOR = 1.4
MEMORY = 30.0
HALF = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Observer:
    """A VM that reports evidence."""

    vm: str
    """Name of the VM."""

    data_centre: str
    """Where it runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
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


class _Case:
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
        self._cases: dict[baselines.Subject, _Case] = {}
        self._baselines = baselines.Baselines()
        self._condemned_since: dict[str, float] = {}
        self._calm_at = 0.0

    def add(self, observer: Observer, report: Report, now: float) -> None:
        """Take in what one observer saw."""
        tally = report.tally
        self._baselines.add(report.subject, tally)
        accuses = tally.error + tally.slow > 0
        case = self._cases.get(report.subject)
        if case is None:
            if not accuses:
                return
            case = self._cases[report.subject] = _Case()
        case.add(observer.data_centre, tally, self._baselines.find(report.subject))
        if accuses:
            case.accused_at = now

    def list_levels(self, watch: Watch, now: float) -> list[Level]:
        """Return the score of each accused target, over all kinds of work."""
        found: dict[str, Level] = {}
        for subject, case in self._cases.items():
            if now - case.accused_at > MEMORY:
                continue
            level = self._judge(subject.target, case, watch)
            known = found.get(subject.target)
            found[subject.target] = _merge(known, level) if known else level
        return list(found.values())

    def list_condemned(
        self,
        places: collections.abc.Mapping[str, str],
        watch: Watch,
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
        if self._look_for_mass(suspects, places, now):
            return []
        bad = {
            name
            for name in suspects
            if levels[name].overall >= self.threshold
            and not _blames_link(name, suspects, places)
        }
        for name in set(self._condemned_since) - bad:
            del self._condemned_since[name]
        for name in bad:
            self._condemned_since.setdefault(name, now)
        ripe = [n for n in bad if now - self._condemned_since[n] >= SUSTAINED_FOR]
        return sorted(
            (levels[name] for name in ripe), key=lambda v: (-v.overall, v.target)
        )

    def forget(self, target: str) -> None:
        """Drop what was pooled about a target."""
        for subject in [s for s in self._cases if s.target == target]:
            del self._cases[subject]
        self._baselines.forget(target)
        self._condemned_since.pop(target, None)

    def _judge(self, target: str, case: _Case, watch: Watch) -> Level:
        by_place = tuple(
            (place, score.level)
            for place, score in sorted(case.places.items())
            if score.level > 0
        )
        needed = min(ACCUSERS_NEEDED, watch.data_centres)
        accusers = [level for _, level in by_place if level >= HALF * self.threshold]
        overall = case.overall.level if len(accusers) >= needed else 0.0
        return Level(target, overall, by_place)

    def _is_suspect(self, level: Level | None) -> bool:
        if level is None:
            return False
        highest = max((score for _, score in level.by_data_centre), default=0.0)
        return max(level.overall, highest) >= HALF * self.threshold

    def _look_for_mass(
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
        if len(suspects) >= MASS_LEAST and len(suspects) > MASS_SHARE * len(places):
            self._calm_at = now + MASS_PAUSE
            self._condemned_since.clear()
        return now < self._calm_at


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
    return len(bad) >= MASS_LEAST and len(bad) > GROUP_SHARE * len(neighbours)
