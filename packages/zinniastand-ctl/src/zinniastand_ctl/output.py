"""How commands end and print."""

from __future__ import annotations

import json
import typing

import typer

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_UNREACHABLE = 3


def fail(message: object, code: int = EXIT_BAD_INPUT) -> typing.NoReturn:
    """Print a message on standard error and end with an exit code."""
    typer.echo(str(message), err=True)
    raise typer.Exit(code)


def show(value: object, as_json: bool, text: str) -> None:
    """Print a result, for a machine or for a person."""
    typer.echo(json.dumps(value, indent=2) if as_json else text)


def format_table(head: list[str], rows: list[list[object]]) -> str:
    """Return rows in aligned columns."""
    table = [head, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in table) for i in range(len(head))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    ]
    return "\n".join(line.rstrip() for line in lines)
