"""A stand-in for a platform's store: logs by topic, and topics that keep keys.

State and faults only; `topic_store_app` serves it. Faults are switches that tests and
the soak set: the store is down, refuses some callers, is slow, loses answers after
their effect, or forgets its history.
"""

from __future__ import annotations

import dataclasses
import enum

KEYED = "keyed."


class Fault(enum.StrEnum):
    """How the store treats calls."""

    NONE = "none"
    """It answers."""

    BUSY = "busy"
    """It refuses: nothing is done."""

    SILENT = "silent"
    """It takes the call and never answers; nothing is done."""

    RESET = "reset"
    """It closes the connection; nothing is done."""

    LOST = "lost"
    """It does what is asked and never answers."""


class TopicGoneError(Exception):
    """The records asked for are no longer kept."""

    def __init__(self, first: int) -> None:
        super().__init__(first)
        self.first = first


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest record of a key."""

    key: str
    """The key."""

    value: bytes
    """Its value."""

    offset: int
    """Where it stands in the topic."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What a store held at some moment."""

    records: dict[str, list[bytes]]
    """Records by topic."""

    first: dict[str, int]
    """Offset of the first of them, by topic."""

    newest: dict[str, dict[str, KeyedRecord]]
    """Newest record of each key, by topic."""


class TopicStore:
    """Topics with one partition each.

    Attributes
    ----------
    era : int
        Rises each time that the store returns from an older copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self._records: dict[str, list[bytes]] = {}
        self._first: dict[str, int] = {}
        self._newest: dict[str, dict[str, KeyedRecord]] = {}
        self.fault = Fault.NONE
        self.delay = 0.0
        self.calls = 0

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first."""
        kept = self._records.setdefault(topic, [])
        offset = self.find_end(topic)
        for number, record in enumerate(records):
            kept.append(record)
            if topic.startswith(KEYED):
                self._index(topic, record, offset + number)
        return offset

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Write the record of a key; an empty value drops the key."""
        name = key.encode()
        return self.append(topic, [bytes([len(name)]) + name + value])

    def read(self, topic: str, start: int) -> list[bytes]:
        """Return the records from an offset.

        Raises
        ------
        TopicGoneError
            If they are no longer kept.
        """
        first = self.find_first(topic)
        if not first <= start <= self.find_end(topic):
            raise TopicGoneError(first)
        return self._records.get(topic, [])[start - first :]

    def list_newest(self, topic: str) -> list[KeyedRecord]:
        """Return the newest record of each key, by key."""
        return sorted(self._newest.get(topic, {}).values(), key=lambda one: one.key)

    def find_first(self, topic: str) -> int:
        """Return the offset of the first record that is kept."""
        return self._first.get(topic, 0)

    def find_end(self, topic: str) -> int:
        """Return the offset after the last record."""
        return self.find_first(topic) + len(self._records.get(topic, []))

    def forget(self, topic: str) -> None:
        """Drop all records; the newest of each key stays."""
        self._first[topic] = self.find_end(topic)
        self._records[topic] = []

    def take_snapshot(self) -> Snapshot:
        """Return a copy of all that the store holds."""
        return Snapshot(
            {topic: list(records) for topic, records in self._records.items()},
            dict(self._first),
            {topic: dict(newest) for topic, newest in self._newest.items()},
        )

    def restore(self, copy: Snapshot) -> None:
        """Hold what a copy holds: what was written since is gone."""
        self._records = {topic: list(one) for topic, one in copy.records.items()}
        self._first = dict(copy.first)
        self._newest = {topic: dict(one) for topic, one in copy.newest.items()}
        self.era += 1

    def _index(self, topic: str, record: bytes, offset: int) -> None:
        end_of_key = 1 + record[0]
        key = record[1:end_of_key].decode()
        known = self._newest.setdefault(topic, {})
        value = record[end_of_key:]
        if value:
            known[key] = KeyedRecord(key, value, offset)
        else:
            known.pop(key, None)
