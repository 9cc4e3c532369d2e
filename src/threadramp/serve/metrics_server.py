"""Serves the metrics of a process at the address that the deploy file names."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.edge.server import EdgeServer
from threadramp.fleet.model import CallerLimits
from threadramp.policy.open_connections import PROBE_BYTES, PROBE_CONNECTIONS

if TYPE_CHECKING:
    from threadramp.edge.server import CallerRequest
    from threadramp.report.metrics import Metrics

METRICS_PORT = 9464  # must match the deploy file
METRICS_PATH = "/metrics"
THREADS = 1


def serve_metrics(ip: str, metrics: Metrics) -> EdgeServer:
    """Serve the metrics of a process over HTTP; return the running server."""

    def respond(request: CallerRequest) -> None:
        if request.path == METRICS_PATH:
            request.respond(200, [("Content-Type", "text/plain")], metrics.text())
        else:
            request.respond(404)

    server = EdgeServer(
        f"{ip}:{METRICS_PORT}",
        respond,
        THREADS,
        CallerLimits(body_bytes=0),
        max_connections=PROBE_CONNECTIONS,
        max_request_bytes=PROBE_BYTES,
    )
    server.observe(metrics, "metrics")
    return server


__all__ = ["METRICS_PATH", "METRICS_PORT", "serve_metrics"]
