"""Connections to the store that pass nothing any more."""

from __future__ import annotations

import threading
import time

import pytest
from urllib3.connection import HTTPConnection

from tests.serve.tcp_proxy import TcpProxy
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import (
    Committed,
    GivenUpError,
    KeptLineError,
    Put,
    StoreUnknownError,
    Transaction,
)

TIMEOUT_S = 0.3


@pytest.fixture
def way(store_address):
    made = TcpProxy(store_address)
    yield made
    made.close()


@pytest.fixture
def observed() -> list[object]:
    return []


@pytest.fixture
def store(way, observed) -> StoreClient:
    return StoreClient(way.address, observe=observed.append, timeout_s=TIMEOUT_S)


@pytest.fixture
def told(store) -> list[str]:
    found: list[str] = []
    store.on_silence.append(lambda: found.append("silence"))
    return found


def test_a_read_goes_once_more_on_a_new_connection_and_is_no_outage(store, way, observed, told):
    store.get("a")
    way.blackhole()
    store.get("a")
    assert observed == [None, None]
    assert told == ["silence"]


def test_one_silence_is_told_once(store, way, told):
    for _ in range(3):  # several connections are kept
        threads = [threading.Thread(target=store.get, args=("a",)) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    way.blackhole()
    for _ in range(3):
        store.get("a")
    assert told == ["silence"]


def test_a_write_is_not_sent_again_and_says_nothing_of_the_store(store, way, observed, told):
    put = Transaction(puts=(Put("a", b"v"),))
    store.transact(put)
    way.blackhole()
    with pytest.raises(KeptLineError):
        store.transact(put)
    assert observed == [None]
    assert isinstance(store.transact(put), Committed)
    assert told == []


def test_no_answer_on_a_new_connection_is_an_outage(store, way, platform_store, observed, told):
    store.get("a")
    platform_store.faults["delay_s"] = 1.0
    with pytest.raises(StoreUnknownError):
        store.get("a")
    assert isinstance(observed[-1], StoreUnknownError)
    assert told == []


def test_connections_that_were_reset_are_no_outage_either(store, way, observed):
    store.get("a")
    way.block()
    way.unblock()
    store.get("a")
    assert observed == [None, None]


def test_a_watch_that_waits_is_given_up_at_once(store):
    line = store.watch_line()
    started = time.monotonic()
    threading.Timer(0.2, line.give_up).start()
    with pytest.raises(GivenUpError):
        store.watch("a", 0, 5.0, line)
    assert time.monotonic() - started < 1.0


def test_a_line_that_was_given_up_or_cut_is_dialed_anew(store, way):
    line = store.watch_line()
    line.give_up()
    assert store.watch("a", 0, 0.05, line).items == ()
    line.give_up()
    assert store.watch("a", 0, 0.05, line).items == ()
    way.block()
    way.unblock()
    with pytest.raises(StoreUnknownError):
        store.watch("a", 0, 0.05, line)
    assert store.watch("a", 0, 0.05, line).items == ()


def test_a_watch_is_used_again_for_the_next_wait(store, way):
    line = store.watch_line()
    store.watch("a", 0, 0.05, line)
    opened = len(way.sockets)
    store.watch("a", 0, 0.05, line)
    assert len(way.sockets) == opened


def test_a_watch_given_up_while_it_still_connects_does_not_wait_on(store, way, monkeypatch):
    """A change was kept back for as long as the watch may wait, though the store answered again.

    Seen: looked for, after requests had reached leaving endpoints. How it came about: a watch that
    is begun in the last moments of a silent outage still connects when the store is back and all
    that hangs is given up. Cause: what had no socket yet was not given up; its request was lost.
    Proof: without the mend the call ends by its own time, 5.6 s later.
    """
    connecting, released = threading.Event(), threading.Event()
    connect = HTTPConnection.connect

    def slowly(connection):
        connect(connection)
        connecting.set()
        released.wait(5.0)

    line = store.watch_line()
    ended: list[type] = []

    def watch() -> None:
        try:
            store.watch("servers/", 0, 5.0, line)
        except Exception as error:
            ended.append(type(error))

    with monkeypatch.context() as patched:
        patched.setattr(HTTPConnection, "connect", slowly)
        thread = threading.Thread(target=watch, daemon=True)
        thread.start()
        assert connecting.wait(2.0)
        way.blackhole()
        line.connection.sock, kept = None, line.connection.sock  # as before the connect is done
        line.give_up()
        released.set()
        thread.join(1.0)
        kept.close()
    assert ended == [GivenUpError]


def test_a_write_of_an_outages_last_moments_is_settled_by_its_next_look(store, way, platform_store):
    """It may be done though no answer came; who asks again learns which of the two it was."""
    store.get("a")
    way.blackhole()
    put = Transaction({"a": 0}, (Put("a", b"v"),))
    with pytest.raises(KeptLineError):
        store.transact(put)
    platform_store.faults["late_writes"] = 1
    platform_store.faults["late_s"] = 0.2
    with pytest.raises(StoreUnknownError):
        store.transact(put)
    time.sleep(0.4)
    answer = store.transact(put)
    assert answer.current["a"].value == b"v"


def test_a_watch_goes_on_at_once(store):
    """News came late by the time of a whole wait: the look at what lies on its line waited, too."""
    store.transact(Transaction(puts=(Put("a", b"v"),)))
    line = store.watch_line()
    started = time.monotonic()
    for _ in range(3):
        assert store.watch("a", 0, 5.0, line).items
    assert time.monotonic() - started < 1.0
