"""Command line of the soak: ``python -m soak --first 1 --seeds 50``."""

from __future__ import annotations

import concurrent.futures
import pathlib
import random
import tempfile
import typing

import typer

from . import plan, run

JOBS = 4
"""Seeds played at the same time: each has four daemons and one process of its own."""

MOST_SHOWN = 5
"""Breaches that are printed of one seed."""

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    first: typing.Annotated[
        int, typer.Option(help="First seed; 0 draws a fresh one.")
    ] = 1,
    seeds: typing.Annotated[int, typer.Option(help="How many seeds.")] = 50,
    jobs: typing.Annotated[int, typer.Option(help="Seeds at a time.")] = JOBS,
    keep: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Folder for logs.")
    ] = None,
    kind: typing.Annotated[
        plan.Kind, typer.Option(help="Which faults.")
    ] = plan.Kind.MIXED,
    vms: typing.Annotated[int, typer.Option(help="Daemons of a seed.")] = 4,
    program: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Script that starts a daemon.")
    ] = None,
) -> None:
    """Play seeds and print a line for each.

    Exit codes: 0 where every promise held for every seed, 1 otherwise.
    """
    first = first or random.SystemRandom().randrange(1_000, 1_000_000)
    folder = keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    shape = run.Shape(kind, vms)
    broken: list[int] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(run.play, seed, folder / str(seed), program, shape)
            for seed in range(first, first + seeds)
        ]
        for future in futures:
            report = future.result()
            typer.echo(format_report(report))
            if report.breaches:
                broken.append(report.seed)
    typer.echo(f"{seeds - len(broken)} of {seeds} seeds kept every promise")
    if broken:
        typer.echo(f"broken: {broken}; logs in {folder}")
        raise typer.Exit(1)


def format_report(report: run.Report) -> str:
    """Return one line, and one more for each breach up to some."""
    acts = ", ".join(f"{step.act.value} {step.how}".strip() for step in report.steps)
    lines = [
        f"seed {report.seed}: {report.served} of {report.sent} served,"
        f" {len(report.breaches)} breaches; {acts}"
    ]
    shown = report.breaches[:MOST_SHOWN]
    lines += [f"  {breach.promise}: {breach.what}" for breach in shown]
    return "\n".join(lines)


if __name__ == "__main__":
    app()
