"""What one request met, over the lines of all VMs."""

from __future__ import annotations

import datetime

from . import log_reader

HIDDEN = frozenset({"time", "vm", "event", "request"})
"""Fields that stand elsewhere in a line of the story."""


class Story:
    """Collects the lines of one request.

    Parameters
    ----------
    request : str
        Its id.
    """

    def __init__(self, request: str) -> None:
        self.request = request
        self._records: list[log_reader.Line] = []

    @property
    def is_empty(self) -> bool:
        """Whether no line named the request."""
        return not self._records

    def take(self, record: log_reader.Line) -> None:
        """Take in one record."""
        if str(record.get("request")) == self.request:
            self._records.append(record)

    def list_records(self) -> list[log_reader.Line]:
        """Return its records in the order of their times."""
        return sorted(self._records, key=_read_time)

    def format_text(self) -> str:
        """Return a line for each record."""
        return "\n".join(_format(record) for record in self.list_records())


def _read_time(record: log_reader.Line) -> float:
    value = record.get("time")
    return float(value) if isinstance(value, int | float) else 0.0


def _format(record: log_reader.Line) -> str:
    moment = datetime.datetime.fromtimestamp(_read_time(record), tz=datetime.UTC)
    clock = moment.strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(f"{k}={v}" for k, v in record.items() if k not in HIDDEN)
    return f"{clock} {record['vm']:16} {record.get('event', ''):8} {fields}"
