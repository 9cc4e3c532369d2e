"""What a write to the store is reported as when several of its attempts fail, each in its own way.

A write that may have been done must not be reported as refused: its caller would promise a trainer
that nothing of a lot runs.
"""

from __future__ import annotations

from itertools import product

import pytest

from threadramp.fleet.relaying import StoreRelay, relay_through
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    Committed,
    Put,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from threadramp.standins.server import Response
from threadramp.wire.fleet import CallStore

WRITE = Transaction(puts=(Put("lot/a", b"v"),))
TIMEOUT_S = 0.5
REFUSE, LOSE, DROP = "refuse", "lose", "drop"  # 503; done without an answer; neither
MAY_BE_DONE = (LOSE, DROP)
NO_REPLY = "no reply"  # the relay's reply to the asker is lost, whatever the store did


class ScriptedWrites:
    """Lets the writes at a store end as a script says; those after its end are done."""

    def __init__(self, store) -> None:
        self.write = store.calls_by_name["kv-txn"]
        self.script: list[str] = []
        self.begun: list[str] = []
        store.calls_by_name |= {"kv-txn": self.answer}

    def answer(self, request) -> Response:
        action = self.script.pop(0) if self.script else ""
        self.begun.append(action)
        if action == REFUSE:
            return Response(503)
        if action == DROP:
            return Response(200, b"", cut=True)
        done = self.write(request)
        return Response(200, b"", cut=True) if action == LOSE else done


@pytest.fixture
def writes(platform_store) -> ScriptedWrites:
    return ScriptedWrites(platform_store)


@pytest.fixture
def closed_address() -> str:
    """An address at which nobody listens, of the same host as the others."""
    return "127.0.0.1:1"


class Peer:
    """A peer in this process that relays writes to the store."""

    def __init__(self, address: str, clock) -> None:
        self.store = StoreClient(address, timeout_s=TIMEOUT_S)
        self.relay = StoreRelay(self.store, StoreHealth(clock))
        self.loses_reply = False

    def __call__(self, call):
        return relay_through(["peer"], CallStore("g0", "g0:1", call), self._send)

    def _send(self, address, ask, timeout_s):
        reply = self.relay.answer(ask)
        return None if ask.mark and self.loses_reply else reply


def outcome(client: StoreClient, repeatable: bool = True) -> type:
    """Write once; return the type of the answer or of the error."""
    try:
        return type(client.transact(WRITE, repeatable))
    except (StoreRefusedError, StoreUnknownError) as error:
        return StoreUnknownError if isinstance(error, StoreUnknownError) else StoreRefusedError


def warm(client: StoreClient) -> None:
    """Give a client a kept connection that has brought an answer."""
    client.get("warm")


@pytest.mark.parametrize("kept", [True, False], ids=["kept", "new"])
def test_a_write_is_refused_only_if_no_attempt_may_be_done(store_address, writes, clock, kept):
    """An unanswered attempt followed by a refused one was reported as refused."""
    wrong = []
    for script in product((REFUSE, LOSE, DROP), repeat=3):
        client = StoreClient(store_address, Peer(store_address, clock), timeout_s=TIMEOUT_S)
        if kept:
            warm(client)
        writes.begun.clear()
        writes.script = list(script)
        told = outcome(client)
        may_be_done = any(action in MAY_BE_DONE for action in writes.begun)
        if told not in (Committed, StoreUnknownError if may_be_done else StoreRefusedError):
            wrong.append((tuple(writes.begun), told.__name__))
    assert wrong == []


@pytest.mark.parametrize("known_shut", [False, True], ids=["own-first", "peer-first"])
def test_a_write_that_a_peer_may_have_done_is_not_refused(
    store_address, closed_address, writes, clock, known_shut
):
    """The own refusal was reported although a peer had passed the write on."""
    told = {}
    for own_way, lost in product((REFUSE, "closed"), (LOSE, NO_REPLY)):
        peer = Peer(store_address, clock)
        peer.loses_reply = lost == NO_REPLY
        address = store_address if own_way == REFUSE else closed_address
        client = StoreClient(address, peer, timeout_s=TIMEOUT_S)
        client.shut = known_shut
        own_calls = [REFUSE] if own_way == REFUSE else []
        peer_calls = [lost if lost == LOSE else ""]
        writes.script = peer_calls + own_calls if known_shut else own_calls + peer_calls
        told[own_way, lost] = outcome(client)
    assert told == dict.fromkeys(told, StoreUnknownError)


def test_a_write_that_may_not_be_repeated_is_sent_once_if_it_may_be_done(
    store_address, closed_address, writes, clock
):
    """After a peer without an answer the next peer was asked to do the same write."""
    first, second = Peer(store_address, clock), Peer(store_address, clock)
    peers = {"first": first, "second": second}
    client = StoreClient(
        closed_address,
        lambda call: relay_through(
            list(peers),
            CallStore("g0", "g0:1", call),
            lambda address, ask, timeout_s: peers[address].relay.answer(ask),
        ),
        timeout_s=TIMEOUT_S,
    )
    writes.script = [LOSE]
    assert outcome(client, repeatable=False) is StoreUnknownError
    assert writes.begun == [LOSE]


def test_a_plain_refusal_is_reported_as_refused(store_address, writes, clock):
    """A caller may hand a lot in elsewhere without risk only after a refusal."""
    client = StoreClient(store_address, Peer(store_address, clock), timeout_s=TIMEOUT_S)
    writes.script = [REFUSE] * 4
    assert outcome(client) is StoreRefusedError


def test_an_error_that_promises_nothing_leaves_the_outcome_unknown(store_address, platform_store):
    """Any status but those of an answer was taken for the store's word that nothing was done."""
    write = platform_store.calls_by_name["kv-txn"]
    told = {}
    for status in (202, 301, 408, 500, 502, 504):

        def done_and_failed(request, status=status) -> Response:
            write(request)
            return Response(status)

        platform_store.calls_by_name |= {"kv-txn": done_and_failed}
        told[status] = outcome(StoreClient(store_address, timeout_s=TIMEOUT_S))
    assert told == dict.fromkeys(told, StoreUnknownError)
