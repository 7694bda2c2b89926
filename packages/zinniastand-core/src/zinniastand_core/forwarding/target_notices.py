"""What targets have told this VM in their answers: rests, and that they are leaving."""

from __future__ import annotations

import dataclasses

from ..deployment import targets

LEAVING_RETENTION_S = 60.0
"""Seconds for which a target counts as leaving after it has stated that last. By then
it has left, or its entry in the store tells its state."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Notice:
    """Why a target gets no requests of this VM."""

    born: int
    """Start of the target; a later one knows nothing of the notice."""

    until: float
    """Time from which it gets requests again."""


class TargetNotices:
    """Targets that want no requests of this VM for some time."""

    def __init__(self) -> None:
        self._notices: dict[str, _Notice] = {}

    def record_rest(self, target: targets.Entry, until: float) -> None:
        """Record that a target wants no requests until a time."""
        self._extend(target, until)

    def record_leaving(self, target: targets.Entry, now: float) -> None:
        """Record that a target is leaving."""
        self._extend(target, now + LEAVING_RETENTION_S)

    def find_end(self, target: targets.Entry, now: float) -> float | None:
        """Return until when a target wants no requests; None if it may get some."""
        notice = self._notices.get(target.target_id)
        if notice is None or notice.born != target.born or notice.until <= now:
            return None
        return notice.until

    def list_current(self, now: float) -> tuple[str, ...]:
        """Return the targets of whose last starts some want no requests now."""
        self._notices = {
            target_id: notice
            for target_id, notice in self._notices.items()
            if notice.until > now
        }
        return tuple(self._notices)

    def compensate_suspension(self, seconds: float) -> None:
        """Bring all ends forward by the seconds that the clock did not count."""
        self._notices = {
            target_id: dataclasses.replace(notice, until=notice.until - seconds)
            for target_id, notice in self._notices.items()
        }

    def _extend(self, target: targets.Entry, until: float) -> None:
        stored = self._notices.get(target.target_id)
        if stored is not None and stored.born == target.born:
            until = max(until, stored.until)
        self._notices[target.target_id] = _Notice(target.born, until)
