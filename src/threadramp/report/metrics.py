"""Counters and latency histograms, in the Prometheus text format."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MIN_LATENCY_US = 1
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 90.0, 99.0, 99.9)
US_PER_S = 1_000_000


class Metrics(Collector):
    """The metrics of one process.

    :param prefix: prefix of each metric's name
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.events = Counter(
            f"{prefix}_events",
            "Events by kind and label",
            ["kind", "label"],
            registry=self.registry,
        )
        self.values = Gauge(
            f"{prefix}_current",
            "Current values by kind and label",
            ["kind", "label"],
            registry=self.registry,
        )
        self.lock = threading.Lock()
        self.latencies: dict[str, HdrHistogram] = {}

    def count(self, kind: str, label: str = "", amount: float = 1) -> None:
        """Add to the counter of a kind and label."""
        self.events.labels(kind, label).inc(amount)

    def show(self, kind: str, label: str, value: Callable[[], float]) -> None:
        """Report a current value by kind and label, read each time the metrics are asked for."""
        self.values.labels(kind, label).set_function(value)

    def record_latency(self, label: str, seconds: float) -> None:
        """Record the latency of one operation.

        :param label: class of the operation
        """
        with self.lock:
            histogram = self.latencies.get(label)
            if histogram is None:
                histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                self.latencies[label] = histogram
            histogram.record_value(max(MIN_LATENCY_US, int(seconds * US_PER_S)))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the latencies by class; called by the registry."""
        family = SummaryMetricFamily(
            f"{self.prefix}_latency_seconds", "Latency by class and quantile", labels=["class"]
        )
        with self.lock:
            for label, histogram in self.latencies.items():
                total = histogram.get_total_count()
                mean_s = histogram.get_mean_value() / US_PER_S
                family.add_metric([label], count_value=total, sum_value=mean_s * total)
                for quantile in QUANTILES:
                    value = histogram.get_value_at_percentile(quantile) / US_PER_S
                    labels = {"class": label, "quantile": str(quantile / 100)}
                    family.add_sample(f"{self.prefix}_latency_seconds", labels, value)
        yield family


__all__ = ["Metrics"]
