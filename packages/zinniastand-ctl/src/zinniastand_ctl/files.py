"""Read and write the files that commands take as arguments.

All functions end the command with an error message if a file is invalid or cannot be
read or written.
"""

from __future__ import annotations

import pathlib
import typing

import expression
import json5

from zinniastand_core import bundles, chain, codec, proposals
from zinniastand_proxy import settings

from . import output


def read_settings(path: pathlib.Path) -> settings.Settings:
    """Return the valid settings in a file, or end the command with all findings."""
    match settings.load(path):
        case expression.Result(tag="ok", ok=config):
            return config
        case expression.Result(error=findings):
            output.fail(findings)


def read_document(path: pathlib.Path) -> dict[str, typing.Any]:
    """Return a JSON document that may contain comments, or end the command."""
    try:
        return json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        output.fail(f"{path}: {error}")
    except ValueError as error:
        output.fail(f"{path}: not JSON with comments: {error}")


def read_bundle(path: pathlib.Path) -> bundles.Bundle:
    """Return the valid bundle in a file, or end the command with all findings."""
    match bundles.parse_document(read_document(path)):
        case expression.Result(tag="ok", ok=bundle):
            return bundle
        case expression.Result(error=findings):
            output.fail(findings)


def read_proposal(path: pathlib.Path) -> proposals.Proposal:
    """Return the proposal in a file, or end the command."""
    try:
        data = path.read_bytes()
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
    match codec.decode(data):
        case expression.Result(tag="ok", ok=[chain.PROPOSAL, body]):
            unpacked = proposals.unpack(body)
        case _:
            output.fail(f"{path}: not a proposal")
    if unpacked.is_error():
        output.fail(f"{path}: {unpacked.error}")
    return unpacked.ok


def write_proposal(path: pathlib.Path, proposal: proposals.Proposal) -> None:
    """Write a proposal to a file, or end the command."""
    try:
        path.write_bytes(chain.pack_proposal(proposal))
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
