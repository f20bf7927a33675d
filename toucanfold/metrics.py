"""Counters for statsd and HDR histograms per client account and importance."""

import time
from typing import Any

import statsd
from hdrh import histogram

from toucanfold import link

MIN_RECORDED_US = 1
MAX_RECORDED_US = 300_000_000
SIGNIFICANT_DIGITS = 2
# Bounds memory when a fleet has very many client accounts; further ones share
# histograms under OTHER_ACCOUNT.
MAX_HISTOGRAMS = 512
OTHER_ACCOUNT = "other"


class Metrics:
    """Measurements of one process; times in seconds unless named otherwise."""

    __slots__ = ("_client", "_histograms", "_unsent_counts", "counters", "gauges")

    def __init__(self, statsd_address: str = "", prefix: str = "toucanfold"):
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._unsent_counts: dict[str, int] = {}
        self._histograms: dict[tuple[str, str, str], Any] = {}
        self._client: statsd.StatsClient | None = None
        if statsd_address:
            host, port = link.split_address(statsd_address)
            self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount
        if self._client is not None:
            self._unsent_counts[name] = self._unsent_counts.get(name, 0) + amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, account: str, importance: str, seconds: float) -> None:
        """Record a time in the histogram of a client account and an importance."""
        key = (name, account, importance)
        hdr = self._histograms.get(key)
        if hdr is None:
            if len(self._histograms) >= MAX_HISTOGRAMS:
                key = (name, OTHER_ACCOUNT, importance)
            hdr = self._histograms.setdefault(
                key,
                histogram.HdrHistogram(
                    MIN_RECORDED_US, MAX_RECORDED_US, SIGNIFICANT_DIGITS
                ),
            )
        hdr.record_value(min(MAX_RECORDED_US, max(MIN_RECORDED_US, int(seconds * 1e6))))

    def report(self) -> None:
        """Send what changed since the last report to statsd."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, amount in self._unsent_counts.items():
                pipe.incr(name, amount)
            for name, value in self.gauges.items():
                pipe.gauge(name, value)
        self._unsent_counts.clear()

    def dump(self) -> dict[str, Any]:
        """Return counters, gauges and histogram percentiles (microseconds)."""
        histograms = [
            {
                "name": name,
                "account": account,
                "importance": importance,
                "count": hdr.get_total_count(),
                "p50_us": hdr.get_value_at_percentile(50),
                "p99_us": hdr.get_value_at_percentile(99),
                "p999_us": hdr.get_value_at_percentile(99.9),
                "max_us": hdr.get_max_value(),
            }
            for (name, account, importance), hdr in self._histograms.items()
        ]
        return {
            "counters": dict(self.counters),
            "gauges": dict(self.gauges),
            "histograms": histograms,
            "time": time.time(),
        }
