"""The gateway process: threads and sockets around its state."""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING

from threadramp.gateway.beats import Background
from threadramp.gateway.calls import Calls
from threadramp.gateway.keys import KeyBinder
from threadramp.gateway.resources import gateway_root
from threadramp.gateway.settle import Settler
from threadramp.gateway.state import GatewayState, now
from threadramp.gateway.steps import Steps
from threadramp.report.log import log_state
from threadramp.report.stall_monitor import StallMonitor
from threadramp.wire.http import InterfaceLimits, open_requests, start_http, stop_http

if TYPE_CHECKING:
    from threadramp.config.settings import Settings

BALANCER_LEAD_S = 1.0  # the balancer sees the failing health check within this time
STOP_GRACE_S = 60.0
STOP_POLL_S = 0.05


class GatewayDaemon:
    """One gateway."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings.gateway
        self.state = GatewayState.from_config(settings)
        self.background = Background(self.state, settings.platform.box_list)
        self.stop = threading.Event()

    @classmethod
    def from_config(cls, settings: Settings) -> GatewayDaemon:
        """Build the daemon from checked settings."""
        return cls(settings)

    def run(self) -> None:
        """Serve until a planned stop is asked for and done."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop.set())
        binder = KeyBinder(self.state)
        settler = Settler(self.state, binder)
        calls = Calls(self.state, binder, settler)
        steps = Steps(self.state)
        root = gateway_root(self.state, calls, binder, settler, steps)
        own = self.settings
        limits = InterfaceLimits(own.max_body_bytes, own.memory_mb, own.max_connections)
        start_http(root, own.listen, own.threads, limits, self.state.metrics.count)
        self.background.start()
        StallMonitor().start()
        log_state("gateway_started", gateway=own.name)
        while not self.stop.wait(STOP_POLL_S):
            pass
        self._drain()
        self.state.stopped.set()
        stop_http()
        log_state("gateway_stopped", gateway=own.name)

    def _drain(self) -> None:
        """Let the balancer turn away, then finish what is open."""
        self.state.stopping.set()
        log_state("gateway_draining", gateway=self.settings.name)
        time.sleep(BALANCER_LEAD_S)
        deadline = now() + STOP_GRACE_S
        while open_requests() and now() < deadline:
            time.sleep(STOP_POLL_S)


__all__ = ["GatewayDaemon"]
