"""Calls to the store that are relayed by other gateways."""

from __future__ import annotations

import msgspec
import pytest

from threadramp.fleet.relaying import MAX_RELAY_ATTEMPTS, relay_through
from threadramp.platform.store_model import Call, RawAnswer, StoreRefusedError, StoreUnknownError
from threadramp.wire.fleet import CallStore, StoreAnswered, decode_reply

ASK = CallStore("g0", "g0:1", Call("GET", "/threadramp/kv-key?key=a", b"", 1.0, True))
ANSWER = RawAnswer(200, b"{}")


def relay(replies: dict[str, object]):
    asked = []

    def send(address, ask, timeout_s):
        asked.append(address)
        return replies[address]

    return relay_through(list(replies), ASK, send), asked


def test_peers_that_cannot_reach_the_store_or_do_not_answer_are_skipped():
    away = StoreAnswered(None, not_done=True)
    answer, asked = relay({"a": away, "b": None, "c": StoreAnswered(ANSWER)})
    assert (answer, asked) == (ANSWER, ["a", "b", "c"])


def test_no_peer_is_asked_after_an_answer():
    assert relay({"a": StoreAnswered(ANSWER), "b": None})[1] == ["a"]


def test_a_relay_ends_after_a_few_attempts():
    asked = []

    def send(address, ask, timeout_s):
        asked.append(address)
        return StoreAnswered(None, not_done=True)

    with pytest.raises(StoreRefusedError):
        relay_through([f"g{n}" for n in range(9)], ASK, send)
    assert len(asked) == MAX_RELAY_ATTEMPTS


def test_a_peer_of_a_version_that_does_not_say_what_was_done_leaves_it_unknown():
    """During an update a relayed write would otherwise be reported as refused."""
    old = decode_reply(msgspec.msgpack.encode(["StoreAnswered", None, ""]))
    with pytest.raises(StoreUnknownError):
        relay({"a": old})
