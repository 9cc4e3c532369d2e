"""Runners that a gateway hosts for engines without a sidecar.

A runner is created when a lot's gateway sends a request for it, or when this gateway detects that
an engine assigned to it has no sidecar. It runs the sidecar's code; only the condition for taking
the engine lock differs: the engine must be assigned to this gateway, and its sidecar must be
neither listed nor answer.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.fleet.facts import facts_for
from threadramp.fleet.runner_members import engines, hosted_member
from threadramp.policy.engine_host import gateway_for_engine
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.runner.engine import Engine
from threadramp.runner.engine_lock import make_engine_lock
from threadramp.runner.inspector import RunnerInspector
from threadramp.runner.runs import RunTable
from threadramp.runner.send_limit import SendLimit
from threadramp.runner.sidecar import Sidecar
from threadramp.runner.weight_loader import WeightLoader
from threadramp.wire.fleet import Beat, Done

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetSnapshot, Member
    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.peers import Peers
    from threadramp.platform.settings import Bounds
    from threadramp.platform.store import StoreClient
    from threadramp.report.metrics import Metrics
    from threadramp.wire.fleet import AnyAsk, AnyReply, Fact

CHECK_INTERVAL_S = 0.5
# An engine gets orders from a gateway only after it has had no sidecar for this long; a restart of
# a sidecar takes 1 to 1.5 s.
NO_SIDECAR_S = 2.0
# A sidecar that answered this gateway within this time counts as present, listed or not.
REPLY_TTL_S = 2.0
IDLE_TIMEOUT_S = 10.0  # after which a runner without requests is stopped
PROBE_TIMEOUT_S = 0.4


@dataclass
class HostedRunner:
    """One runner that this gateway hosts.

    :param last_used_at: time of the last request to it, or at which this gateway last needed it
    """

    runner: Sidecar
    last_used_at: float


class HostedRunners:
    """The runners that one gateway hosts; the methods are thread-safe.

    :param bounds: of the deployment
    """

    def __init__(
        self,
        peers: Peers,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        versions_apart: int,
        bounds: Bounds,
    ) -> None:
        self.peers = peers
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.versions_apart = versions_apart
        self.bounds = bounds
        self.hosted: dict[str, HostedRunner] = {}
        self.last_covered_at: dict[str, float] = {}
        self.sidecars: dict[str, Member] = {}
        self.members_known_since = clock.now()
        self.leaving = False
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start checking for engines without a sidecar."""
        start_loop(self._run, self.stopped)

    def handle(self, ask: AnyAsk) -> AnyReply:
        """Answer a request to the runner of an engine; ``Done`` if the engine is unknown."""
        endpoint = self.peers.fleet_view.snapshot.at_address(ask.engine)
        if endpoint is None and ask.engine not in self.hosted:
            return Done()
        return self._runner_of(ask.engine, endpoint).runner.handle(ask)

    def inspect(self, name: str) -> list[Fact]:
        """Return facts for an operator about an engine hosted here, by its id or its address."""
        hosted = [one.runner for one in list(self.hosted.values())]
        return [fact for runner in hosted for fact in RunnerInspector(runner).endpoint(name)]

    def leave(self) -> None:
        """Return all samples to their gateways, so that they are resumed elsewhere."""
        self.leaving = True
        for one in list(self.hosted.values()):
            one.runner.leave()

    def _run(self) -> None:
        while not self.stopped.wait(CHECK_INTERVAL_S):
            self._check_engines()

    def _check_engines(self) -> None:
        """Host the engines assigned to this gateway and stop runners that are no longer used."""
        snapshot = self.peers.fleet_view.snapshot
        self._update_coverage(snapshot)
        for endpoint in engines(snapshot):
            if self._should_host(endpoint, snapshot):
                self._runner_of(endpoint.address, endpoint)
        for engine, one in list(self.hosted.items()):
            if self.clock.now() - one.last_used_at > IDLE_TIMEOUT_S:
                self._stop_runner(engine)
                continue
            facts = facts_for(one.runner.member, snapshot, self.clock.now())
            one.runner.engine.update_facts(facts)

    def _update_coverage(self, snapshot: FleetSnapshot) -> None:
        """Record which engines have a sidecar that is listed or has answered recently.

        Until the member list is loaded, no sidecar counts as missing.
        """
        now = self.clock.now()
        if not self.peers.fleet_view.members.is_loaded:
            self.members_known_since = now
        for one in self.peers.sidecars():
            self.sidecars[one.endpoint] = one
            has_replied = (
                now - self.peers.last_reply_at.get(one.address, float("-inf")) < REPLY_TTL_S
            )
            if one.name in snapshot.members or has_replied:
                self.last_covered_at[one.endpoint] = now
        listed = snapshot.by_address
        self.last_covered_at = {
            name: at for name, at in self.last_covered_at.items() if name in listed
        }

    def _should_host(self, endpoint: Endpoint, snapshot: FleetSnapshot) -> bool:
        """Return whether an engine without a sidecar is to be hosted by this gateway."""
        if self.leaving or self._without_sidecar_s(endpoint.address) < NO_SIDECAR_S:
            return False
        host = gateway_for_engine(
            endpoint.address, endpoint.data_centre, self.peers.live_gateways()
        )
        return host is not None and host.name == self.peers.member.name

    def _without_sidecar_s(self, engine: str) -> float:
        """Return for how many seconds no sidecar of an engine was listed or has answered."""
        return self.clock.now() - self.last_covered_at.get(engine, self.members_known_since)

    def _runner_of(self, engine: str, endpoint: Endpoint | None) -> HostedRunner:
        """Return the runner of an engine, started if there is none yet."""
        with self.lock:
            one = self.hosted.get(engine)
            if one is None:
                one = HostedRunner(self._new_runner(engine, endpoint), self.clock.now())
                self.hosted[engine] = one
                log_state("engine_hosted", engine=engine, instance=endpoint.instance)
                one.runner.start()
                if self.leaving:
                    one.runner.leave()
            one.last_used_at = self.clock.now()
            return one

    def _new_runner(self, address: str, endpoint: Endpoint) -> Sidecar:
        member = hosted_member(self.peers.member, address)
        send_limit = SendLimit(self.bounds, True, self.clock.now())
        engine = Engine(address, endpoint.pool, self.peers.member.name, self.clock, send_limit)
        lock = make_engine_lock(
            self.store,
            address,
            self.peers.member.name,
            self.bounds.holders_apart_s,
            self.clock,
            may_take=lambda: self._may_take_lock(address),
        )
        weights = WeightLoader(engine, self.clock, lock, self.versions_apart)
        table = RunTable(self.clock.now, send_limit)
        return Sidecar(member, engine, weights, table, self.peers.client, self.clock, self.metrics)

    def _may_take_lock(self, address: str) -> bool:
        """Return whether an engine is assigned to this gateway and its sidecar does not answer."""
        snapshot = self.peers.fleet_view.snapshot
        endpoint = snapshot.at_address(address)
        if endpoint is None or not self._should_host(endpoint, snapshot):
            return False
        sidecar = self.sidecars.get(address)
        answers = sidecar is not None and self._sidecar_answers(sidecar)
        log_state(
            "engine_takeover_check",
            engine=address,
            sidecar=sidecar.name if sidecar is not None else "",
            without_sidecar_s=round(self._without_sidecar_s(address), 2),
            answers=answers,
        )
        return not answers

    def _sidecar_answers(self, sidecar: Member) -> bool:
        beat = Beat(*self.peers.sender_fields, self.peers.facts_for(sidecar))
        return self.peers.ask(sidecar.address, beat, PROBE_TIMEOUT_S) is not None

    def _stop_runner(self, engine: str) -> None:
        """Stop a runner; its open samples are resumed elsewhere."""
        with self.lock:
            one = self.hosted.pop(engine)
        one.runner.leave()
        one.runner.stopped.set()
        log_state("hosted_runner_stopped", engine=engine)


__all__ = ["HostedRunners"]
