"""Metrics of one process: latency histograms and counts, in the usual text form."""

from __future__ import annotations

import collections
import collections.abc

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class Metrics:
    """Counts and latencies, by name and label text."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._gauges: dict[tuple[str, str], float] = {}
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(self, name: str, labels: str = "") -> None:
        """Add one to a counter."""
        self._counts[name, labels] += 1

    def set_gauge(self, name: str, value: float, labels: str = "") -> None:
        """Set a gauge."""
        self._gauges[name, labels] = value

    def record(self, name: str, seconds: float, labels: str = "") -> None:
        """Record a latency."""
        known = self._latencies.get((name, labels))
        if known is None:
            known = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._latencies[name, labels] = known
        known.record_value(max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS)))

    def read_count(self, name: str, labels: str = "") -> int:
        """Return a counter."""
        return self._counts[name, labels]

    def format_text(self) -> str:
        """Return everything in the Prometheus text exposition format."""
        lines: list[str] = []
        self._format_simple(lines, "counter", dict(self._counts))
        self._format_simple(lines, "gauge", self._gauges)
        named = sorted({name for name, _ in self._latencies})
        for name in named:
            lines.append(f"# TYPE {name} summary")
            for (other, labels), known in sorted(
                self._latencies.items(), key=lambda item: item[0]
            ):
                if other == name:
                    lines += _format_summary(name, labels, known)
        return "\n".join(lines) + "\n"

    def _format_simple(
        self,
        lines: list[str],
        form: str,
        values: collections.abc.Mapping[tuple[str, str], float],
    ) -> None:
        last = ""
        for (name, labels), value in sorted(values.items()):
            if name != last:
                lines.append(f"# TYPE {name} {form}")
                last = name
            lines.append(f"{name}{_wrap(labels)} {value}")


def label(**values: str) -> str:
    """Return label text, with values quoted."""
    pairs = []
    for name, value in values.items():
        quoted = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        pairs.append(f'{name}="{quoted}"')
    return ",".join(pairs)


def _format_summary(name: str, labels: str, known: histogram.HdrHistogram) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value = known.get_value_at_percentile(quantile * 100) / MICROSECONDS
        joined = ",".join(filter(None, [labels, f'quantile="{quantile}"']))
        lines.append(f"{name}{_wrap(joined)} {value}")
    total = known.get_total_count()
    mean = known.get_mean_value() / MICROSECONDS if total else 0.0
    lines.append(f"{name}_sum{_wrap(labels)} {mean * total}")
    lines.append(f"{name}_count{_wrap(labels)} {total}")
    return lines


def _wrap(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""
