"""A process's own figures, at the metrics address that the deploy file names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.edge.server import EdgeServer
from threadramp.fleet.model import CallerLimits

if TYPE_CHECKING:
    from threadramp.edge.server import CallerRequest
    from threadramp.report.metrics import Metrics

METRICS_PORT = 9464  # the same in the deploy file
METRICS_PATH = "/metrics"
THREADS = 1


def serve_metrics(ip: str, metrics: Metrics) -> EdgeServer:
    """Serve the figures of a process."""

    def answer(request: CallerRequest) -> None:
        if request.path == METRICS_PATH:
            request.respond(200, [("Content-Type", "text/plain")], metrics.text())
        else:
            request.respond(404)

    return EdgeServer(f"{ip}:{METRICS_PORT}", answer, THREADS, CallerLimits())


__all__ = ["METRICS_PATH", "METRICS_PORT", "serve_metrics"]
