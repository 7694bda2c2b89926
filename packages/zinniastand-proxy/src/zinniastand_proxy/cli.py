"""Command line of the daemon: the program ``zinniastand``."""

from __future__ import annotations

import pathlib
import signal
import sys
import typing

import anyio
import anyio.abc
import expression
import typer

from . import daemon, listeners, logs, settings

EXIT_BAD_INPUT = 2
EXIT_CUT_OFF = 3

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    settings_file: typing.Annotated[
        pathlib.Path,
        typer.Option("--settings", help="Settings of this VM, JSON with comments."),
    ],
    check: typing.Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Run the proxy on this VM.

    Exit codes: 0 after a graceful stop, 2 for invalid settings or an address in use, 3
    if the stop cut requests off.
    """
    match settings.load(settings_file):
        case expression.Result(tag="ok", ok=config):
            pass
        case expression.Result(error=problems):
            typer.echo(str(problems), err=True)
            raise typer.Exit(EXIT_BAD_INPUT)
    if check:
        typer.echo("settings are fine")
        return
    logs.set_up(config.log_level, config.vm)
    try:
        process = daemon.Daemon(config)
    except OSError as error:
        typer.echo(
            f"cannot listen on {config.callers} or {config.admin}: {error}", err=True
        )
        raise typer.Exit(EXIT_BAD_INPUT) from None
    anyio.run(_run, process, backend="asyncio", backend_options={"use_uvloop": True})
    if process.cut_off:
        raise typer.Exit(EXIT_CUT_OFF)


async def _run(process: daemon.Daemon) -> None:
    listeners.log_loop_errors()
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_signals, process)
        await process.run()
        group.cancel_scope.cancel()


async def _watch_signals(process: daemon.Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            process.stop()


def main() -> None:
    """Run the command line application."""
    app()


if __name__ == "__main__":
    sys.exit(main())
