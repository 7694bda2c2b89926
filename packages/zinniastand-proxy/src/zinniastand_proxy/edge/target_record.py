"""What this VM has taken in about the targets, and up to where."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from zinniastand_core.deployment import targets

from . import datagrams, knowledge_exchange, log_lines, ports

STORE = "store"
"""Source of what was read from the store, in log lines."""

FRESH_FOR = 0.8
"""Seconds since a peer last heard of the targets within which its knowledge is taken:
one that hears nothing for longer reads the store itself."""

KEEP_RECENT = 5.0
"""Seconds for which changes are kept for telling: longer than they are told again."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """Where the record stood at some moment."""

    at: float
    """When it came to stand there."""

    position: int
    """Up to where the entries were known."""

    noted: int
    """Changes noted until then."""


class TargetRecord:
    """Takes changes into the registry and keeps the recent ones for telling.

    Parameters
    ----------
    registry : targets.Registry
        The targets.
    log : log_lines.LogLines
        Changes.
    on_targets : callable
        Called after the targets changed.
    """

    def __init__(
        self,
        registry: targets.Registry,
        log: log_lines.LogLines,
        on_targets: collections.abc.Callable[[], None],
    ) -> None:
        self._registry = registry
        self._log = log
        self._on_targets = on_targets
        self._noted = 0
        self._recent: collections.deque[tuple[int, targets.Change]] = (
            collections.deque()
        )
        self._steps: collections.deque[_Step] = collections.deque([_Step(0.0, -1, 0)])
        self.position = -1
        self.heard_at = 0.0
        self.read_at = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether all targets were read at least once."""
        return self.position >= 0

    def apply_target_update(self, news: datagrams.TargetUpdate, now: float) -> None:
        """Take in what another VM has read."""
        if not self.is_complete or news.since > self.position:
            return  # Something between is missing: read it from the store.
        self.heard_at = now
        self.position = max(self.position, news.position)
        self._note_changes(self._registry.apply(news.changes, now), news.vm)
        self._step(now)

    def take_changes(self, page: ports.TargetPage, now: float) -> bool:
        """Take in what has changed at the store; return whether that is news."""
        self.position = page.position
        news = self._registry.apply(page.changes, now)
        self._note_changes(news, STORE)
        self._step(now)
        return bool(news)

    def take_all(self, page: ports.TargetPage, now: float) -> bool:
        """Take in all that the store holds; return whether that is news."""
        entries = [one for one in page.changes if isinstance(one, targets.Entry)]
        news = self._registry.replace(entries, page.position, now)
        was_complete = self.is_complete
        self.position = page.position
        self._note_changes(news, STORE)
        if was_complete:
            # What differs from the former listing is told like any change.
            self._step(now)
        else:
            self._start_anew(now)
        return bool(news)

    def apply_snapshot(
        self, snapshot: knowledge_exchange.Snapshot, now: float, vm: str
    ) -> bool:
        """Take in all that a peer knows, if it is up to date; return whether it was."""
        if snapshot.position < 0 or now - snapshot.heard_at > FRESH_FOR:
            return False
        news = self._registry.replace(snapshot.entries, snapshot.position, now)
        self.position = snapshot.position
        self.heard_at = snapshot.heard_at
        self._note_changes(news, vm)
        self._start_anew(now)
        return True

    def compensate_suspension(self, seconds: float) -> None:
        """Take in that the clock has not counted some time: all is older."""
        self.heard_at -= seconds
        self.read_at -= seconds

    def list_since(self, since: float) -> tuple[int, tuple[targets.Change, ...]]:
        """Return where this VM stood then, and the changes that it took in after that.

        They are told from there on, whoever read them, so that a VM that has just
        become the reader leaves no gap for those who heard the former one.
        """
        step = self._steps[0]
        for one in self._steps:
            if one.at > since:
                break
            step = one
        changes = [change for number, change in self._recent if number > step.noted]
        return step.position, tuple(changes)

    def _step(self, now: float) -> None:
        """Note where the record stands, and forget what is told no more.

        Here and not when telling: a VM that never tells would keep it all.
        """
        self._steps.append(_Step(now, self.position, self._noted))
        while len(self._steps) > 1 and self._steps[0].at < now - KEEP_RECENT:
            self._steps.popleft()
        while self._recent and self._recent[0][0] <= self._steps[0].noted:
            self._recent.popleft()

    def _start_anew(self, now: float) -> None:
        """Begin to tell from here on: a whole listing is not told again."""
        self._steps.clear()
        self._step(now)

    def _note_changes(self, news: list[targets.Change], source: str) -> None:
        for change in news:
            self._noted += 1
            self._recent.append((self._noted, change))
            phase = (
                "gone" if isinstance(change, targets.Removal) else change.phase.value
            )
            self._log.write(
                "target_changed",
                target=change.target_id,
                phase=phase,
                position=change.position,
                source=source,
            )
        if news:
            self._on_targets()
