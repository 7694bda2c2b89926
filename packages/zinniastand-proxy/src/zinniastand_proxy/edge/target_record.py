"""What this VM has taken in about the targets, and up to where."""

from __future__ import annotations

import collections
import collections.abc

from zinniastand_core.deployment import targets

from . import datagrams, log_lines, ports

STORE = "store"
"""Source of what was read from the store, in log lines."""

KEEP_RECENT = 5.0
"""Seconds for which changes are kept for telling: longer than they are told again."""


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
        self._recent: collections.deque[tuple[float, targets.Change]] = (
            collections.deque()
        )
        self.position = -1
        self.heard_at = 0.0
        self.read_at = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether all targets were read at least once."""
        return self.position >= 0

    def take_news(self, news: datagrams.News, now: float) -> None:
        """Take in what another VM has read."""
        if not self.is_complete or news.since > self.position:
            return  # Something between is missing: read it from the store.
        self.heard_at = now
        self.position = max(self.position, news.position)
        self._note_changes(self._registry.apply(news.changes, now), now, news.vm)

    def take_changes(self, page: ports.TargetPage, now: float) -> bool:
        """Take in what has changed at the store; return whether that is news."""
        self.position = page.position
        news = self._registry.apply(page.changes, now)
        self._note_changes(news, now, STORE)
        return bool(news)

    def take_all(self, page: ports.TargetPage, now: float) -> bool:
        """Take in all that the store holds; return whether that is news."""
        entries = [one for one in page.changes if isinstance(one, targets.Entry)]
        news = self._registry.replace(entries, page.position, now)
        self.position = page.position
        self._note_changes(news, now, STORE)
        return bool(news)

    def list_recent(self, since: float) -> tuple[targets.Change, ...]:
        """Return the changes taken in since then, of the last `KEEP_RECENT` seconds."""
        return tuple(change for at, change in self._recent if at >= since)

    def _note_changes(
        self, news: list[targets.Change], now: float, source: str
    ) -> None:
        # Here and not when telling: a VM that never tells would keep them all.
        while self._recent and self._recent[0][0] < now - KEEP_RECENT:
            self._recent.popleft()
        for change in news:
            self._recent.append((now, change))
            phase = "gone" if isinstance(change, targets.Gone) else change.phase.value
            self._log.write(
                "target_changed",
                target=change.target_id,
                phase=phase,
                position=change.position,
                source=source,
            )
        if news:
            self._on_targets()
