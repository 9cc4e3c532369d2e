"""Calls to the store through other gateways."""

from __future__ import annotations

from threadramp.fleet.relaying import RELAY_TRIES, relay_through
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


def test_the_next_is_asked_past_those_without_a_way_and_those_that_are_silent():
    answer, asked = relay({"a": StoreAnswered(None), "b": None, "c": StoreAnswered(ANSWER)})
    assert (answer, asked) == (ANSWER, ["a", "b", "c"])


def test_nobody_is_asked_after_an_answer():
    assert relay({"a": StoreAnswered(ANSWER), "b": None})[1] == ["a"]


def test_it_ends_after_a_few():
    answer, asked = relay({f"g{n}": StoreAnswered(None) for n in range(9)})
    assert (answer, len(asked)) == (None, RELAY_TRIES)
