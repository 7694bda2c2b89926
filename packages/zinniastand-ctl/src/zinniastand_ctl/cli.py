"""Entry point of ``zinniactl``: registers all commands."""

from __future__ import annotations

import sys
import typing

import typer

from zinniastand_standins import demo

from . import bundle_commands, fleet_commands, output
from .explain import commands as explain_commands

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operate a fleet of zinniastand proxies.",
)

app.command("check-settings")(bundle_commands.check_settings)
app.command("check-bundle")(bundle_commands.check_bundle)
app.command("make-key")(bundle_commands.make_key)
app.command("propose")(bundle_commands.propose)
app.command("diff")(bundle_commands.diff)
app.command("sign")(bundle_commands.sign)
app.command("publish")(bundle_commands.publish)
app.command("drain")(bundle_commands.drain)
app.command("undrain")(bundle_commands.undrain)
app.command("follow")(fleet_commands.follow)
app.command("status")(fleet_commands.status)
app.command("timeline")(fleet_commands.timeline)
app.command("explain")(explain_commands.explain)


@app.command("demo")
def run_demo(
    seed: typing.Annotated[int, typer.Option(help="Seed of the stand-ins.")] = 1,
) -> None:
    """Run two small sites on loopback through a series of faults.

    Exit codes: 0 if no promise was broken, 1 otherwise.
    """
    report = demo.run(seed)
    typer.echo(report.format_text())
    if report.broken_promises:
        output.fail(
            "broken promises: " + "; ".join(report.broken_promises), output.EXIT_FAILED
        )


def main() -> None:
    """Run the command line application."""
    app()


if __name__ == "__main__":
    sys.exit(main())
