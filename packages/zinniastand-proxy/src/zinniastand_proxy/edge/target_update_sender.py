"""Sends changes of targets that this VM has read from the store to the other VMs.

Datagrams may be lost, so each change is sent several times.
"""

from __future__ import annotations

import collections.abc

import anyio

from zinniastand_core.deployment import configuration

from . import broadcasting, datagrams, reading_turn, target_record

CHECK_INTERVAL_S = 0.1
"""Seconds between two checks whether an update is due."""

SEND_INTERVAL_S = 0.3
"""Seconds between two updates; the next update makes up for a lost one."""

MAX_READ_AGE_S = 0.95
"""Seconds after its last successful read for which the reader sends that nothing has
changed: the time of one read and some slack. Together with the time that receivers wait
after the last update, this stays below the two seconds within which all VMs must know
that a target is leaving."""

REPEAT_DURATION_S = 2.0
"""Seconds for which a change is sent again, because datagrams may be lost."""

MAX_REPEATED_CHANGES = 40
"""Changes in an update above which it repeats only those of the update before. When all
targets register at once, repeating all of them would overflow the link of this VM."""


class TargetUpdateSender:
    """Sends updates while it is this VM's turn to read the store.

    Parameters
    ----------
    record : target_record.TargetRecord
        The changes that were read.
    turn : reading_turn.ReadingTurn
        Whether it is this VM's turn.
    configuration_state : configuration.ConfigurationState
        Its version is part of each update.
    broadcaster : broadcasting.Broadcaster
        Distributes updates to the other VMs.
    vm : str
        Name of this VM.
    has_configuration_read : callable
        Returns whether the configuration was read from the store recently. Updates
        contain its version, and VMs that receive them do not ask the store for it.
    """

    def __init__(
        self,
        record: target_record.TargetRecord,
        turn: reading_turn.ReadingTurn,
        configuration_state: configuration.ConfigurationState,
        broadcaster: broadcasting.Broadcaster,
        vm: str,
        has_configuration_read: collections.abc.Callable[[float], bool],
    ) -> None:
        self._record = record
        self._turn = turn
        self._configuration_state = configuration_state
        self._broadcaster = broadcaster
        self._vm = vm
        self._has_configuration_read = has_configuration_read
        self._sent_at = 0.0
        self._sent_before_at = 0.0

    async def run(self) -> None:
        """Send updates periodically, also when nothing has changed.

        A VM that receives no updates reads the store itself. If a reader that has lost
        the store sent that nothing changed, receivers would miss that a target leaves.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            is_fresh = now - self._record.read_at < MAX_READ_AGE_S
            if is_fresh and self.is_due(now):
                self.send()

    def is_due(self, now: float) -> bool:
        """Return whether it is this VM's turn and its last update is long enough ago.

        A VM that has just become the reader sends at once, before the others miss the
        updates of the former one and each read the store.
        """
        if not self._turn.is_first(now) or not self._has_configuration_read(now):
            return False
        return now - self._sent_at >= SEND_INTERVAL_S

    def send(self) -> None:
        """Send the recent changes to this data centre and to relays in the others."""
        now = anyio.current_time()
        since, changes = self._record.list_since(now - REPEAT_DURATION_S)
        if len(changes) > MAX_REPEATED_CHANGES:
            repeated_from = max(self._sent_before_at, now - REPEAT_DURATION_S)
            since, changes = self._record.list_since(repeated_from)
        self._sent_before_at, self._sent_at = self._sent_at, now
        update = datagrams.TargetUpdate(
            self._vm,
            self._configuration_state.version,
            self._record.position,
            since,
            changes,
        )
        self._broadcaster.broadcast(update, now, relays=1)
