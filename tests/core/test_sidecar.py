"""What a sidecar admits while an operator has its endpoint leave."""

from __future__ import annotations

from dataclasses import asdict

import pytest

from threadramp.config.resources import Endpoint
from threadramp.config.settings import SidecarSettings
from threadramp.core.admission import Admitted
from threadramp.core.keys import Binding
from threadramp.core.sidecar import BOUND_GRACE_S, CallRequest, SidecarCore
from threadramp.wire.messages import Change, SyncRequest
from threadramp.wire.outcomes import Outcome, Reason

START = 50.0
ADDRESSES = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")


class Bank:
    """One sidecar whose endpoint an operator declares and drains."""

    def __init__(self) -> None:
        settings = SidecarSettings("bank-0", ADDRESSES[0], ADDRESSES[1], ADDRESSES[2], "a")
        self.core = SidecarCore(settings, "inc", 0, START)
        self.calls = 0
        self.declare(False, START)

    def declare(self, drain: bool, now: float) -> None:
        spec = asdict(Endpoint("bank", "a", *ADDRESSES, drain=drain))
        revision = self.core.chain.revision + 1
        change = Change(revision, f"c{revision}", "endpoint", "bank-0", spec)
        self.core.handle(SyncRequest("g", revision, (change,)), now)

    def call(self, now: float, bound: bool = True):
        self.calls += 1
        key = f"n{self.calls}"
        binding = Binding(key, "bank", "bank-0", "inc", 0) if bound else None
        revision = self.core.chain.revision
        request = CallRequest(key, 0, 2.0, revision, binding, "digest", 0)
        decision = self.core.begin_call(request, now)
        if isinstance(decision, Admitted):
            self.core.end_call(key, binding, None, now)
        return decision


@pytest.fixture
def bank() -> Bank:
    return Bank()


def test_a_call_that_was_bound_just_before_the_drain_runs(bank):
    bank.declare(True, START + 1)
    assert bank.call(START + 1 + BOUND_GRACE_S / 2) == Admitted()


def test_after_the_grace_a_bound_call_is_refused_as_not_run(bank):
    bank.declare(True, START + 1)
    refusal = bank.call(START + 1 + BOUND_GRACE_S)
    assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, Reason.LEAVING)


def test_a_call_that_can_go_elsewhere_is_refused_at_once(bank):
    bank.declare(True, START + 1)
    assert bank.call(START + 1, bound=False).reason is Reason.LEAVING


def test_a_planned_stop_gives_no_grace(bank):
    bank.declare(True, START + 1)
    bank.core.stopping = True
    assert bank.call(START + 1).reason is Reason.LEAVING


def test_a_drain_that_comes_again_gives_its_grace_again(bank):
    bank.declare(True, START + 1)
    bank.declare(False, START + 5)
    assert bank.call(START + 6) == Admitted()
    bank.declare(True, START + 7)
    assert bank.call(START + 7.1) == Admitted()
    assert bank.call(START + 8).reason is Reason.LEAVING


def test_the_drain_itself_is_told_at_once(bank):
    bank.declare(True, START + 1)
    assert bank.core.report(START + 1).leaving
