"""A gateway's answers to its peers."""

from __future__ import annotations

import pytest

from threadramp.fleet.relaying import StoreRelay
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Call
from threadramp.serve.answers import GatewayAnswers
from threadramp.wire.fleet import CallStore, StoreAnswered

ASK = CallStore("g1", "g1:1", Call("GET", "/threadramp/kv-key?key=a", b"", 0.5, True))


@pytest.fixture
def answers(clock, store_address) -> GatewayAnswers:
    store = StoreClient(store_address, timeout_s=0.5)
    return GatewayAnswers(None, None, None, StoreRelay(store, StoreHealth(clock)))


def test_a_call_is_passed_on(answers):
    reply = answers.handle(ASK)
    assert isinstance(reply, StoreAnswered)
    assert reply.answer.status == 404


def test_a_refusal_is_no_way_to_the_store(answers, platform_store):
    """The answer 503 of a store that turns this box away was passed on as if it were final."""
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert answers.handle(ASK) == StoreAnswered(None)


def test_a_gateway_without_a_way_says_so_at_once(answers, clock):
    answers.store_calls.health.record_failure(clock.now(), ValueError("away"))
    assert answers.handle(ASK) == StoreAnswered(None)
    assert answers.store_calls.store.calls == 0
