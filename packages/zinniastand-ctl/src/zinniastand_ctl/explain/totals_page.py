"""Render request totals as a self-contained HTML page."""

from __future__ import annotations

import collections
import datetime

import jinja2

from . import causes, request_totals, summary

CHART_WIDTH = 960.0
"""Width of a chart, in units of its SVG view box."""

CHART_HEIGHT = 180.0
"""Height of a chart, in units of its SVG view box."""

RESULT_COLOURS = {
    causes.Result.SERVED: "#4a8f5c",
    causes.Result.LATE: "#d9a441",
    causes.Result.REFUSED: "#7d8aa5",
    causes.Result.FAILED: "#b3402e",
}
"""Colours of the results, from the bottom of a column to its top."""

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
"""Colours of the most frequent causes; further causes are not drawn."""


def render(totals: request_totals.RequestTotals) -> str:
    """Return the page as HTML."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("zinniastand_ctl", "templates"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    seconds = sorted({*totals.by_second, *totals.store_calls_by_second})
    rows = summary.list_causes(totals)
    names = [row.cause for row in rows[: len(CAUSE_COLOURS)]]
    return environment.get_template("explain.html.jinja").render(
        owed=summary.count_routed(totals),
        vms=len(totals.vms),
        start=_format_time(seconds[0]) if seconds else "",
        end=_format_time(seconds[-1]) if seconds else "",
        results=[
            (result.value, totals.count_result(result), colour)
            for result, colour in RESULT_COLOURS.items()
        ],
        causes=rows,
        outcomes=draw_columns(
            {second: totals.by_second.get(second, {}) for second in seconds},
            {result.value: colour for result, colour in RESULT_COLOURS.items()},
        ),
        reasons=draw_columns(
            {second: totals.causes_by_second.get(second, {}) for second in seconds},
            dict(zip(names, CAUSE_COLOURS, strict=False)),
        ),
        legend=list(zip(names, CAUSE_COLOURS, strict=False)),
        calls=draw_columns(
            {
                second: {"calls": totals.store_calls_by_second.get(second, 0)}
                for second in seconds
            },
            {"calls": "#5b7f95"},
        ),
        call_rows=sorted(totals.store_calls.items(), key=lambda item: -item[1]),
        targets=summary.list_targets(totals),
        crashes=summary.list_crashes(totals),
        services=_list_groups(totals.by_service),
        places=_list_groups(totals.by_data_centre),
        machines=_list_groups(totals.by_vm)[: summary.MAX_ROWS],
        versions=[
            (version, len(times), max(times) - min(times))
            for version, times in sorted(totals.versions.items())
        ],
        dropped=totals.lines_dropped,
        width=CHART_WIDTH,
        height=CHART_HEIGHT,
    )


def draw_columns(
    counts: dict[int, dict[str, int] | collections.Counter[str]],
    colours: dict[str, str],
) -> list[dict[str, object]]:
    """Return the boxes of a stacked column chart with one column per second.

    Parameters
    ----------
    counts : dict
        Counts by name for each second.
    colours : dict
        Colours by name, from the bottom of a column to its top. Names without a
        colour are left out.
    """
    if not counts:
        return []
    first, last = min(counts), max(counts)
    width = CHART_WIDTH / (last - first + 1)
    max_total = max(
        1, *(sum(row.get(name, 0) for name in colours) for row in counts.values())
    )
    boxes: list[dict[str, object]] = []
    for second, row in counts.items():
        bottom = CHART_HEIGHT
        for name, colour in colours.items():
            box_height = CHART_HEIGHT * row.get(name, 0) / max_total
            if not box_height:
                continue
            bottom -= box_height
            boxes.append(
                {
                    "x": round((second - first) * width, 2),
                    "y": round(bottom, 2),
                    "width": round(max(0.5, width - 1), 2),
                    "height": round(box_height, 2),
                    "colour": colour,
                    "title": f"{_format_time(second)} {name}: {row.get(name, 0)}",
                }
            )
    return boxes


def _list_groups(
    groups: dict[str, collections.Counter[str]],
) -> list[tuple[str, list[int], float]]:
    """Return name, counts by result and unserved share, the largest share first.

    Groups without a request that matched a route are left out.
    """
    rows = []
    for name, counts in groups.items():
        numbers = [counts.get(result.value, 0) for result in RESULT_COLOURS]
        total = sum(numbers)
        if total:
            unserved = (numbers[-1] + numbers[-2]) / total
            rows.append((name or "-", numbers, unserved))
    return sorted(rows, key=lambda row: -row[2])


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime("%H:%M:%S")
