"""A stand-in for a platform's store: a log per topic, and topics with keyed records.

This module holds state and injected faults; `topic_store_app` serves them over HTTP.
Tests and the soak inject faults: the store is down, refuses calls, is slow, loses
answers after their effect, or drops its history.
"""

from __future__ import annotations

import dataclasses
import enum

KEYED = "keyed."
"""Prefix of the names of keyed topics."""


class Fault(enum.StrEnum):
    """How the store fails calls."""

    NONE = "none"
    """Calls are answered."""

    BUSY = "busy"
    """Calls are refused without effect."""

    SILENT = "silent"
    """Calls are accepted but have no effect and get no answer."""

    RESET = "reset"
    """Connections are closed without effect of the call."""

    LOST = "lost"
    """Calls take effect but get no answer."""


class TopicGoneError(Exception):
    """The requested records are not in the topic, for instance no longer kept.

    Parameters
    ----------
    first : int
        Offset of the first record that is kept.
    """

    def __init__(self, first: int) -> None:
        super().__init__(first)
        self.first = first


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """The newest record of a key in a keyed topic."""

    key: str
    """Key of the record."""

    value: bytes
    """Value of the record."""

    offset: int
    """Offset of the record in the topic."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole content of a store at some moment."""

    records: dict[str, list[bytes]]
    """Records by topic."""

    first: dict[str, int]
    """Offset of the first record, by topic."""

    newest: dict[str, dict[str, KeyedRecord]]
    """Newest record of each key, by keyed topic."""


class TopicStore:
    """Topics with one partition each.

    Attributes
    ----------
    era : int
        Number of times that the store was restored from an older snapshot.
    fault : Fault
        Fault that calls meet.
    delay : float
        Seconds by which each call is delayed.
    calls : int
        Calls received so far.
    """

    def __init__(self) -> None:
        self.era = 0
        self._records: dict[str, list[bytes]] = {}
        self._first_offsets: dict[str, int] = {}
        self._newest_records: dict[str, dict[str, KeyedRecord]] = {}
        self.fault = Fault.NONE
        self.delay = 0.0
        self.calls = 0

    def append(self, topic: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first."""
        topic_records = self._records.setdefault(topic, [])
        offset = self.find_end(topic)
        for number, record in enumerate(records):
            topic_records.append(record)
            if topic.startswith(KEYED):
                self._index_record(topic, record, offset + number)
        return offset

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append the record of a key; an empty value deletes the key.

        Returns the offset of the record.
        """
        name = key.encode()
        return self.append(topic, [bytes([len(name)]) + name + value])

    def read(self, topic: str, start: int) -> list[bytes]:
        """Return the records from an offset on.

        Raises
        ------
        TopicGoneError
            If the offset is before the first kept record or after the end.
        """
        first = self.find_first(topic)
        if not first <= start <= self.find_end(topic):
            raise TopicGoneError(first)
        return self._records.get(topic, [])[start - first :]

    def list_newest(self, topic: str) -> list[KeyedRecord]:
        """Return the newest record of each key, sorted by key."""
        return sorted(
            self._newest_records.get(topic, {}).values(), key=lambda item: item.key
        )

    def find_first(self, topic: str) -> int:
        """Return the offset of the first record that is kept."""
        return self._first_offsets.get(topic, 0)

    def find_end(self, topic: str) -> int:
        """Return the offset after the last record."""
        return self.find_first(topic) + len(self._records.get(topic, []))

    def forget(self, topic: str) -> None:
        """Drop the history of a topic; the newest record of each key stays."""
        self._first_offsets[topic] = self.find_end(topic)
        self._records[topic] = []

    def take_snapshot(self) -> Snapshot:
        """Return a snapshot of the whole store."""
        return Snapshot(
            {topic: list(records) for topic, records in self._records.items()},
            dict(self._first_offsets),
            {topic: dict(newest) for topic, newest in self._newest_records.items()},
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Return to a snapshot and begin a new era; later writes are lost."""
        self._records = {topic: list(item) for topic, item in snapshot.records.items()}
        self._first_offsets = dict(snapshot.first)
        self._newest_records = {
            topic: dict(item) for topic, item in snapshot.newest.items()
        }
        self.era += 1

    def _index_record(self, topic: str, record: bytes, offset: int) -> None:
        end_of_key = 1 + record[0]
        key = record[1:end_of_key].decode()
        newest_records = self._newest_records.setdefault(topic, {})
        value = record[end_of_key:]
        if value:
            newest_records[key] = KeyedRecord(key, value, offset)
        else:
            newest_records.pop(key, None)
