"""Commands that query the admin pages of VMs: follow, status, timeline."""

from __future__ import annotations

import pathlib
import time
import typing

import anyio
import httpx
import typer

from . import bundle_commands, output, timeline_page

TIMEOUT_S = 3.0
"""Timeout of connecting to an admin page, and of each read from it."""

FOLLOW_INTERVAL_S = 0.2
"""Delay between two queries of all VMs by `follow`."""

AdminOption = typing.Annotated[
    list[str],
    typer.Option("--admin", help="Admin URL of a VM, such as http://10.0.0.1:9100."),
]


async def _fetch(url: str, path: str) -> dict[str, typing.Any] | None:
    """Return an admin page; None if the VM does not answer with JSON."""
    async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
        try:
            response = await client.get(url.rstrip("/") + path)
            return response.json()
        except (httpx.HTTPError, ValueError):
            return None


def _fetch_all(urls: list[str], path: str) -> dict[str, dict[str, typing.Any] | None]:
    """Return an admin page of every VM by its URL; None for VMs that did not answer."""
    by_url: dict[str, dict[str, typing.Any] | None] = {}

    async def _fetch_one(url: str) -> None:
        by_url[url] = await _fetch(url, path)

    async def _fetch_concurrently() -> None:
        async with anyio.create_task_group() as group:
            for url in urls:
                group.start_soon(_fetch_one, url)

    anyio.run(_fetch_concurrently)
    return {url: by_url[url] for url in urls}


def follow(
    proposal_id: typing.Annotated[str, typer.Argument(help="Id of the proposal.")],
    admin: AdminOption,
    version: typing.Annotated[
        int, typer.Option("--version", help="Version of the proposal, if known.")
    ] = 0,
    limit: typing.Annotated[
        float, typer.Option(help="Maximum time to wait, in seconds.")
    ] = 30.0,
) -> None:
    """Wait until a proposed bundle, or a later one, is in force on every VM.

    Exit codes: 0 in force on all VMs, 1 not within the limit.
    """
    started = time.monotonic()
    while True:
        pages = _fetch_all(admin, "/bundle")
        outdated = [
            url
            for url, page in pages.items()
            if page is None or not _has_bundle(page, proposal_id, version)
        ]
        if not outdated:
            typer.echo(f"in force on {len(admin)} VMs")
            return
        if time.monotonic() - started > limit:
            output.fail("not in force on: " + ", ".join(outdated), output.EXIT_FAILED)
        time.sleep(FOLLOW_INTERVAL_S)


def _has_bundle(page: dict[str, typing.Any], proposal_id: str, version: int) -> bool:
    if page["proposal_id"] == proposal_id:
        return True
    return version > 0 and page["version"] >= version


def status(admin: AdminOption, as_json: bundle_commands.JsonOption = False) -> None:
    """Show every VM, and every target as the VMs see it.

    Exit codes: 0 all VMs answered, 3 a VM did not.
    """
    pages = _fetch_all(admin, "/fleet")
    versions = _fetch_all(admin, "/bundle")
    if as_json:
        output.show({"fleet": pages, "bundles": versions}, True, "")
    else:
        typer.echo(_format_vms(pages, versions))
        typer.echo("")
        typer.echo(_format_targets(pages))
    if any(page is None for page in pages.values()):
        raise typer.Exit(output.EXIT_UNREACHABLE)


def _format_vms(
    pages: dict[str, dict[str, typing.Any] | None],
    versions: dict[str, dict[str, typing.Any] | None],
) -> str:
    rows: list[list[object]] = []
    for url, page in pages.items():
        if page is None:
            rows.append([url, "no answer", "", "", ""])
            continue
        alive = [member for member in page["members"] if member["status"] == "alive"]
        bundle = versions.get(url) or {}
        log = "up" if page["log_is_up"] else "down"
        version = bundle.get("version", "?")
        rows.append([url, page["vm"], version, len(alive), log])
    return output.format_table(["admin", "vm", "bundle", "members", "log"], rows)


def _format_targets(pages: dict[str, dict[str, typing.Any] | None]) -> str:
    views_by_target: dict[tuple[str, str], list[dict[str, typing.Any]]] = {}
    for page in pages.values():
        for service in page["services"] if page else ():
            for target in service["targets"]:
                key = (service["service"], target["target"])
                views_by_target.setdefault(key, []).append(target)
    rows: list[list[object]] = []
    for (service, name), views in sorted(views_by_target.items()):
        weights = sorted(view["weight"] for view in views)
        level = max(view["level"] for view in views)
        ejected = sum(view["ejected"] for view in views)
        weight_range = f"{weights[0]:.2f}..{weights[-1]:.2f}"
        rows.append(
            [service, name, views[0]["data_centre"], weight_range, level, ejected]
        )
    head = ["service", "target", "data centre", "weight", "level", "ejected on VMs"]
    return output.format_table(head, rows)


def timeline(
    admin: AdminOption,
    html: typing.Annotated[
        pathlib.Path | None, typer.Option(help="Write an HTML page to this file.")
    ] = None,
    about: typing.Annotated[
        str, typer.Option(help="Show only events whose subject contains this text.")
    ] = "",
    as_json: bundle_commands.JsonOption = False,
) -> None:
    """Show the events of all VMs in one causal order.

    Exit codes: 0 all VMs answered, 3 a VM did not (the others are shown).
    """
    pages = _fetch_all(admin, "/events")
    events = timeline_page.merge(page for page in pages.values() if page)
    events = [event for event in events if about in event["subject"]]
    if html is not None:
        html.write_text(timeline_page.render(events), encoding="utf-8")
        typer.echo(f"{len(events)} events: {html}")
    else:
        lines = [timeline_page.format_line(event) for event in events]
        output.show(events, as_json, "\n".join(lines))
    if any(page is None for page in pages.values()):
        raise typer.Exit(output.EXIT_UNREACHABLE)
