"""Counters, gauges and latency histograms of one process, for Prometheus."""

from __future__ import annotations

import collections
import collections.abc

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_S = 1_000_000.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class Metrics:
    """Counters, gauges and latencies, by name and label text."""

    def __init__(self) -> None:
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()
        self._gauges: dict[tuple[str, str], float] = {}
        self._latencies: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(self, name: str, labels: str = "") -> None:
        """Add one to a counter."""
        self._counts[name, labels] += 1

    def set_gauge(self, name: str, value: float, labels: str = "") -> None:
        """Set a gauge to `value`."""
        self._gauges[name, labels] = value

    def record(self, name: str, seconds: float, labels: str = "") -> None:
        """Record a latency in seconds."""
        latencies = self._latencies.get((name, labels))
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latencies[name, labels] = latencies
        latencies.record_value(max(MIN_LATENCY_US, int(seconds * MICROSECONDS_PER_S)))

    def read_count(self, name: str, labels: str = "") -> int:
        """Return the value of a counter; 0 if it was never counted."""
        return self._counts[name, labels]

    def format_text(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines: list[str] = []
        self._format_values(lines, "counter", dict(self._counts))
        self._format_values(lines, "gauge", self._gauges)
        named = sorted({name for name, _ in self._latencies})
        for name in named:
            lines.append(f"# TYPE {name} summary")
            for (other, labels), known in sorted(
                self._latencies.items(), key=lambda item: item[0]
            ):
                if other == name:
                    lines += _format_summary(name, labels, known)
        return "\n".join(lines) + "\n"

    def _format_values(
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
            lines.append(f"{name}{_enclose(labels)} {value}")


def label(**values: str) -> str:
    """Return the text of labels, with their values quoted and escaped."""
    pairs = []
    for name, value in values.items():
        quoted = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        pairs.append(f'{name}="{quoted}"')
    return ",".join(pairs)


def _format_summary(
    name: str, labels: str, latencies: histogram.HdrHistogram
) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value = latencies.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_S
        joined = ",".join(filter(None, [labels, f'quantile="{quantile}"']))
        lines.append(f"{name}{_enclose(joined)} {value}")
    total = latencies.get_total_count()
    mean = latencies.get_mean_value() / MICROSECONDS_PER_S if total else 0.0
    lines.append(f"{name}_sum{_enclose(labels)} {mean * total}")
    lines.append(f"{name}_count{_enclose(labels)} {total}")
    return lines


def _enclose(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""
