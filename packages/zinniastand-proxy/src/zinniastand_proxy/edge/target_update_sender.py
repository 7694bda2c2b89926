"""Tells the other VMs what this one has read about the targets.

Datagrams may be lost, so what is new is told several times.
"""

from __future__ import annotations

import collections.abc

import anyio

from zinniastand_core.deployment import configuration

from . import broadcasting, datagrams, reading_turn, target_record

CHECK_PAUSE = 0.1
"""Seconds between two looks whether it is time to tell."""

TELL_PAUSE = 0.3
"""Seconds between two tellings of what was read; a lost one is made up for so soon."""

STALE_AFTER = 0.95
"""Seconds after its last successful read for which the reader tells others that nothing
has changed: one read and its slack. Together with the silence after it this stays below
the two seconds within which a leaving target must be known."""

REPEAT_FOR = 2.0
"""Seconds for which changes are told again, since datagrams may be lost."""


class TargetUpdateSender:
    """Tells news while it is this VM's turn to read.

    Parameters
    ----------
    record : target_record.TargetRecord
        What was read.
    turn : reading_turn.ReadingTurn
        Whether it is this VM's turn.
    configured : configuration.ConfigurationState
        Its version is told along.
    broadcaster : broadcasting.Broadcaster
        Tells the others.
    vm : str
        Name of this VM.
    has_configuration_read : callable
        Returns whether the configuration was read from the store lately. News tell its
        version, and those who hear them do not ask the store for it.
    """

    def __init__(
        self,
        record: target_record.TargetRecord,
        turn: reading_turn.ReadingTurn,
        configured: configuration.ConfigurationState,
        broadcaster: broadcasting.Broadcaster,
        vm: str,
        has_configuration_read: collections.abc.Callable[[float], bool],
    ) -> None:
        self._record = record
        self._turn = turn
        self._configured = configured
        self._broadcaster = broadcaster
        self._vm = vm
        self._has_configuration_read = has_configuration_read
        self._told_at = 0.0

    async def run(self) -> None:
        """Tell the others regularly, also that nothing has changed.

        Whoever hears nothing reads for itself; whoever is told "nothing new" by a
        reader that has lost the store would miss a target's leaving.
        """
        while True:
            await anyio.sleep(CHECK_PAUSE)
            now = anyio.current_time()
            is_fresh = now - self._record.read_at < STALE_AFTER
            if is_fresh and self.is_due(now):
                self.tell()

    def is_due(self, now: float) -> bool:
        """Return whether it is this VM that tells, and its last telling is long ago.

        A VM that has just become the reader tells at once, before all others who miss
        the former one read for themselves.
        """
        if not self._turn.is_first(now) or not self._has_configuration_read(now):
            return False
        return now - self._told_at >= TELL_PAUSE

    def tell(self) -> None:
        """Tell what was read lately, in this data centre and to relays elsewhere."""
        now = self._told_at = anyio.current_time()
        since, changes = self._record.list_since(now - REPEAT_FOR)
        news = datagrams.TargetUpdate(
            self._vm,
            self._configured.version,
            self._record.position,
            since,
            changes,
        )
        self._broadcaster.broadcast(news, now, relays=1)
