"""The sidecar process: creates, connects and starts its parts."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from threadramp.fleet.clock import Clock
from threadramp.fleet.fleet_view import Member
from threadramp.fleet.membership import Membership
from threadramp.fleet.relaying import StoreRelay
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.policy.renewals import renewal_interval_s
from threadramp.report.inspect_handler import InspectHandler
from threadramp.report.metrics import Metrics
from threadramp.report.store_call_counter import StoreCallCounter
from threadramp.runner.engine import Engine
from threadramp.runner.engine_lock import make_engine_lock
from threadramp.runner.inspector import RunnerInspector
from threadramp.runner.runs import RunTable
from threadramp.runner.send_limit import SendLimit
from threadramp.runner.sidecar import Sidecar
from threadramp.runner.weight_loader import WeightLoader
from threadramp.serve.metrics_server import serve_metrics
from threadramp.serve.process import ROLES, Process, run_in_background
from threadramp.wire.fleet import decode_ask, decode_reply
from threadramp.wire.packing import Packing
from threadramp.wire.response_limits import process_limits
from threadramp.wire.sync import SyncClient, SyncServer

if TYPE_CHECKING:
    from threadramp.platform.store_model import Call, RawAnswer

THREADS = 16  # for gateways that wait for updates at the same time, and for short requests besides
FINAL_COLLECT_S = 1.5  # in which gateways collect the last events of the interrupted samples
LEAVE_TIMEOUT_S = 0.5  # enough: the member list also drops a process that fails to remove itself


@ROLES.register("sidecar")
class SidecarProcess(Process):
    """Runs samples on the engine next to it."""

    def start(self) -> None:
        """Create all parts and start them."""
        settings = self.settings
        clock = Clock()
        address = f"{settings.ip}:{settings.peer_port}"
        member = Member(
            settings.name,
            "sidecar",
            self.incarnation,
            address,
            settings.data_centre,
            settings.endpoint,
        )
        self.metrics = Metrics("threadramp")
        process_limits.configure(settings.memory_mb, self.metrics.count)
        health = StoreHealth(
            clock, silence_limit_s=math.inf
        )  # infinite: in large fleets renewals are 9 s apart
        client = SyncClient(Packing(), decode_reply, redial=True)
        store_call_counter = StoreCallCounter(self.metrics, "sidecar")
        store_call_counter.start()
        store = StoreClient(
            settings.store.address, self._relay, health.observe, count=store_call_counter.record
        )
        send_limit = SendLimit(settings.bounds, False, clock.now())
        engine = Engine(settings.endpoint, settings.pool, settings.name, clock, send_limit)
        takeover_delay_s = settings.bounds.holders_apart_s
        engine_lock = make_engine_lock(
            store, settings.endpoint, settings.name, takeover_delay_s, clock
        )
        weights = WeightLoader(
            engine, clock, engine_lock, self.service_settings.weights.versions_apart
        )
        table = RunTable(clock.now, send_limit)
        self.sidecar = Sidecar(member, engine, weights, table, client, clock, self.metrics)
        self.membership = Membership(member, store, settings.store.lease_min_s)
        self.membership.renew_s = lambda: renewal_interval_s(
            self.sidecar.sidecar_count, settings.store.reads_per_s
        )
        self.sidecar.on_unlisted = self.membership.mark_unlisted
        self.sidecar.store_relay = StoreRelay(store, health)
        inspect_handler = InspectHandler()
        inspect_handler.register("endpoint", RunnerInspector(self.sidecar).endpoint)
        self.sidecar.inspect_handler = inspect_handler
        self.peer_server = SyncServer(address, Packing(), self.sidecar.handle, THREADS, decode_ask)
        self.membership.start()
        self.sidecar.start()
        self.metrics_server = serve_metrics(settings.ip, self.metrics)

    def _relay(self, call: Call) -> RawAnswer:
        return self.sidecar.relay(call)

    def shut_down(self) -> None:
        """Return the samples to their gateways, then leave the member list."""
        self.sidecar.leave()
        time.sleep(FINAL_COLLECT_S)
        run_in_background(self.membership.leave).join(LEAVE_TIMEOUT_S)


__all__ = ["SidecarProcess"]
