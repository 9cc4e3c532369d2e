"""Calls to the store that are relayed by other gateways."""

from __future__ import annotations

from threadramp.fleet.relaying import MAX_RELAY_ATTEMPTS, relay_through
from threadramp.platform.store_model import Call, RawAnswer
from threadramp.wire.fleet import CallStore, StoreAnswered

ASK = CallStore("g0", "g0:1", Call("GET", "/threadramp/kv-key?key=a", b"", 1.0, True))
ANSWER = RawAnswer(200, b"{}")


def relay(replies: dict[str, object]):
    asked = []

    def send(address, ask, timeout_s):
        asked.append(address)
        return replies[address]

    return relay_through(list(replies), ASK, send), asked


def test_peers_that_cannot_reach_the_store_or_do_not_answer_are_skipped():
    answer, asked = relay({"a": StoreAnswered(None), "b": None, "c": StoreAnswered(ANSWER)})
    assert (answer, asked) == (ANSWER, ["a", "b", "c"])


def test_no_peer_is_asked_after_an_answer():
    assert relay({"a": StoreAnswered(ANSWER), "b": None})[1] == ["a"]


def test_a_relay_ends_after_a_few_attempts():
    answer, asked = relay({f"g{n}": StoreAnswered(None) for n in range(9)})
    assert (answer, len(asked)) == (None, MAX_RELAY_ATTEMPTS)
