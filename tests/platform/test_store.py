"""The client of the platform's store, against the stand-in."""

from __future__ import annotations

import socket
import threading

import pytest

from threadramp.platform.store import StoreClient
from threadramp.platform.store_lines import StoreLines
from threadramp.platform.store_model import (
    ABSENT,
    Call,
    Committed,
    Conflict,
    HistoryGone,
    LeaseGone,
    Put,
    RawAnswer,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)


@pytest.fixture
def store(store_address) -> StoreClient:
    return StoreClient(store_address, timeout_s=0.5)


@pytest.fixture
def free_address() -> str:
    """An address at which nobody listens."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        host, port = taken.getsockname()
    return f"{host}:{port}"


def put(store: StoreClient, key: str, value: bytes = b"v") -> int:
    answer = store.transact(Transaction(puts=(Put(key, value),)))
    assert isinstance(answer, Committed)
    return answer.revision


def test_a_write_is_read_back_with_its_revision(store):
    revision = put(store, "a", b"\x00\xff")
    item = store.get("a")
    assert (item.value, item.revision) == (b"\x00\xff", revision)
    assert store.get("b") is None


def test_a_condition_that_does_not_hold_returns_what_is_there(store):
    put(store, "a", b"1")
    answer = store.transact(Transaction({"a": ABSENT}, (Put("a", b"2"),)))
    assert isinstance(answer, Conflict)
    assert answer.current["a"].value == b"1"


def test_a_long_listing_comes_whole(store):
    for start in range(0, 600, 30):
        puts = tuple(Put(f"k/{number:03}", b"v") for number in range(start, start + 30))
        store.transact(Transaction(puts=puts))
    listing = store.list("k/")
    assert [item.key for item in listing.items] == [f"k/{number:03}" for number in range(600)]


def test_a_watch_tells_changes_and_removals(store):
    after = put(store, "k/a")
    put(store, "k/b")
    store.transact(Transaction(removals=("k/a",)))
    changes = store.watch("k/", after, 1.0, store.watch_line())
    assert [item.key for item in changes.items] == ["k/b"]
    assert [removal.key for removal in changes.removals] == ["k/a"]


def test_a_forgotten_history_is_told(store, platform_store):
    after = put(store, "a")
    put(store, "a")
    platform_store.faults["forget"] = True
    platform_store.faults_changed()
    assert isinstance(store.watch("", after, 0.1, store.watch_line()), HistoryGone)


def test_keys_go_with_their_lease(store):
    lease = store.grant_lease(60.0)
    store.transact(Transaction(puts=(Put("a", b"v", lease),)))
    assert store.renew_lease(lease)
    store.end_lease(lease)
    assert not store.renew_lease(lease)
    assert store.get("a") is None
    assert isinstance(store.transact(Transaction(puts=(Put("a", b"v", lease),))), LeaseGone)


def test_a_lost_answer_is_unknown_and_a_refusal_is_not(store, platform_store):
    platform_store.faults["lose_answers"] = 1
    with pytest.raises(StoreUnknownError):
        put(store, "a")
    assert store.get("a") is not None  # it had been done all the same
    platform_store.faults["calls_per_s"] = 0.001
    platform_store.faults_changed()
    with pytest.raises(StoreRefusedError):
        put(store, "b")


def test_a_spoiled_answer_is_unknown(store, platform_store, monkeypatch):
    put(store, "a")
    for body in (b"{not json", b'{"key":"a","value":"%%%","rev":1}'):
        monkeypatch.setattr(store, "direct", lambda call, b=body: RawAnswer(200, b))
        with pytest.raises(StoreUnknownError):
            store.get("a")


def test_a_silent_store_is_unknown_in_time():
    with socket.create_server(("127.0.0.1", 0)) as silent:
        store = StoreClient(f"127.0.0.1:{silent.getsockname()[1]}", timeout_s=0.1)
        with pytest.raises(StoreUnknownError):
            store.get("a")


class Relay:
    """Answers relayed calls through another client."""

    def __init__(self, through: StoreClient | None) -> None:
        self.through = through
        self.calls: list[Call] = []

    def __call__(self, call: Call) -> RawAnswer:
        self.calls.append(call)
        if self.through is None:
            raise StoreRefusedError("not sent: no peer to ask")
        return self.through.direct(call)


def test_a_call_goes_through_a_peer_when_the_own_way_is_shut(store):
    put(store, "a", b"1")
    relay = Relay(store)
    cut_off = StoreClient("127.0.0.1:1", relay)
    assert cut_off.get("a").value == b"1"
    assert len(relay.calls) == 1


def test_while_the_own_way_is_shut_the_peer_comes_first_and_renewals_look(store_address):
    relay = Relay(StoreClient(store_address))
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        cut_off = StoreClient(address, relay, timeout_s=1.0)
        cut_off.get("a")  # finds out
        calls = cut_off.calls
        for _ in range(5):
            cut_off.get("a")
        assert cut_off.calls == calls  # none of them waited for the shut way
        lease = relay.through.grant_lease(60.0)
        assert cut_off.renew_lease(lease)
        assert cut_off.calls == calls + 1  # it looked at its own way
    assert cut_off.shut


def test_the_own_way_is_used_again_once_a_renewal_found_it_open(store, store_address):
    relay = Relay(StoreClient(store_address))
    store.relay = relay
    store.shut = True
    lease = store.grant_lease(60.0)
    assert len(relay.calls) == 1
    store.renew_lease(lease)
    store.get("a")
    assert len(relay.calls) == 1


def test_a_write_without_an_answer_is_relayed_only_if_that_may_be_repeated(store):
    relay = Relay(store)
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        # The relayed call keeps this limit, and the peer's store does answer it.
        cut_off = StoreClient(address, relay, timeout_s=store.timeout_s)
        with pytest.raises(StoreUnknownError):
            cut_off.transact(Transaction(puts=(Put("a", b"v"),)))
        assert relay.calls == []
        answer = cut_off.transact(Transaction({"a": 0}, (Put("a", b"v"),)), repeatable=True)
        assert isinstance(answer, Committed)


def test_each_direct_call_is_observed(store_address, platform_store):
    seen = []
    store = StoreClient(store_address, observe=seen.append)
    store.get("a")
    platform_store.faults["outage"] = True
    with pytest.raises((StoreUnknownError, StoreRefusedError)):
        store.get("a")
    assert seen[0] is None
    assert isinstance(seen[1], Exception)


def test_one_client_serves_many_threads(store):
    threads = [
        threading.Thread(target=lambda n=number: put(store, f"t/{n}")) for number in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(store.list("t/").items) == 16


def test_what_could_not_be_sent_was_not_done(free_address):
    """No connection, no call: a hand-in may be told that it will not run, and when to come back."""
    with pytest.raises(StoreRefusedError):
        StoreClient(free_address, timeout_s=0.3).transact(Transaction(puts=(Put("a", b"1"),)))


def test_lists_leave_a_shut_way_alone_until_a_call_that_probes_finds_it_open(store_address):
    """All processes of a fleet list again and again in an outage; refused calls are priced."""
    cut_off = StoreClient("127.0.0.1:1", Relay(None), timeout_s=0.3)
    for _ in range(4):
        with pytest.raises(StoreRefusedError):
            cut_off.list("a")
    assert cut_off.calls == 1
    with pytest.raises(StoreRefusedError):
        cut_off.renew_lease(1)
    assert cut_off.calls == 2
    cut_off.lines = StoreLines(store_address)
    assert cut_off.renew_lease(1) is False
    assert cut_off.list("a").items == ()


def test_lists_of_a_process_without_peers_go_on_trying():
    alone = StoreClient("127.0.0.1:1", None, timeout_s=0.3)
    for _ in range(3):
        with pytest.raises(StoreRefusedError):
            alone.list("a")
    assert alone.calls == 3


@pytest.mark.parametrize(("stood_still_s", "counts"), [(0.0, True), (3.0, False)])
def test_an_answer_that_lay_here_while_the_box_was_suspended_counts_as_none(
    store_address, monkeypatch, stood_still_s, counts
):
    """It would pass for a sign that the store is there now, and a lease for just renewed."""
    seen = []
    client = StoreClient(store_address, observe=seen.append, timeout_s=1.0)
    clock = iter([100.0, 100.0 + stood_still_s])
    monkeypatch.setattr("threadramp.platform.store.steady_s", lambda: next(clock))
    if counts:
        assert client.grant_lease(5.0)
        assert seen == [None]
    else:
        with pytest.raises(StoreUnknownError):
            client.grant_lease(5.0)
        assert isinstance(seen[0], StoreUnknownError)


def test_a_failed_write_is_logged_with_its_key_and_whether_it_may_be_done(
    free_address, monkeypatch
):
    """Without the key no line joins an answer to a trainer to the write that it rested on."""
    lines = []
    monkeypatch.setattr(
        "threadramp.platform.store.log_state", lambda kind, **fields: lines.append((kind, fields))
    )
    store = StoreClient(free_address, timeout_s=0.5)
    with pytest.raises(StoreRefusedError):
        put(store, "lot-part/a/0")
    fields = dict(lines)["store_write_failed"]
    assert (fields["key"], fields["may_be_done"]) == ("lot-part/a/0", False)
