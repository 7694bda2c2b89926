"""Logging as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as json_formatter

ROOT_LOGGER = "zinniastand"
RECORD_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up(level: str, vm: str) -> None:
    """Send this process's logs to standard error, one JSON object per line.

    Parameters
    ----------
    level : str
        Lowest level that is logged; see `settings.LOG_LEVELS`.
    vm : str
        Name of this VM, added to every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    formatter = json_formatter.JsonFormatter(
        RECORD_FORMAT,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # These libraries log a line per request; the metrics count requests already.
    for library in ("httpx", "httpcore", "hypercorn.access", "websockets"):
        logging.getLogger(library).setLevel(logging.WARNING)


def get_logger(name: str) -> logging.Logger:
    """Return the daemon's logger with that name."""
    return logging.getLogger(f"{ROOT_LOGGER}.{name}")
