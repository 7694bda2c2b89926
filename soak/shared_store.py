"""The store of a soak, and what operators and targets have written to it."""

from __future__ import annotations

import anyio

from zinniastand_standins import topic_store

AWAY_FOR = 0.4
"""Seconds for which the store is away before it returns from a copy."""

WRITTEN_AGAIN_AFTER = 0.8
"""Seconds after which what it has lost is written again."""


class SharedStore:
    """Keeps what others than VMs write, which they write again where it is lost."""

    def __init__(self) -> None:
        self.topics = topic_store.TopicStore()
        self._written: list[tuple[str, str, bytes]] = []

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write as the operator or a target does; an empty value drops the key."""
        self._written.append((topic, key, value))
        self.topics.put(topic, key, value)

    def take_copy(self) -> tuple[topic_store.Snapshot, int]:
        """Return a copy, and how much had been written until then."""
        return self.topics.take_snapshot(), len(self._written)

    async def return_from(self, copy: topic_store.Snapshot, written: int) -> None:
        """Be away for a moment, and return from a copy.

        Whoever wrote since writes again what stands now, not all that was lost.
        """
        self.topics.fault = topic_store.Fault.BUSY
        await anyio.sleep(AWAY_FOR)
        self.topics.restore(copy)
        self.topics.fault = topic_store.Fault.NONE
        await anyio.sleep(WRITTEN_AGAIN_AFTER)
        newest = {(one[0], one[1]): one for one in self._written[written:]}
        for topic, key, value in newest.values():
            self.topics.put(topic, key, value)
