"""State of the targets as known to this VM, and the changes that led to it."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from zinniastand_core.deployment import targets

from . import datagrams, input_bounds, knowledge_exchange, log_lines, ports

STORE = "store"
"""Source, in log lines, of what was read from the store."""

MAX_SNAPSHOT_AGE_S = 0.8
"""Seconds since a peer's last update of its targets within which its snapshot is
accepted. A peer without updates for longer reads the store itself."""

CHANGE_RETENTION_S = 5.0
"""Seconds for which changes are kept so that they can be sent to other VMs. This is
longer than the time for which their sending is repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Checkpoint:
    """State of the record at one moment."""

    at: float
    """When the record reached this state, in seconds."""

    position: int
    """Position in the store up to which the entries were known."""

    change_count: int
    """Number of changes recorded until then."""


class TargetRecord:
    """Applies changes to the registry and keeps recent ones for sending to other VMs.

    Parameters
    ----------
    registry : targets.Registry
        The targets.
    log : log_lines.LogLines
        Receives a line for each change.
    on_targets : callable
        Called after the targets changed.
    record_bound : callable, optional
        Called when entries were refused because there are too many targets.
    """

    def __init__(
        self,
        registry: targets.Registry,
        log: log_lines.LogLines,
        on_targets: collections.abc.Callable[[], None],
        record_bound: input_bounds.RecordBound = input_bounds.ignore,
    ) -> None:
        self._registry = registry
        self._log = log
        self._on_targets = on_targets
        self._record_bound = record_bound
        self._refused_entries = 0
        self._change_count = 0
        self._recent_changes: collections.deque[tuple[int, targets.Change]] = (
            collections.deque()
        )
        self._checkpoints: collections.deque[_Checkpoint] = collections.deque(
            [_Checkpoint(0.0, -1, 0)]
        )
        self.position = -1
        self.received_at = 0.0
        self.read_at = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether the full list of targets was read or received at least once."""
        return self.position >= 0

    def apply_target_update(self, update: datagrams.TargetUpdate, now: float) -> None:
        """Apply the changes that another VM has read and sent.

        The update is ignored if this VM has no full list yet, or lacks changes before
        the first one in the update.
        """
        if not self.is_complete or update.since > self.position:
            return  # Changes in between are missing: they are read from the store.
        self.received_at = now
        self.position = max(self.position, update.position)
        self._record_changes(self._registry.apply(update.changes, now), update.vm)
        self._add_checkpoint(now)

    def apply_changes(self, page: ports.TargetPage, now: float) -> bool:
        """Apply changes read from the store; return whether any target changed."""
        self.position = page.position
        applied = self._registry.apply(page.changes, now)
        self._record_changes(applied, STORE)
        self._add_checkpoint(now)
        return bool(applied)

    def apply_listing(self, page: ports.TargetPage, now: float) -> bool:
        """Apply a full list read from the store; return whether any target changed."""
        entries = [entry for entry in page.changes if isinstance(entry, targets.Entry)]
        applied = self._registry.replace(entries, page.position, now)
        was_complete = self.is_complete
        self.position = page.position
        self._record_changes(applied, STORE)
        if was_complete:
            # Differences from the former list are sent to other VMs like any change.
            self._add_checkpoint(now)
        else:
            self._restart_checkpoints(now)
        return bool(applied)

    def apply_snapshot(
        self, snapshot: knowledge_exchange.Snapshot, now: float, vm: str
    ) -> bool:
        """Apply the targets in a peer's snapshot if it is recent enough.

        Parameters
        ----------
        snapshot : knowledge_exchange.Snapshot
            What the peer knows.
        now : float
            Current time in seconds.
        vm : str
            Name of the peer, for log lines.

        Returns
        -------
        bool
            Whether the snapshot was complete and recent enough, and thus was applied.
        """
        if snapshot.position < 0 or now - snapshot.received_at > MAX_SNAPSHOT_AGE_S:
            return False
        applied = self._registry.replace(snapshot.entries, snapshot.position, now)
        self.position = snapshot.position
        self.received_at = snapshot.received_at
        self._record_changes(applied, vm)
        self._restart_checkpoints(now)
        return True

    def compensate_suspension(self, seconds: float) -> None:
        """Make the data older by the seconds of a suspension.

        The monotonic clock did not count them.
        """
        self.received_at -= seconds
        self.read_at -= seconds

    def list_since(self, since: float) -> tuple[int, tuple[targets.Change, ...]]:
        """Return the position known at a time, and the changes recorded after it.

        Changes are listed whether this VM or another one read them. So a VM that has
        just become the reader leaves no gap for those that received the updates of the
        former reader.

        Parameters
        ----------
        since : float
            The time in seconds.
        """
        latest = self._checkpoints[0]
        for checkpoint in self._checkpoints:
            if checkpoint.at > since:
                break
            latest = checkpoint
        changes = [
            change
            for number, change in self._recent_changes
            if number > latest.change_count
        ]
        return latest.position, tuple(changes)

    def _add_checkpoint(self, now: float) -> None:
        """Record the current state, and drop changes past the retention period.

        They are dropped here and not when updates are sent, since a VM that never sends
        updates would otherwise keep all changes.
        """
        self._checkpoints.append(_Checkpoint(now, self.position, self._change_count))
        while (
            len(self._checkpoints) > 1
            and self._checkpoints[0].at < now - CHANGE_RETENTION_S
        ):
            self._checkpoints.popleft()
        while (
            self._recent_changes
            and self._recent_changes[0][0] <= self._checkpoints[0].change_count
        ):
            self._recent_changes.popleft()

    def _restart_checkpoints(self, now: float) -> None:
        """Drop older checkpoints, so that a full list is not sent on as changes."""
        self._checkpoints.clear()
        self._add_checkpoint(now)

    def _record_changes(self, applied: list[targets.Change], source: str) -> None:
        if self._registry.refused_entries > self._refused_entries:
            self._refused_entries = self._registry.refused_entries
            self._record_bound("too many targets", self._refused_entries, source)
        for change in applied:
            self._change_count += 1
            self._recent_changes.append((self._change_count, change))
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
        if applied:
            self._on_targets()
