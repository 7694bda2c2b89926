"""Running cases in parallel and printing them as tables."""

from __future__ import annotations

import collections.abc
import concurrent.futures
import os
import typing

Case = typing.TypeVar("Case")
Result = typing.TypeVar("Result")


def run_all(
    work: collections.abc.Callable[[Case], Result],
    cases: collections.abc.Sequence[Case],
) -> list[Result]:
    """Return the result of each case; each has its own seed, so order is no matter."""
    workers = max(1, (os.cpu_count() or 2) - 2)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(work, cases))


def format_table(
    head: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "|" + "---|" * len(head)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)
