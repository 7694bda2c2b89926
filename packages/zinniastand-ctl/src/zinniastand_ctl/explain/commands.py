"""The command ``explain``."""

from __future__ import annotations

import pathlib
import typing

import typer

from .. import output
from . import causes, log_reader, request_history, request_totals, summary, totals_page

HINT = "give files or folders of JSON lines, or - for standard input"

LogsArgument = typing.Annotated[
    list[str], typer.Argument(help="Log files, folders of them, or - .")
]


def explain(
    logs: LogsArgument,
    request: typing.Annotated[
        str, typer.Option("--request", help="Show the log lines of this request.")
    ] = "",
    html: typing.Annotated[
        pathlib.Path | None,
        typer.Option("--html", help="Write an HTML page to this file."),
    ] = None,
    compare: typing.Annotated[
        str, typer.Option("--compare", help="Log file or folder of another run.")
    ] = "",
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON for scripts.")
    ] = False,
) -> None:
    """Explain why requests were not served, from the logs of any number of VMs.

    Exit codes: 0 done, 1 request not found, 2 no readable input. Unreadable lines are
    listed on standard error and do not end the command.
    """
    if request:
        _show_history(logs, request, as_json)
        return
    totals = _read_totals(logs)
    if compare:
        _show_comparison(_read_totals([compare]), totals, as_json)
        return
    if html is not None:
        _write_page(html, totals_page.render(totals))
    output.show(summary.describe(totals), as_json, format_totals(totals))


def format_totals(totals: request_totals.RequestTotals) -> str:
    """Return request totals as text tables."""
    routed = max(1, summary.count_routed(totals))
    head = [
        f"{summary.count_routed(totals)} requests at {len(totals.vms)} VMs: "
        + ", ".join(
            f"{result.value} {totals.count_result(result) / routed:.1%}"
            for result in causes.Result
            if result is not causes.Result.DECLINED
        ),
        f"tried at more than one target: {totals.retried_requests}; "
        f"no answer in the logs: {totals.unanswered}; "
        f"lines dropped by the VMs: {totals.lines_dropped}",
    ]
    rows = [
        [row.cause, row.count, f"{row.share:.2%}"]
        for row in summary.list_causes(totals)
    ]
    crashes = [
        [row.fingerprint, row.crashed, row.sent, row.answered]
        for row in summary.list_crashes(totals)
    ]
    calls = [[*key, count] for key, count in sorted(totals.store_calls.items())]
    sections = [
        "\n".join(head),
        output.format_table(["cause", "requests", "of all"], rows),
    ]
    if crashes:
        names = ["request at crashed targets", "crashed", "sent since", "answered"]
        sections.append(output.format_table(names, crashes))
    limits = [
        [row.target, row.limit, f"{row.busiest:.1f}"]
        for row in summary.list_limits(totals)
    ]
    if limits:
        names = ["target with a rate limit", "per second", "busiest seconds"]
        sections.append(output.format_table(names, limits))
    sections += _format_retries(totals)
    sections += _format_links(totals)
    if totals.store_returns:
        described = summary.describe(totals)["store_returns"]
        names = ["store returned from a copy, era", "first seen", "not served near"]
        sections.append(output.format_table(names, _list_store_returns(described)))
    if calls:
        sections.append(output.format_table(["call to the store", "", "calls"], calls))
    return "\n\n".join(sections)


def _format_retries(totals: request_totals.RequestTotals) -> list[str]:
    """Return a table of the windows with the most retries, if there were any."""
    rows = [
        [
            row.service,
            row.begin,
            row.retries,
            row.requests,
            ", ".join(f"{name} {count}" for name, count in row.dispatchers.items()),
        ]
        for row in summary.list_retries(totals)
    ]
    names = [
        f"most retries in {summary.RETRY_WINDOW_S} s",
        "from",
        "retries",
        "requests",
    ]
    return [output.format_table([*names, "granted by"], rows)] if rows else []


def _format_links(totals: request_totals.RequestTotals) -> list[str]:
    """Return a table of the VMs without links to targets, if there were any."""
    rows = [
        [
            row.vm,
            ", ".join(f"{name} {count}" for name, count in row.lost.items()),
            row.relayed,
            row.relays,
        ]
        for row in summary.list_links(totals)
    ]
    names = ["VM without links", "lost links to", "relayed attempts", "relays"]
    return [output.format_table(names, rows)] if rows else []


def _list_store_returns(described: object) -> list[list[object]]:
    if not isinstance(described, dict):
        return []
    return [
        [era, f"{row['first_seen']:.1f}", row["unserved_near"]]
        for era, row in described.items()
    ]


def _read_totals(logs: list[str]) -> request_totals.RequestTotals:
    reader = log_reader.LogReader(_report_progress)
    totals = request_totals.RequestTotals()
    for record in reader.read(logs):
        totals.add_record(record)
    totals.finish()
    _report_findings(reader)
    if not totals.events:
        output.fail(f"no log lines in {', '.join(logs)}: {HINT}")
    return totals


def _show_history(logs: list[str], request: str, as_json: bool) -> None:
    reader = log_reader.LogReader(_report_progress)
    history = request_history.RequestHistory(request)
    for record in reader.read(logs):
        history.add_record(record)
    _report_findings(reader)
    if history.is_empty:
        output.fail(f"no log line names the request {request}", output.EXIT_FAILED)
    output.show(history.list_records(), as_json, history.format_text())


def _show_comparison(
    before: request_totals.RequestTotals,
    after: request_totals.RequestTotals,
    as_json: bool,
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
    typer.echo(f"{lines} lines read", err=True)


def _report_findings(reader: log_reader.LogReader) -> None:
    for finding in reader.findings:
        typer.echo(str(finding), err=True)
    if reader.broken > len(reader.findings):
        unlisted = reader.broken - len(reader.findings)
        typer.echo(f"{unlisted} more lines or files could not be read", err=True)


def _write_page(path: pathlib.Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        output.fail(f"{path}: {error.strerror}")
