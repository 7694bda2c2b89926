"""Read log records from files, gzip files, folders and standard input."""

from __future__ import annotations

import collections.abc
import dataclasses
import gzip
import json
import pathlib
import sys
import typing

Record = dict[str, typing.Any]

STANDARD_INPUT = "-"
GZIP_MAGIC = b"\x1f\x8b"

MAX_FINDINGS = 10
"""Unreadable lines and files that are listed; further ones are only counted."""

PROGRESS_INTERVAL_LINES = 1 << 18
"""Lines between two progress reports."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A line or a file that could not be read."""

    location: str
    """File name, with the line number if a line is meant."""

    reason: str
    """What is wrong with it."""

    def __str__(self) -> str:
        return f"{self.location}: {self.reason}"


class LogReader:
    """Reads records line by line and counts the lines that it cannot read.

    Log collectors often prefix each line with a time or a host name. Therefore the text
    before the first brace is ignored, and so are lines without a brace.

    Parameters
    ----------
    on_progress : callable, optional
        Called with the number of lines read so far, every `PROGRESS_INTERVAL_LINES`.

    Attributes
    ----------
    lines : int
        Lines read.
    broken : int
        Lines and files that could not be read.
    findings : list of Finding
        The first `MAX_FINDINGS` unreadable lines and files.
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
    ) -> collections.abc.Iterator[Record]:
        """Yield the records of all sources, one source after the other.

        Parameters
        ----------
        sources : iterable of str
            Paths of files or folders, or ``-`` for standard input.
        """
        for source in sources:
            if source == STANDARD_INPUT:
                yield from self._read_stream("standard input", sys.stdin.buffer)
            else:
                yield from self._read_path(pathlib.Path(source))

    def _read_path(self, path: pathlib.Path) -> collections.abc.Iterator[Record]:
        if path.is_dir():
            for child in sorted(path.iterdir()):
                yield from self._read_path(child)
            return
        try:
            with path.open("rb") as file:
                is_compressed = file.read(len(GZIP_MAGIC)) == GZIP_MAGIC
                file.seek(0)
                if is_compressed:
                    with gzip.open(file) as decompressed:
                        yield from self._read_stream(str(path), decompressed)
                else:
                    yield from self._read_stream(str(path), file)
        except (OSError, EOFError) as error:
            # A truncated gzip file raises EOFError after its readable part was yielded.
            system_message = error.strerror if isinstance(error, OSError) else None
            self._add_finding(str(path), system_message or str(error))

    def _read_stream(
        self, name: str, stream: collections.abc.Iterable[bytes]
    ) -> collections.abc.Iterator[Record]:
        for number, data in enumerate(stream, start=1):
            self.lines += 1
            if (
                self._on_progress is not None
                and self.lines % PROGRESS_INTERVAL_LINES == 0
            ):
                self._on_progress(self.lines)
            start = data.find(b"{")
            if start < 0:
                continue
            try:
                record = json.loads(data[start:])
            except ValueError as error:
                self._add_finding(f"{name}:{number}", f"not JSON: {error}")
                continue
            if not isinstance(record, dict) or not isinstance(record.get("vm"), str):
                self._add_finding(
                    f"{name}:{number}", "not a JSON object with the name of a VM"
                )
                continue
            yield record

    def _add_finding(self, location: str, reason: str) -> None:
        self.broken += 1
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(location, reason))
