"""Evidence of many VMs about one service, summed where no VM alone sees enough.

A VM sends its fresh tallies to the few VMs that pool a service. One observer, or the
observers of one data centre, can bring a target only part of the way to the threshold:
a bad link or a sick observer cannot condemn a target that others find healthy.
"""

from __future__ import annotations

import collections
import dataclasses

from . import baselines, evidence

OBSERVERS_NEEDED = 3
DATA_CENTRE_SHARE = 0.7
GROUP_SHARE = 0.6
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


class _Case:
    """What has been pooled about one subject."""

    def __init__(self) -> None:
        self.score = evidence.Score()
        self.accusations: dict[Observer, float] = collections.defaultdict(float)
        self.moved_at = 0.0


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

    def add(self, observer: Observer, report: Report, now: float) -> None:
        """Take in what one observer saw."""
        self._baselines.add(report.subject, report.tally)
        accuses = report.tally.error + report.tally.slow > 0
        case = self._cases.get(report.subject)
        if case is None:
            if not accuses:
                return
            case = self._cases[report.subject] = _Case()
        before = case.score.level
        case.score.add(report.tally, self._baselines.find(report.subject))
        case.moved_at = now
        gained = case.score.level - before
        if gained > 0:
            case.accusations[observer] += gained
        elif case.score.level == 0.0:
            case.accusations.clear()

    def find_level(self, subject: baselines.Subject, watch: Watch, now: float) -> float:
        """Return the score that the accusations of several observers support."""
        case = self._cases.get(subject)
        if case is None or now - case.moved_at > MEMORY:
            return 0.0
        return min(case.score.level, self._find_support(case, watch))

    def list_levels(self, watch: Watch, now: float) -> dict[str, float]:
        """Return the level of each accused target, over all kinds."""
        levels: dict[str, float] = {}
        for subject in self._cases:
            level = self.find_level(subject, watch, now)
            if level > levels.get(subject.target, 0.0):
                levels[subject.target] = level
        return levels

    def list_condemned(
        self, data_centres: dict[str, str], watch: Watch, now: float
    ) -> list[str]:
        """Return the targets fit for ejection, worst first.

        Parameters
        ----------
        data_centres : dict
            Data centre of each target of the service.
        watch : Watch
            Who could have reported.
        now : float
            Unix seconds.
        """
        levels = self.list_levels(watch, now)
        suspects = {t for t, lvl in levels.items() if lvl >= HALF * self.threshold}
        suspects &= data_centres.keys()
        # When most of the service looks bad, the fault is everybody's or the
        # observers'. Ejecting would only move the load onto the rest.
        if len(suspects) >= 2 and len(suspects) > HALF * len(data_centres):
            return []
        condemned = [
            target
            for target in suspects
            if levels[target] >= self.threshold
            and not self._blames_link(target, suspects, data_centres)
        ]
        return sorted(condemned, key=lambda target: (-levels[target], target))

    def forget(self, target: str) -> None:
        """Drop what was pooled about a target."""
        for subject in [s for s in self._cases if s.target == target]:
            del self._cases[subject]
        self._baselines.forget(target)

    def _find_support(self, case: _Case, watch: Watch) -> float:
        """Return the accusations, with the share of any one source bounded."""
        needed = max(1, min(OBSERVERS_NEEDED, watch.vms))
        each = self.threshold / needed
        by_data_centre: dict[str, float] = collections.defaultdict(float)
        for observer, gained in case.accusations.items():
            by_data_centre[observer.data_centre] += min(gained, each)
        if watch.vms < OBSERVERS_NEEDED or watch.data_centres < 2:
            return sum(by_data_centre.values())
        bound = DATA_CENTRE_SHARE * self.threshold
        return sum(min(total, bound) for total in by_data_centre.values())

    def _blames_link(
        self, target: str, suspects: set[str], data_centres: dict[str, str]
    ) -> bool:
        """Return whether most of the target's data centre looks bad at once."""
        home = data_centres[target]
        neighbours = [t for t, where in data_centres.items() if where == home]
        bad = [t for t in neighbours if t in suspects]
        return len(bad) >= 2 and len(bad) > GROUP_SHARE * len(neighbours)
