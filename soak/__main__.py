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
"""Number of seeds that are played at the same time. Each runs in a process of its own
and starts four daemons by default."""

MAX_SHOWN_BREACHES = 5
"""Number of breaches that are printed for each seed."""

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    first: typing.Annotated[
        int, typer.Option(help="First seed; 0 for a random one.")
    ] = 1,
    seeds: typing.Annotated[int, typer.Option(help="Number of seeds.")] = 50,
    jobs: typing.Annotated[int, typer.Option(help="Seeds played at a time.")] = JOBS,
    keep: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Folder for settings and logs.")
    ] = None,
    kind: typing.Annotated[
        plan.Kind, typer.Option(help="Kind of the plans.")
    ] = plan.Kind.MIXED,
    vms: typing.Annotated[int, typer.Option(help="Number of VMs per seed.")] = 4,
    program: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Script that starts a daemon.")
    ] = None,
) -> None:
    """Play seeds and print a line for each.

    Exit codes: 0 if every seed kept every promise, 1 otherwise.
    """
    first = first or random.SystemRandom().randrange(1_000, 1_000_000)
    folder = keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    scenario = run.Scenario(kind, vms)
    broken_seeds: list[int] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        futures = [
            pool.submit(run.play_seed, seed, folder / str(seed), program, scenario)
            for seed in range(first, first + seeds)
        ]
        for future in futures:
            report = future.result()
            typer.echo(format_report(report))
            if report.breaches:
                broken_seeds.append(report.seed)
    typer.echo(f"{seeds - len(broken_seeds)} of {seeds} seeds kept every promise")
    if broken_seeds:
        typer.echo(f"broken: {broken_seeds}; logs in {folder}")
        raise typer.Exit(1)


def format_report(report: run.Report) -> str:
    """Return a line for the seed, and one for each of its first breaches."""
    actions = ", ".join(
        f"{step.action.value} {step.variant}".strip() for step in report.steps
    )
    lines = [
        f"seed {report.seed}: {report.served_count} of {report.sent_count} served,"
        f" {len(report.breaches)} breaches; {actions}"
    ]
    shown_breaches = report.breaches[:MAX_SHOWN_BREACHES]
    lines += [f"  {breach.promise}: {breach.detail}" for breach in shown_breaches]
    return "\n".join(lines)


if __name__ == "__main__":
    app()
