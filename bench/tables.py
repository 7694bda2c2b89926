"""Runs cases in parallel and formats their results as tables."""

from __future__ import annotations

import collections.abc
import concurrent.futures
import os
import typing

Case = typing.TypeVar("Case")
Result = typing.TypeVar("Result")


def run_all(
    run_case: collections.abc.Callable[[Case], Result],
    cases: collections.abc.Sequence[Case],
) -> list[Result]:
    """Return the results of all cases, which run in processes of their own.

    Each case carries its seed, so the results do not depend on the order of the runs.
    """
    process_count = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ProcessPoolExecutor(process_count) as pool:
        return list(pool.map(run_case, cases))


def format_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)
