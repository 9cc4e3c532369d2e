from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

import pytest
from tools.fleet import free_address

from threadramp.wire import sync as sync_module
from threadramp.wire.messages import KeyAnswer, KeyQuery
from threadramp.wire.seal import Seal
from threadramp.wire.sync import SyncClient, SyncServer

if TYPE_CHECKING:
    from collections.abc import Iterator

PATIENCE_S = 20.0
IMPATIENCE_S = 0.3
SUSPENDED_S = 60.0


@pytest.fixture
def server() -> Iterator[tuple[str, SyncServer]]:
    address = free_address()
    made = SyncServer(address, Seal("fleet"), lambda request: KeyAnswer("i", request.key), 2)
    yield address, made
    made.close()


def test_replies_are_returned_by_address_without_those_that_timed_out(server) -> None:
    address, _ = server
    client = SyncClient(Seal("fleet"))
    nobody = free_address()
    assert client.exchange({nobody: KeyQuery("x")}, IMPATIENCE_S) == {}
    replies = client.exchange({address: KeyQuery("a")}, PATIENCE_S)
    assert replies == {address: KeyAnswer("i", "a")}
    client.close()


def test_a_message_with_another_key_gets_no_reply(server) -> None:
    address, made = server
    stranger = SyncClient(Seal("other"))
    assert stranger.exchange({address: KeyQuery("a")}, IMPATIENCE_S) == {}
    stranger.close()
    friend = SyncClient(Seal("fleet"))
    assert friend.exchange({address: KeyQuery("b")}, PATIENCE_S)
    friend.close()
    assert made.rejected >= 1


def test_a_late_reply_is_not_taken_for_the_reply_to_the_next_request() -> None:
    address = free_address()
    held = threading.Event()

    def handle(request: KeyQuery) -> KeyAnswer:
        if request.key == "slow":
            held.wait(PATIENCE_S)
        return KeyAnswer("i", request.key)

    made = SyncServer(address, Seal("fleet"), handle, 2)
    client = SyncClient(Seal("fleet"))
    assert client.exchange({address: KeyQuery("first")}, PATIENCE_S)
    assert client.exchange({address: KeyQuery("slow")}, IMPATIENCE_S) == {}
    held.set()
    for number in range(20):
        reply = client.exchange({address: KeyQuery(f"k{number}")}, PATIENCE_S)
        assert reply[address].state == f"k{number}"
    client.close()
    made.close()


def test_a_changed_body_does_not_match_its_seal() -> None:
    seal = Seal("fleet")
    sealed = bytearray(seal.wrap(b"body"))
    assert seal.unwrap(bytes(sealed)) == b"body"
    sealed[-1] ^= 1
    assert seal.unwrap(bytes(sealed)) is None
    assert seal.unwrap(b"") is None


def test_a_connection_without_a_reply_in_time_is_closed_for_all_its_requests() -> None:
    held = threading.Event()

    def handle(request: KeyQuery) -> KeyAnswer:
        held.wait(PATIENCE_S)
        return KeyAnswer("i", request.key)

    address = free_address()
    made = SyncServer(address, Seal("k"), handle, 8)
    client = SyncClient(Seal("k"), redial=True)
    results: list = []

    def ask(timeout_s: float) -> None:
        results.append(client.ask(address, KeyQuery("a"), timeout_s))

    threads = [threading.Thread(target=ask, args=(seconds,)) for seconds in (0.2, 0.25, 1.0)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert results == [None, None, None]  # none of them raised
    held.set()
    assert client.ask(address, KeyQuery("a"), PATIENCE_S) == KeyAnswer("i", "a")
    client.close()
    made.close()


def test_a_reply_that_was_queued_while_the_box_was_suspended_is_dropped(monkeypatch) -> None:
    """Its ages are relative to the time before, and the monotonic clock stood still as well."""
    suspended_s = [0.0]
    lines: list[str] = []
    monkeypatch.setattr(
        sync_module, "steady_s", lambda: time.monotonic() + suspended_s[0], raising=False
    )
    monkeypatch.setattr(sync_module, "log_state", lambda kind, **fields: lines.append(kind))

    def handle(request: KeyQuery) -> KeyAnswer:
        suspended_s[0] += SUSPENDED_S if request.key == "before" else 0.0
        return KeyAnswer("i", request.key)

    address = free_address()
    made = SyncServer(address, Seal("k"), handle, 2)
    client = SyncClient(Seal("k"))
    assert client.ask(address, KeyQuery("before"), PATIENCE_S) is None
    assert lines == ["reply_old"]
    assert client.ask(address, KeyQuery("after"), PATIENCE_S) == KeyAnswer("i", "after")
    client.close()
    made.close()


class HeldServer:
    """A server whose handler waits until it is released, and one request that it handles."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.logged: list[str] = []
        monkeypatch.setattr(sync_module, "log_state", lambda kind, **more: self.logged.append(kind))
        self.started, self.released = threading.Event(), threading.Event()
        address = free_address()
        self.server = SyncServer(address, Seal("k"), self.handle, 2)
        self.client = SyncClient(Seal("k"))
        self.replies: list[KeyAnswer | None] = []
        self.request = threading.Thread(
            target=lambda: self.replies.append(self.client.ask(address, KeyQuery("a"), 5.0))
        )
        self.request.start()
        assert self.started.wait(PATIENCE_S)

    def handle(self, request: KeyQuery) -> KeyAnswer:
        self.started.set()
        self.released.wait(PATIENCE_S)
        return KeyAnswer("i", request.key)

    def threads_end(self) -> bool:
        for thread in self.server.threads:
            thread.join(2.0)
        return not any(thread.is_alive() for thread in self.server.threads)


@pytest.fixture
def held(monkeypatch) -> Iterator[HeldServer]:
    made = HeldServer(monkeypatch)
    yield made
    made.released.set()
    made.request.join()
    made.client.close()
    made.server.close()


def test_a_server_closed_while_it_handles_a_request_ends_its_threads(held) -> None:
    """The thread kept receiving on its closed context and logged each failure."""
    held.server.close()
    held.released.set()
    assert held.threads_end()
    assert held.logged == []


def test_a_request_that_is_handled_when_its_server_is_closed_gets_its_reply(
    held, monkeypatch
) -> None:
    """The sender never learned that its request had been accepted."""
    monkeypatch.setattr(sync_module, "CLOSE_TIMEOUT_S", PATIENCE_S)
    threading.Timer(0.1, held.released.set).start()
    held.server.close()
    held.request.join()
    assert held.replies == [KeyAnswer("i", "a")]
    assert held.threads_end()


def test_a_server_that_is_closed_at_rest_does_not_wait_for_replies(server, monkeypatch) -> None:
    monkeypatch.setattr(sync_module, "CLOSE_TIMEOUT_S", PATIENCE_S)
    _, made = server
    started = time.monotonic()
    made.close()
    assert not any(thread.is_alive() for thread in made.threads)
    assert time.monotonic() - started < PATIENCE_S / 2


def test_a_request_that_is_open_when_its_client_is_closed_ends_at_once(held) -> None:
    """It never ended, because its event loop was stopped before it."""
    held.client.close()
    held.request.join(2.0)
    assert not held.request.is_alive()
    assert held.replies == [None]


def test_a_closed_client_closes_its_event_loop(server) -> None:
    """The interpreter warned of an event loop that was never closed."""
    address, _ = server
    client = SyncClient(Seal("fleet"))
    client.ask(address, KeyQuery("a"), PATIENCE_S)
    client.close()
    client.close()
    assert client.loop.is_closed()
    assert client.ask(address, KeyQuery("a"), PATIENCE_S) is None
