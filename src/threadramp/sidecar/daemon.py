"""The sidecar process: threads and sockets around its core."""

from __future__ import annotations

import signal
import threading
import time
import uuid
from typing import TYPE_CHECKING

from threadramp.core.outcomes import OutcomeRecord, outcomes_key
from threadramp.core.sidecar import SidecarCore
from threadramp.platform.kv import ABSENT, KvClient, KvUnavailableError
from threadramp.report.log import log_state
from threadramp.report.stall_monitor import StallMonitor
from threadramp.sidecar.calls import CallRunner
from threadramp.sidecar.reconciler import Reconciler
from threadramp.sidecar.resources import sidecar_root
from threadramp.sidecar.rollouts import RolloutRunner
from threadramp.sidecar.state import SidecarState, now
from threadramp.wire.http import InterfaceLimits, start_http, stop_http
from threadramp.wire.seal import Seal
from threadramp.wire.sync import SyncServer

if TYPE_CHECKING:
    from threadramp.config.settings import Settings
    from threadramp.wire.messages import Reply, Request

SYNC_THREADS = 4
STOP_POLL_S = 0.05
MS_PER_S = 1000


class SidecarDaemon:
    """One sidecar."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings.sidecar
        self.kv = KvClient(settings.platform.kv, settings.platform.kv_timeout_s)
        self.seal = Seal(settings.auth.fleet_key)
        incarnation = uuid.uuid4().hex[:12]
        started_ms = int(time.time() * MS_PER_S)
        core = SidecarCore(self.settings, incarnation, started_ms, now(), settings.policy.reserve)
        self.state = SidecarState(core)
        self.runner = CallRunner(self.state)
        self.rollouts = RolloutRunner(self.state)
        self.reconciler = Reconciler(self.state)
        self.stop = threading.Event()

    @classmethod
    def from_config(cls, settings: Settings) -> SidecarDaemon:
        """Build the daemon from checked settings."""
        return cls(settings)

    def run(self) -> None:
        """Serve until a planned stop is asked for and done."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop.set())
        root = sidecar_root(self.state, self.seal, self.runner)
        own = self.settings
        limits = InterfaceLimits(own.max_body_bytes, own.memory_mb, own.max_connections)
        start_http(root, own.listen_http, own.threads, limits, self.state.metrics.count)
        server = SyncServer(self.settings.listen_sync, self.seal, self._handle, SYNC_THREADS)
        self.rollouts.start()
        self.reconciler.start()
        StallMonitor().start()
        log_state("sidecar_started", endpoint=self.settings.endpoint)
        while not self.stop.wait(STOP_POLL_S):
            pass
        self._drain()
        server.close()
        self.reconciler.stop()
        stop_http()
        log_state("sidecar_stopped", endpoint=self.settings.endpoint)

    def _handle(self, request: Request) -> Reply:
        with self.state.work:
            reply = self.state.core.handle(request, now())
            self.state.work.notify_all()
            return reply

    def _drain(self) -> None:
        """Take no new work, finish what runs, keep finished samples until they are fetched."""
        core = self.state.core
        with self.state.lock:
            core.stopping = True
        log_state("sidecar_draining", endpoint=self.settings.endpoint)
        self._wait_until(
            lambda: not core.admission.running and not core.admission.rollouts,
            now() + self.settings.stop_grace_s,
        )
        self._leave_note()
        self._wait_until(
            lambda: not core.samples.finished_count(), now() + self.settings.buffer_grace_s
        )

    def _leave_note(self) -> None:
        """Note what became of the keys, so that a resend after the stop gets a definite word."""
        core = self.state.core
        with self.state.lock:
            if not core.keys.entries:
                return
            note = OutcomeRecord.from_keys(core.keys)
        key = outcomes_key(self.settings.endpoint, core.incarnation)
        try:
            self.kv.swap(key, ABSENT, note.to_bytes(), self.kv.lease(self.settings.key_window_s))
        except KvUnavailableError as error:
            log_state("note_lost", error=str(error))

    def _wait_until(self, done, deadline: float) -> None:
        while now() < deadline:
            with self.state.lock:
                if done():
                    return
            time.sleep(STOP_POLL_S)


__all__ = ["SidecarDaemon"]
