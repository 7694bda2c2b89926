"""Log records of one request from all VMs."""

from __future__ import annotations

import datetime

from . import log_reader

HIDDEN_FIELDS = frozenset({"time", "vm", "event", "request"})
"""Fields that are left out of the list at the end of a printed line."""


class RequestHistory:
    """Collects the log records of one request.

    Parameters
    ----------
    request : str
        Request id.
    """

    def __init__(self, request: str) -> None:
        self.request = request
        self._records: list[log_reader.Record] = []

    @property
    def is_empty(self) -> bool:
        """Whether no record named the request."""
        return not self._records

    def add_record(self, record: log_reader.Record) -> None:
        """Keep a record if it belongs to the request."""
        if str(record.get("request")) == self.request:
            self._records.append(record)

    def list_records(self) -> list[log_reader.Record]:
        """Return the records in the order of their times."""
        return sorted(self._records, key=_read_time)

    def format_text(self) -> str:
        """Return the history as text, one line per record."""
        return "\n".join(_format(record) for record in self.list_records())


def _read_time(record: log_reader.Record) -> float:
    value = record.get("time")
    return float(value) if isinstance(value, int | float) else 0.0


def _format(record: log_reader.Record) -> str:
    moment = datetime.datetime.fromtimestamp(_read_time(record), tz=datetime.UTC)
    clock = moment.strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(
        f"{field}={content}"
        for field, content in record.items()
        if field not in HIDDEN_FIELDS
    )
    return f"{clock} {record['vm']:16} {record.get('event', ''):8} {fields}"
