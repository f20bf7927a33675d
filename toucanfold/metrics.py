"""Counters for statsd and HDR histograms per client account and class."""

import time
from typing import Any

import statsd
from hdrh import histogram

from toucanfold import link

LOWEST_US = 1
HIGHEST_US = 300_000_000
SIGNIFICANT_DIGITS = 2
# Bounds memory when a fleet has very many client accounts; the rest share one.
MAX_HISTOGRAMS = 512
OTHER = "other"


class Metrics:
    """What one process measures; times in seconds unless named otherwise."""

    __slots__ = ("_client", "_histograms", "_pending", "counters", "gauges")

    def __init__(self, statsd_address: str = "", prefix: str = "toucanfold"):
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._pending: dict[str, int] = {}
        self._histograms: dict[tuple[str, str, str], Any] = {}
        self._client: statsd.StatsClient | None = None
        if statsd_address:
            host, port = link.split_address(statsd_address)
            self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount
        if self._client is not None:
            self._pending[name] = self._pending.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, account: str, importance: str, seconds: float) -> None:
        """Record a time in the histogram of a client account and a class."""
        key = (name, account, importance)
        found = self._histograms.get(key)
        if found is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                key = (name, OTHER, importance)
            found = self._histograms.setdefault(
                key,
                histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS),
            )
        found.record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))

    def report(self) -> None:
        """Send what changed since the last report to statsd."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, amount in self._pending.items():
                pipe.incr(name, amount)
            for name, value in self.gauges.items():
                pipe.gauge(name, value)
        self._pending.clear()

    def dump(self) -> dict[str, Any]:
        """Return counters, gauges and histogram percentiles (microseconds)."""
        histograms = [
            {
                "name": name,
                "account": account,
                "importance": importance,
                "count": found.get_total_count(),
                "p50_us": found.get_value_at_percentile(50),
                "p99_us": found.get_value_at_percentile(99),
                "p999_us": found.get_value_at_percentile(99.9),
                "max_us": found.get_max_value(),
            }
            for (name, account, importance), found in self._histograms.items()
        ]
        return {
            "counters": dict(self.counters),
            "gauges": dict(self.gauges),
            "histograms": histograms,
            "time": time.time(),
        }
