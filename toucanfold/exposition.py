"""Metrics in the Prometheus text format."""

from collections.abc import Iterator, Mapping
from typing import Any

from prometheus_client import core, registry
from prometheus_client import exposition as text_format

CONTENT_TYPE = text_format.CONTENT_TYPE_LATEST.encode()
SECONDS_PER_MICROSECOND = 1e-6
_QUANTILES = (("0.5", "p50_us"), ("0.99", "p99_us"), ("0.999", "p999_us"))


class _DumpCollector(registry.Collector):
    """Turns the dump of metrics.Metrics into metric families of prometheus_client."""

    def __init__(self, dump: dict[str, Any], gauges: Mapping[str, float]):
        self._dump = dump
        self._gauges = gauges

    def collect(self) -> Iterator[core.Metric]:
        """Yield counters, gauges and the quantiles of times (s)."""
        events = core.CounterMetricFamily(
            "toucanfold_events", "Events by name.", labels=["name"]
        )
        for name, amount in self._dump["counters"].items():
            events.add_metric([name], amount)
        yield events
        gauges = {**self._dump["gauges"], **self._gauges}
        for name, value in gauges.items():
            yield core.GaugeMetricFamily(f"toucanfold_{name}", name, value=value)
        yield self._time_quantiles()

    def _time_quantiles(self) -> core.Metric:
        labels = ["name", "account", "importance", "quantile"]
        times = core.GaugeMetricFamily(
            "toucanfold_seconds", "Quantiles of times since the start.", labels=labels
        )
        for item in self._dump["histograms"]:
            label_values = [item["name"], item["account"], item["importance"]]
            for quantile, field in _QUANTILES:
                times.add_metric(
                    [*label_values, quantile], item[field] * SECONDS_PER_MICROSECOND
                )
        return times


def render(dump: dict[str, Any], gauges: Mapping[str, float]) -> bytes:
    """Return a dump of metrics.Metrics and further gauges as text (UTF-8)."""
    collected = registry.CollectorRegistry()
    collected.register(_DumpCollector(dump, gauges))
    return text_format.generate_latest(collected)
