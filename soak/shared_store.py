"""The store of a soak, with a record of what operators and targets wrote to it."""

from __future__ import annotations

import anyio

from zinniastand_standins import topic_store

OUTAGE_S = 0.4
"""Seconds of outage before the store is restored from a snapshot."""

REWRITE_DELAY_S = 0.8
"""Seconds after the restore until lost records are written again."""


class SharedStore:
    """A store whose operators and targets write again what a restore has lost."""

    def __init__(self) -> None:
        self.topics = topic_store.TopicStore()
        self._writes: list[tuple[str, str, bytes]] = []

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as an operator or a target; an empty value deletes the key."""
        self._writes.append((topic, key, value))
        self.topics.put(topic, key, value)

    def capture_snapshot(self) -> tuple[topic_store.Snapshot, int]:
        """Return a snapshot, and the number of writes that it contains."""
        return self.topics.take_snapshot(), len(self._writes)

    async def restore_snapshot(
        self, snapshot: topic_store.Snapshot, write_count: int
    ) -> None:
        """Restore the store from a snapshot after an outage.

        Of each key that was written since, only the newest record is written again.

        Parameters
        ----------
        snapshot : topic_store.Snapshot
            Snapshot from `capture_snapshot`.
        write_count : int
            Number of writes that the snapshot contains.
        """
        self.topics.fault = topic_store.Fault.BUSY
        await anyio.sleep(OUTAGE_S)
        self.topics.restore(snapshot)
        self.topics.fault = topic_store.Fault.NONE
        await anyio.sleep(REWRITE_DELAY_S)
        newest_writes = {
            (write[0], write[1]): write for write in self._writes[write_count:]
        }
        for topic, key, value in newest_writes.values():
            self.topics.put(topic, key, value)
