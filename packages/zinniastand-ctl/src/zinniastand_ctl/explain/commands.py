"""The command that explains logs."""

from __future__ import annotations

import pathlib
import typing

import typer

from .. import output
from . import account, account_page, causes, log_reader, story, summary

HINT = "give files or folders of JSON lines, or - for standard input"

LogsArgument = typing.Annotated[
    list[str], typer.Argument(help="Log files, folders of them, or - .")
]


def explain(
    logs: LogsArgument,
    request: typing.Annotated[
        str, typer.Option("--request", help="Tell the story of this request.")
    ] = "",
    html: typing.Annotated[
        pathlib.Path | None, typer.Option("--html", help="Write a page.")
    ] = None,
    compare: typing.Annotated[
        str, typer.Option("--compare", help="Log file or folder of another run.")
    ] = "",
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON for scripts.")
    ] = False,
) -> None:
    """Tell why requests were not served, from the logs of any number of VMs.

    Exit codes: 0 done, 1 nothing found, 2 no readable input. Broken lines are named on
    standard error and do not end the command.
    """
    if request:
        _tell_story(logs, request, as_json)
        return
    found = _read(logs)
    if compare:
        _show_comparison(_read([compare]), found, as_json)
        return
    if html is not None:
        _write(html, account_page.render(found))
    output.show(summary.describe(found), as_json, format_account(found))


def format_account(found: account.Account) -> str:
    """Return an account as text."""
    owed = max(1, summary.count_owed(found))
    head = [
        f"{summary.count_owed(found)} requests at {len(found.vms)} VMs: "
        + ", ".join(
            f"{result.value} {found.count_result(result) / owed:.1%}"
            for result in causes.Result
            if result is not causes.Result.DECLINED
        ),
        f"tried at more than one target: {found.tried_again}; no answer in the logs: "
        f"{found.unanswered}; lines dropped by the VMs: {found.lines_dropped}",
    ]
    rows = [
        [row.cause, row.count, f"{row.share:.2%}"] for row in summary.list_causes(found)
    ]
    crashes = [
        [row.fingerprint, row.crashed, row.sent, row.answered]
        for row in summary.list_crashes(found)
    ]
    calls = [[*key, count] for key, count in sorted(found.store_calls.items())]
    parts = [
        "\n".join(head),
        output.format_table(["cause", "requests", "of all"], rows),
    ]
    if crashes:
        names = ["request at crashed targets", "crashed", "sent since", "answered"]
        parts.append(output.format_table(names, crashes))
    limits = [
        [row.target, row.limit, f"{row.busiest:.1f}"]
        for row in summary.list_limits(found)
    ]
    if limits:
        names = ["target with a limit", "a second", "busiest seconds"]
        parts.append(output.format_table(names, limits))
    parts += _format_retries(found)
    if found.store_returns:
        described = summary.describe(found)["store_returns"]
        names = ["store returned from a copy, era", "first seen", "not served near"]
        parts.append(output.format_table(names, _list_returns(described)))
    if calls:
        parts.append(output.format_table(["call to the store", "", "calls"], calls))
    return "\n\n".join(parts)


def _format_retries(found: account.Account) -> list[str]:
    """Return a table of the busiest seconds of retries, if there were any."""
    rows = [
        [
            row.service,
            row.begin,
            row.retries,
            row.requests,
            ", ".join(f"{name} {count}" for name, count in row.dispatchers.items()),
        ]
        for row in summary.list_retries(found)
    ]
    names = [f"most retries in {summary.RETRY_SPAN} s", "from", "retries", "requests"]
    return [output.format_table([*names, "given by"], rows)] if rows else []


def _list_returns(described: object) -> list[list[object]]:
    if not isinstance(described, dict):
        return []
    return [
        [era, f"{row['first_seen']:.1f}", row["unserved_near"]]
        for era, row in described.items()
    ]


def _read(logs: list[str]) -> account.Account:
    reader = log_reader.LogReader(_report_progress)
    found = account.Account()
    for record in reader.read(logs):
        found.take(record)
    found.finish()
    _report_findings(reader)
    if not found.events:
        output.fail(f"no log lines in {', '.join(logs)}: {HINT}")
    return found


def _tell_story(logs: list[str], request: str, as_json: bool) -> None:
    reader = log_reader.LogReader(_report_progress)
    told = story.Story(request)
    for record in reader.read(logs):
        told.take(record)
    _report_findings(reader)
    if told.is_empty:
        output.fail(f"no line names the request {request}", output.EXIT_FAILED)
    output.show(told.list_records(), as_json, told.format_text())


def _show_comparison(
    before: account.Account, after: account.Account, as_json: bool
) -> None:
    rows = summary.compare(before, after)
    table = output.format_table(
        ["result / cause", "before", "after", ""],
        [
            [row.cause, row.before, row.after, "" if row.is_noise else "differs"]
            for row in rows
        ],
    )
    values = {
        "before": summary.describe(before),
        "after": summary.describe(after),
        "differs": [row.cause for row in rows if not row.is_noise],
    }
    output.show(values, as_json, table)


def _report_progress(lines: int) -> None:
    typer.echo(f"{lines} lines", err=True)


def _report_findings(reader: log_reader.LogReader) -> None:
    for finding in reader.findings:
        typer.echo(str(finding), err=True)
    if reader.broken > len(reader.findings):
        more = reader.broken - len(reader.findings)
        typer.echo(f"and {more} more that could not be read", err=True)


def _write(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
