"""Stands in for the sidecars of engines that have none: the runners that a gateway hosts.

A runner begins when a lot's gateway asks for one, or when this gateway sees itself that an engine
of its own choice has no sidecar. It is the sidecar's own code; what differs is who may order: only
the gateway that the engine falls to, once its sidecar is neither listed nor answers.
"""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.fleet.facts import facts_for
from threadramp.fleet.runner_members import engines, hosted_member
from threadramp.policy.engine_host import host_of
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.runner.beliefs import RunnerBeliefs
from threadramp.runner.engine import Engine
from threadramp.runner.order_right import order_right
from threadramp.runner.runs import RunTable
from threadramp.runner.sidecar import Sidecar
from threadramp.runner.weights import Weights
from threadramp.wire.fleet import Beat, Done

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetSnapshot, Member
    from threadramp.fleet.model import Endpoint
    from threadramp.fleet.peers import Peers
    from threadramp.platform.store import StoreClient
    from threadramp.report.metrics import Metrics
    from threadramp.wire.fleet import AnyAsk, AnyReply, Fact

LOOK_S = 0.5
BARE_S = 2.0  # an engine without a sidecar is ordered only after this; a restart takes 1 to 1.5 s
HEARD_S = 2.0  # a sidecar that answered this gateway within this time is there, listed or not
IDLE_S = 10.0  # a runner that nobody asks for any more is given up after this
ASK_TIMEOUT_S = 0.4


@dataclass
class Hosted:
    """One runner that this gateway hosts.

    :param asked_at: time at which it was last asked, or was last wanted by this gateway itself
    """

    runner: Sidecar
    asked_at: float


class HostedRunners:
    """The runners that one gateway hosts; its methods may be called from any thread.

    :param apart_s: two holders of the right to order may not order in turns within this time
    """

    def __init__(
        self,
        peers: Peers,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        versions_apart: int,
        apart_s: float,
    ) -> None:
        self.peers = peers
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.versions_apart = versions_apart
        self.apart_s = apart_s
        self.hosted: dict[str, Hosted] = {}
        self.covered_at: dict[str, float] = {}
        self.sidecars: dict[str, Member] = {}
        self.knows_members_since = clock.now()
        self.leaving = False
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def start(self) -> None:
        """Start looking for engines without a sidecar."""
        start_loop(self._run, self.stopped)

    def handle(self, ask: AnyAsk) -> AnyReply:
        """Answer what is asked of the runner of an engine; nothing is said of an unknown one."""
        endpoint = self.peers.fleet_view.snapshot.at_address(ask.engine)
        if endpoint is None and ask.engine not in self.hosted:
            return Done()
        return self._wanted(ask.engine, endpoint).runner.handle(ask)

    def tell_of(self, name: str) -> list[Fact]:
        """Tell an operator of an engine that is hosted here, by its id or its address."""
        hosted = [one.runner for one in list(self.hosted.values())]
        return [fact for runner in hosted for fact in RunnerBeliefs(runner).endpoint(name)]

    def leave(self) -> None:
        """Give all samples back, so that they go on elsewhere."""
        self.leaving = True
        for one in list(self.hosted.values()):
            one.runner.leave()

    def _run(self) -> None:
        while not self.stopped.wait(LOOK_S):
            self._look()

    def _look(self) -> None:
        """Host the engines that fall to this gateway, and give up what nobody wants."""
        belief = self.peers.fleet_view.snapshot
        self._note_covered(belief)
        for endpoint in engines(belief):
            if self._falls_here(endpoint, belief):
                self._wanted(endpoint.address, endpoint)
        for engine, one in list(self.hosted.items()):
            if self.clock.now() - one.asked_at > IDLE_S:
                self._give_up(engine)
                continue
            one.runner.engine.learn(facts_for(one.runner.member, belief))

    def _note_covered(self, belief: FleetSnapshot) -> None:
        """Note which engines have a sidecar that is listed, or answered just now.

        Without a list of members nothing says that a sidecar is not there.
        """
        now = self.clock.now()
        if not self.peers.fleet_view.members.is_loaded:
            self.knows_members_since = now
        for one in self.peers.sidecars():
            self.sidecars[one.endpoint] = one
            heard = now - self.peers.last_reply_at.get(one.address, float("-inf")) < HEARD_S
            if one.name in belief.members or heard:
                self.covered_at[one.endpoint] = now
        listed = belief.by_address
        self.covered_at = {name: at for name, at in self.covered_at.items() if name in listed}

    def _falls_here(self, endpoint: Endpoint, belief: FleetSnapshot) -> bool:
        """Return whether an engine has had no sidecar for a while and this gateway stands in."""
        if self.leaving or self._bare_s(endpoint.address) < BARE_S:
            return False
        host = host_of(endpoint.address, endpoint.data_centre, self.peers.live_gateways())
        return host is not None and host.name == self.peers.member.name

    def _bare_s(self, engine: str) -> float:
        """Return for how long no sidecar of an engine was listed or heard, as far as is known."""
        return self.clock.now() - self.covered_at.get(engine, self.knows_members_since)

    def _wanted(self, engine: str, endpoint: Endpoint | None) -> Hosted:
        """Return the runner of an engine, begun if there is none yet."""
        with self.lock:
            one = self.hosted.get(engine)
            if one is None:
                one = Hosted(self._new_runner(engine, endpoint), self.clock.now())
                self.hosted[engine] = one
                log_state("engine_hosted", engine=engine, instance=endpoint.instance)
                one.runner.start()
                if self.leaving:
                    one.runner.leave()
            one.asked_at = self.clock.now()
            return one

    def _new_runner(self, address: str, endpoint: Endpoint) -> Sidecar:
        member = hosted_member(self.peers.member, address)
        engine = Engine(address, endpoint.pool, self.peers.member.name, self.clock)
        right = order_right(
            self.store,
            address,
            self.peers.member.name,
            self.apart_s,
            self.clock,
            may_take=lambda: self._may_order(address),
        )
        weights = Weights(engine, self.clock, right, self.versions_apart)
        table = RunTable(self.clock.now)
        return Sidecar(member, engine, weights, table, self.peers.client, self.clock, self.metrics)

    def _may_order(self, address: str) -> bool:
        """Return whether an engine falls to this gateway and its sidecar does not even answer."""
        belief = self.peers.fleet_view.snapshot
        endpoint = belief.at_address(address)
        if endpoint is None or not self._falls_here(endpoint, belief):
            return False
        sidecar = self.sidecars.get(address)
        answers = sidecar is not None and self._answers(sidecar, belief)
        log_state(
            "order_in_place",
            engine=address,
            sidecar=sidecar.name if sidecar is not None else "",
            bare_s=round(self._bare_s(address), 2),
            answers=answers,
        )
        return not answers

    def _answers(self, sidecar: Member, belief: FleetSnapshot) -> bool:
        beat = Beat(*self.peers.sender_fields, facts_for(sidecar, belief))
        return self.peers.ask(sidecar.address, beat, ASK_TIMEOUT_S) is not None

    def _give_up(self, engine: str) -> None:
        """End a runner; what it still runs goes on elsewhere."""
        with self.lock:
            one = self.hosted.pop(engine)
        one.runner.leave()
        one.runner.stopped.set()
        log_state("engine_given_up", engine=engine)


__all__ = ["HostedRunners"]
