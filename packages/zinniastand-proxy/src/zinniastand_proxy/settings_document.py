"""Reads a file of settings, JSON with comments, whole or with all that is wrong."""

from __future__ import annotations

import collections.abc
import pathlib
import typing

import expression
import json5

from zinniastand_core import documents, findings

Settings = typing.TypeVar("Settings")

Read = collections.abc.Callable[[documents.Reader], Settings]
"""Returns the settings in a document; findings go to its reader."""


def load(
    path: pathlib.Path, read: Read[Settings]
) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a file, or every finding in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(_find(str(path), f"cannot be read: {error}"))
    return parse(text, str(path), read)


def parse(
    text: str, place: str, read: Read[Settings]
) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a text; `place` names it in findings."""
    try:
        document = json5.loads(text)
    except ValueError as error:
        return expression.Error(_find(place, f"not JSON with comments: {error}"))
    collector = documents.Collector()
    reader = documents.Reader(document, "", collector)
    result = read(reader)
    reader.refuse_unknown()
    if collector.has_findings:
        return expression.Error(collector.collect())
    return expression.Ok(result)


def _find(place: str, message: str) -> findings.Findings:
    return findings.Findings((findings.Finding(place, message),))
