"""A gateway handles store calls that its peers ask it to relay."""

from __future__ import annotations

import pytest

from threadramp.fleet.relaying import StoreRelay
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import Call
from threadramp.serve.peer_requests import PeerRequestHandler
from threadramp.wire.fleet import CallStore, StoreAnswered

CALL_REQUEST = CallStore("g1", "g1:1", Call("GET", "/threadramp/kv-key?key=a", b"", 0.5, True))


@pytest.fixture
def handler(clock, store_address) -> PeerRequestHandler:
    store = StoreClient(store_address, timeout_s=0.5)
    return PeerRequestHandler(None, None, None, StoreRelay(store, StoreHealth(clock)))


def test_a_store_call_is_relayed(handler):
    reply = handler.handle(CALL_REQUEST)
    assert isinstance(reply, StoreAnswered)
    assert reply.answer.status == 404


def test_a_refusal_by_the_store_is_not_relayed_as_its_response(handler, platform_store):
    """The response 503 of a store that refused this box was relayed as if it were final."""
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    assert handler.handle(CALL_REQUEST) == StoreAnswered(None, not_done=True)


def test_a_gateway_that_cannot_reach_the_store_says_so_at_once(handler, clock):
    handler.store_relay.health.record_failure(clock.now(), ValueError("unreachable"))
    assert handler.handle(CALL_REQUEST) == StoreAnswered(None, not_done=True)
    assert handler.store_relay.store.calls == 0
