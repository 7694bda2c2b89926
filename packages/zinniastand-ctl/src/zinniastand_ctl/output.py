"""Output, exit codes and tables that all commands share."""

from __future__ import annotations

import json
import typing

import typer

EXIT_FAILED = 1
"""The command ran, but its result is negative."""

EXIT_BAD_INPUT = 2
"""An argument or an input file is invalid."""

EXIT_UNREACHABLE = 3
"""The log or a VM did not answer."""


def fail(message: object, code: int = EXIT_BAD_INPUT) -> typing.NoReturn:
    """Print a message on standard error and end the command.

    Raises
    ------
    typer.Exit
        Always, with the exit code `code`.
    """
    typer.echo(str(message), err=True)
    raise typer.Exit(code)


def show(value: object, as_json: bool, text: str) -> None:
    """Print a result on standard output.

    Parameters
    ----------
    value : object
        Result that is printed as JSON if `as_json` is true.
    as_json : bool
        Whether to print JSON.
    text : str
        Result that is printed otherwise.
    """
    typer.echo(json.dumps(value, indent=2) if as_json else text)


def format_table(head: list[str], rows: list[list[object]]) -> str:
    """Return a text table with aligned columns and a header line."""
    table = [head, *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[i]) for row in table) for i in range(len(head))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    ]
    return "\n".join(line.rstrip() for line in lines)
