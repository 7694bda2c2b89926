"""Reads settings files, written as JSON with comments.

A file either yields its settings or every finding in it.
"""

from __future__ import annotations

import collections.abc
import pathlib
import typing

import expression
import json5

from zinniastand_core import documents, findings

Settings = typing.TypeVar("Settings")

Read = collections.abc.Callable[[documents.Reader], Settings]
"""Function that returns the settings in a document, and adds findings to its reader."""


def load(
    path: pathlib.Path, read: Read[Settings]
) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a file, or every finding in it.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    read : Read
        Reads the fields of the document.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(_make_findings(str(path), f"cannot be read: {error}"))
    return parse(text, str(path), read)


def parse(
    text: str, location: str, read: Read[Settings]
) -> expression.Result[Settings, findings.Findings]:
    """Return the settings in a text, or every finding in it.

    Parameters
    ----------
    text : str
        JSON with comments.
    location : str
        Name of the document in a finding that concerns the whole text.
    read : Read
        Reads the fields of the document.
    """
    try:
        document = json5.loads(text)
    except ValueError as error:
        return expression.Error(
            _make_findings(location, f"not JSON with comments: {error}")
        )
    collector = documents.Collector()
    reader = documents.Reader(document, "", collector)
    result = read(reader)
    reader.refuse_unknown()
    if collector.has_findings:
        return expression.Error(collector.collect())
    return expression.Ok(result)


def _make_findings(location: str, message: str) -> findings.Findings:
    return findings.Findings((findings.Finding(location, message),))
