"""Logs as JSON lines on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger import json as json_formatter

ROOT = "zinniastand"
FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up(level: str, vm: str) -> None:
    """Send logs of this process to standard error, one JSON object a line."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = json_formatter.JsonFormatter(
        FIELDS,
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    # Each line of these is repeated for every request, which the metrics count.
    for noisy in ("httpx", "httpcore", "hypercorn.access", "websockets"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def get_logger(name: str) -> logging.Logger:
    """Return the logger of one module."""
    return logging.getLogger(f"{ROOT}.{name}")
