"""Merge the events of many VMs and format them as text or as an HTML page."""

from __future__ import annotations

import collections.abc
import datetime
import typing

import jinja2

Event = dict[str, typing.Any]

KIND_COLOURS = {
    "ejected": "#b3261e",
    "suspected": "#c77700",
    "request-unknown": "#b3261e",
    "log-down": "#b3261e",
    "peer-down": "#c77700",
    "bundle-accepted": "#1b6e3c",
    "readmitted": "#1b6e3c",
    "log-up": "#1b6e3c",
}
"""Colours of kinds of events: red for failures, amber for suspected failures, green for
recoveries and accepted bundles."""

DEFAULT_COLOUR = "#44546a"
"""Colour of all other kinds of events."""


def merge(pages: collections.abc.Iterable[Event]) -> list[Event]:
    """Return the events of all pages, ordered by their hybrid timestamps.

    Parameters
    ----------
    pages : iterable of dict
        Contents of the VMs' ``/events`` pages.
    """
    events = [event for page in pages for event in page["events"]]
    return sorted(events, key=lambda item: (item["time"], item["count"], item["vm"]))


def format_line(event: Event) -> str:
    """Return an event as one line of text."""
    clock = format_time(event["time"])
    return (
        f"{clock} {event['vm']:12} {event['kind']:18} "
        f"{event['subject']}  {event['detail']}"
    )


def format_time(seconds: float) -> str:
    """Return the time of day in UTC with milliseconds, for Unix time in seconds."""
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]


def render(events: list[Event]) -> str:
    """Return merged events as a self-contained HTML page."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("zinniastand_ctl", "templates"),
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    vms = sorted({event["vm"] for event in events})
    first = events[0]["time"] if events else 0.0
    last = events[-1]["time"] if events else 0.0
    span = max(0.001, last - first)
    rows = [
        {
            **event,
            "clock": format_time(event["time"]),
            "place": 100.0 * (event["time"] - first) / span,
            "colour": KIND_COLOURS.get(event["kind"], DEFAULT_COLOUR),
        }
        for event in events
    ]
    return environment.get_template("timeline.html.jinja").render(
        rows=rows,
        vms=vms,
        kinds=sorted({event["kind"] for event in events}),
        start=format_time(first),
        end=format_time(last),
    )
