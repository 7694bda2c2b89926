"""An account as one page that needs nothing else."""

from __future__ import annotations

import collections
import datetime

import jinja2

from . import account, causes, summary

WIDTH = 960.0
HEIGHT = 180.0

COLOURS = {
    causes.Result.SERVED: "#4a8f5c",
    causes.Result.LATE: "#d9a441",
    causes.Result.REFUSED: "#7d8aa5",
    causes.Result.FAILED: "#b3402e",
}
"""Colours of what callers got, from the bottom of a column to its top."""

CAUSE_COLOURS = (
    "#b3402e",
    "#d97757",
    "#7d8aa5",
    "#d9a441",
    "#5b7f95",
    "#8d6a9f",
    "#4a8f5c",
    "#a08060",
)


def render(found: account.Account) -> str:
    """Return the page."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("zinniastand_ctl", "templates"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    seconds = sorted({*found.by_second, *found.store_calls_by_second})
    rows = summary.list_causes(found)
    names = [row.cause for row in rows[: len(CAUSE_COLOURS)]]
    return environment.get_template("explain.html.jinja").render(
        owed=summary.count_owed(found),
        vms=len(found.vms),
        start=_format_time(seconds[0]) if seconds else "",
        end=_format_time(seconds[-1]) if seconds else "",
        results=[
            (result.value, found.count_result(result), colour)
            for result, colour in COLOURS.items()
        ],
        causes=rows,
        outcomes=draw_columns(
            {second: found.by_second.get(second, {}) for second in seconds},
            {result.value: colour for result, colour in COLOURS.items()},
        ),
        reasons=draw_columns(
            {second: found.causes_by_second.get(second, {}) for second in seconds},
            dict(zip(names, CAUSE_COLOURS, strict=False)),
        ),
        legend=list(zip(names, CAUSE_COLOURS, strict=False)),
        calls=draw_columns(
            {
                second: {"calls": found.store_calls_by_second.get(second, 0)}
                for second in seconds
            },
            {"calls": "#5b7f95"},
        ),
        call_rows=sorted(found.store_calls.items(), key=lambda item: -item[1]),
        targets=summary.list_targets(found),
        crashes=summary.list_crashes(found),
        services=_list_groups(found.by_service),
        places=_list_groups(found.by_place),
        machines=_list_groups(found.by_vm)[: summary.MOST_ROWS],
        versions=[
            (version, len(times), max(times) - min(times))
            for version, times in sorted(found.versions.items())
        ],
        dropped=found.lines_dropped,
        width=WIDTH,
        height=HEIGHT,
    )


def draw_columns(
    counts: dict[int, dict[str, int] | collections.Counter[str]],
    colours: dict[str, str],
) -> list[dict[str, object]]:
    """Return the boxes of stacked columns, one column a second."""
    if not counts:
        return []
    first, last = min(counts), max(counts)
    width = WIDTH / (last - first + 1)
    tallest = max(
        1, *(sum(row.get(name, 0) for name in colours) for row in counts.values())
    )
    boxes: list[dict[str, object]] = []
    for second, row in counts.items():
        bottom = HEIGHT
        for name, colour in colours.items():
            tall = HEIGHT * row.get(name, 0) / tallest
            if not tall:
                continue
            bottom -= tall
            boxes.append(
                {
                    "x": round((second - first) * width, 2),
                    "y": round(bottom, 2),
                    "width": round(max(0.5, width - 1), 2),
                    "height": round(tall, 2),
                    "colour": colour,
                    "title": f"{_format_time(second)} {name}: {row.get(name, 0)}",
                }
            )
    return boxes


def _list_groups(
    groups: dict[str, collections.Counter[str]],
) -> list[tuple[str, list[int], float]]:
    """Return name, counts by result and share not served, the worst first."""
    rows = []
    for name, counts in groups.items():
        numbers = [counts.get(result.value, 0) for result in COLOURS]
        owed = sum(numbers)
        if owed:
            unserved = (numbers[-1] + numbers[-2]) / owed
            rows.append((name or "-", numbers, unserved))
    return sorted(rows, key=lambda row: -row[2])


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime("%H:%M:%S")
