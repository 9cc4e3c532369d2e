"""The stand-in for endpoints that answer twice: what it sends, and when."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

import pytest

from threadramp.platform.standins.stuttering import (
    OTHER,
    Moment,
    Second,
    Stutter,
    StutteringFront,
)

FIRST = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 1\r\n\r\nq"
NEXT = FIRST.replace(b"r1", b"r2")


@pytest.fixture
def front(serve, engine):
    made = StutteringFront(serve(engine))
    yield made
    made.close()


@pytest.fixture
def caller(front):
    host, _, port = front.address.partition(":")
    with socket.create_connection((host, int(port)), 2.0) as made:
        yield made


def received(caller: socket.socket, seconds: float = 0.2) -> bytes:
    """Return all that comes within a time."""
    found = b""
    caller.settimeout(0.02)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with suppress(TimeoutError):
            found += caller.recv(65_536)
    return found


def ask(caller: socket.socket, request: bytes, seconds: float = 0.2) -> bytes:
    caller.sendall(request)
    return received(caller, seconds)


def test_it_passes_on_what_the_endpoint_answers(front, caller):
    assert ask(caller, FIRST).endswith(b"\r\n\r\ni-1 answers r1")
    assert ask(caller, NEXT).count(b"answers r2") == 1
    assert front.seconds == []


@pytest.mark.parametrize("moment", [Moment.AT_ONCE, Moment.IDLE])
def test_a_second_answer_before_the_next_request(front, caller, moment):
    front.stutter = Stutter(Second.WHOLE, moment)
    assert ask(caller, FIRST).count(b"answers r1") == 2
    assert front.seconds == [("POST /x", "r1")]


@pytest.mark.parametrize("moment", [Moment.AFTER_NEXT, Moment.SPLIT])
def test_a_second_answer_after_the_next_request(front, caller, moment):
    front.stutter = Stutter(Second.WHOLE, moment, concerns=lambda target, ident: ident == "r1")
    assert ask(caller, FIRST).count(b"answers r1") == 1
    found = ask(caller, NEXT)
    assert found.index(b"answers r1") < found.index(b"answers r2")


def test_a_second_answer_in_the_midst_of_the_next(front, caller):
    front.stutter = Stutter(Second.WHOLE, Moment.AMID)
    ask(caller, FIRST)
    found = ask(caller, NEXT)
    assert found.index(b"Id: r2") < found.index(b"answers r1") < found.index(b"answers r2")


def test_a_second_answer_seconds_later(front, caller):
    front.stutter = Stutter(Second.WHOLE, Moment.LATER)
    assert ask(caller, FIRST).count(b"answers r1") == 1
    assert received(caller, 2.5).count(b"answers r1") == 1


@pytest.mark.parametrize(
    ("second", "ids"),
    [
        (Second.WHOLE, [b"r1", b"r1"]),
        (Second.CUT, [b"r1", b"r1"]),
        (Second.BEGUN, [b"r1", b"r1"]),
        (Second.OTHER_ID, [b"r1", OTHER]),
        (Second.NO_ID, [b"r1"]),
    ],
)
def test_what_it_is_like(front, caller, second, ids):
    front.stutter = Stutter(second, Moment.AT_ONCE)
    found = ask(caller, FIRST)
    assert [part.partition(b"\r\n")[0] for part in found.split(b"X-Attempt-Id: ")[1:]] == ids
    assert found.count(b"answers r1") == (1 if second in (Second.CUT, Second.BEGUN) else 2)


def test_streams_pass_event_by_event_and_come_twice_as_well(front, caller):
    front.stutter = Stutter(Second.WHOLE, Moment.AT_ONCE)
    found = ask(caller, FIRST.replace(b"Host: h", b"Host: h\r\nX-Model: m"), 0.4)
    assert found.count(b"data: r1-5") == 2
    assert found.count(b"HTTP/1.1 200") == 2


class SlowListener:
    """A listener whose process gets no processor for a while before each accept."""

    def __init__(self, listener: socket.socket, delay_s: float) -> None:
        self.listener = listener
        self.delay_s = delay_s

    def fileno(self) -> int:
        return self.listener.fileno()

    def getsockname(self):
        return self.listener.getsockname()

    def accept(self):
        time.sleep(self.delay_s)
        return self.listener.accept()


def test_a_connection_counts_as_opened_before_it_is_accepted(front):
    """It was counted in the next step of a test, as that step's connection."""
    front.listener = SlowListener(front.listener, 0.3)
    host, _, port = front.address.partition(":")
    for count in (1, 2):
        with socket.create_connection((host, int(port)), 2.0):
            assert front.opened == count
