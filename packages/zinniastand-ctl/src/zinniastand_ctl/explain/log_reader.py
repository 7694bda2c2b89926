"""Reads log lines of any number of VMs: files, folders, standard input, gzip."""

from __future__ import annotations

import collections.abc
import dataclasses
import gzip
import json
import pathlib
import sys
import typing

Line = dict[str, typing.Any]

STANDARD_INPUT = "-"
GZIP_MAGIC = b"\x1f\x8b"

MOST_FINDINGS = 10
"""Broken lines that are named; the rest are only counted."""

REPORT_EACH = 1 << 18
"""Lines between two reports of progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A line, or a whole file, that could not be read."""

    place: str
    """File, and number of the line where there is one."""

    why: str
    """What is wrong with it."""

    def __str__(self) -> str:
        return f"{self.place}: {self.why}"


class LogReader:
    """Reads lines one by one and counts what it cannot read.

    Collectors often put a time or a host before each line; whatever stands before the
    first brace is passed over, and so are lines without any.

    Parameters
    ----------
    on_progress : callable, optional
        Called with the number of lines read, from time to time.

    Attributes
    ----------
    lines : int
        Lines read.
    broken : int
        Lines and files that could not be read.
    findings : list of Finding
        The first of those.
    """

    def __init__(
        self, on_progress: collections.abc.Callable[[int], None] | None = None
    ) -> None:
        self._on_progress = on_progress
        self.lines = 0
        self.broken = 0
        self.findings: list[Finding] = []

    def read(
        self, sources: collections.abc.Iterable[str]
    ) -> collections.abc.Iterator[Line]:
        """Yield the records of all sources, one after the other."""
        for source in sources:
            if source == STANDARD_INPUT:
                yield from self._read_stream("standard input", sys.stdin.buffer)
            else:
                yield from self._read_path(pathlib.Path(source))

    def _read_path(self, path: pathlib.Path) -> collections.abc.Iterator[Line]:
        if path.is_dir():
            for child in sorted(path.iterdir()):
                yield from self._read_path(child)
            return
        try:
            with path.open("rb") as file:
                is_packed = file.read(len(GZIP_MAGIC)) == GZIP_MAGIC
                file.seek(0)
                if is_packed:
                    with gzip.open(file) as unpacked:
                        yield from self._read_stream(str(path), unpacked)
                else:
                    yield from self._read_stream(str(path), file)
        except (OSError, EOFError) as error:
            # A torn gzip file ends in EOFError; what came before it was read.
            reason = error.strerror if isinstance(error, OSError) else None
            self._note(str(path), reason or str(error))

    def _read_stream(
        self, name: str, stream: collections.abc.Iterable[bytes]
    ) -> collections.abc.Iterator[Line]:
        for number, data in enumerate(stream, start=1):
            self.lines += 1
            if self._on_progress is not None and self.lines % REPORT_EACH == 0:
                self._on_progress(self.lines)
            start = data.find(b"{")
            if start < 0:
                continue
            try:
                record = json.loads(data[start:])
            except ValueError as error:
                self._note(f"{name}:{number}", f"not JSON: {error}")
                continue
            if not isinstance(record, dict) or not isinstance(record.get("vm"), str):
                self._note(f"{name}:{number}", "no record of a VM")
                continue
            yield record

    def _note(self, place: str, why: str) -> None:
        self.broken += 1
        if len(self.findings) < MOST_FINDINGS:
            self.findings.append(Finding(place, why))
