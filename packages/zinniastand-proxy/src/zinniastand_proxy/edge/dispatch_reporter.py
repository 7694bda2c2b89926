"""Reports the state of this VM's dispatchers to the log and the metrics."""

from __future__ import annotations

import dataclasses

import anyio

from .. import metrics
from . import local_dispatchers, log_lines
from .retries import retry_limiter

REPORT_INTERVAL_S = 1.0
"""Seconds between two reports."""


class DispatchReporter:
    """Reports the state of the dispatchers that this VM runs.

    Parameters
    ----------
    dispatchers : local_dispatchers.LocalDispatchers
        The dispatchers of this VM.
    log : log_lines.LogLines
        Gets one line for each busy dispatcher and interval.
    counters : metrics.Metrics
        Get the same figures as gauges.
    """

    def __init__(
        self,
        dispatchers: local_dispatchers.LocalDispatchers,
        log: log_lines.LogLines,
        counters: metrics.Metrics,
    ) -> None:
        self._dispatchers = dispatchers
        self._log = log
        self._counters = counters

    async def run(self) -> None:
        """Report at intervals until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            self.report(anyio.current_time())

    def report(self, now: float) -> None:
        """Write one line for each busy dispatcher, and set its gauges."""
        for shard, summary in self._dispatchers.summarize(now):
            fields = dataclasses.asdict(summary)
            self._log.write("dispatching", shard=shard.task, **fields)
            labels = metrics.label(shard=shard.task)
            for name, value in fields.items():
                gauge = f"zinniastand_dispatch_{name}"
                self._counters.set_gauge(gauge, value, labels)

    def report_retries(self, now: float) -> None:
        """Set the gauges of the retry totals of each service."""
        for service, totals in self._dispatchers.find_retry_totals(now).items():
            labels = metrics.label(service=service)
            for field in dataclasses.fields(totals):
                name = f"zinniastand_retry_{field.name}"
                value = round(getattr(totals, field.name), 1)
                self._counters.set_gauge(name, value, labels)


def report_ledgers(
    limiter: retry_limiter.RetryLimiter, counters: metrics.Metrics, now: float
) -> None:
    """Set the gauges of the retries that this VM sends, lends and borrows."""
    for service, totals in limiter.find_totals(now).items():
        labels = metrics.label(service=service)
        for name, value in dataclasses.asdict(totals).items():
            counters.set_gauge(f"zinniastand_retry_ledger_{name}", value, labels)
