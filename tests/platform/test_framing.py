"""The stand-in that reframes, cuts and repeats responses: what a client of it receives."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from threadramp.platform.standins import framing
from threadramp.platform.standins.framing import (
    FRAMINGS,
    Cut,
    End,
    FramingFront,
    Repeat,
    ResponseFaults,
    ResponsePlan,
)

CALL = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r1\r\nContent-Length: 1\r\n\r\nq"
STREAM = CALL.replace(b"Host: h", b"Host: h\r\nX-Model: m")
EVENTS = [f"id: {number}\ndata: r1-{number}\n\n".encode() for number in range(1, 6)]
BODY = b"i-1 answers r1"
ALL_FRAMINGS = [name for name in sorted(FRAMINGS) if name != "kept"]
RECEIVE_S = 2.0


@pytest.fixture
def front(serve, engine):
    made = FramingFront(serve(engine))
    yield made
    made.close()


def play(front: FramingFront, plan: ResponsePlan | None) -> ResponseFaults:
    front.faults = ResponseFaults(1, lambda seen, random: plan)
    return front.faults


def receive(front: FramingFront, request: bytes, quiet_s: float = 0.5) -> tuple[bytes, str]:
    """Send a request; return what comes and how the connection ends, ``open`` if it does not."""
    host, _, port = front.address.partition(":")
    found = b""
    with socket.create_connection((host, int(port)), RECEIVE_S) as caller:
        caller.sendall(request)
        caller.settimeout(quiet_s)
        try:
            while data := caller.recv(65_536):
                found += data
        except TimeoutError:
            return found, "open"
        except ConnectionResetError:
            return found, "reset"
    return found, "close"


@pytest.mark.parametrize("kind", ALL_FRAMINGS)
def test_a_stream_is_reframed_and_stays_whole(front, kind):
    faults = play(front, ResponsePlan(kind))
    found, end = receive(front, STREAM)
    head, _, body = found.partition(b"\r\n\r\n")
    named = {
        "chunked": b"Transfer-Encoding: chunked" in head,
        "length": f"Content-Length: {len(b''.join(EVENTS))}".encode() in head,
        "close": b"Transfer-Encoding" not in head and b"Content-Length" not in head,
    }
    assert named[kind]
    assert b"".join(EVENTS) in body or kind == "chunked"
    assert all(event in body for event in EVENTS)
    assert end == ("close" if kind == "close" else "open")
    (played,) = faults.of("r1")
    assert (played.contents, played.is_cut, played.is_broken) == (5, False, False)


@pytest.mark.parametrize("kind", ALL_FRAMINGS)
def test_a_body_is_reframed_and_stays_whole(front, kind):
    play(front, ResponsePlan(kind))
    found, end = receive(front, CALL)
    assert BODY in found
    assert end == ("close" if kind == "close" else "open")


@pytest.mark.parametrize("end", list(End))
@pytest.mark.parametrize("kind", ALL_FRAMINGS)
@pytest.mark.parametrize(
    ("cut", "contents"),
    [
        (Cut("head", End.CLOSE, share=0.0), 0),
        (Cut("head", End.CLOSE, share=0.7), 0),
        (Cut("before framing", End.CLOSE, share=0.0), 0),
        (Cut("head end", End.CLOSE), 0),
        (Cut("event", End.CLOSE, 2), 1),
        (Cut("event end", End.CLOSE, 3), 3),
        (Cut("before the last chunk", End.CLOSE), 5),
    ],
)
def test_a_stream_ends_early_at_its_place_by_a_close_or_by_a_reset(front, kind, end, cut, contents):
    """A stand-in whose reset is preceded by a regular end would not show a reset that is lost."""
    placed = Cut(cut.place, end, cut.number, cut.share)
    faults = play(front, ResponsePlan(kind, placed))
    found, how = receive(front, STREAM)
    assert how == end.value
    assert not found.endswith(b"\r\n0\r\n\r\n")
    assert sum(event in found for event in EVENTS) == contents
    (played,) = faults.of("r1")
    assert (played.contents, played.is_cut, played.sent_bytes) == (contents, True, len(found))
    if cut.place == "before framing":
        assert found.lower().endswith(b"x-attempt-id: r1\r\n")


@pytest.mark.parametrize("repeat", [Repeat.AT_ONCE, Repeat.EARLY, Repeat.LATE])
@pytest.mark.parametrize("kind", ALL_FRAMINGS)
def test_a_response_is_repeated_behind_its_end(front, kind, repeat):
    play(front, ResponsePlan(kind, repeat=repeat))
    found, end = receive(front, CALL)
    assert found.count(BODY) == 2
    assert end == ("close" if kind == "close" else "open")


def test_a_response_is_repeated_in_the_place_of_the_next_one(front):
    play(front, ResponsePlan("length", repeat=Repeat.NEXT))
    found, _ = receive(front, CALL + CALL.replace(b"r1", b"r2"))
    assert found.count(BODY) == 2
    assert found.rindex(BODY) < found.index(b"i-1 answers r2")


def test_a_cut_response_is_repeated_before_its_connection_ends(front):
    cut = Cut("event end", End.RESET, 1)
    play(front, ResponsePlan("close", cut, Repeat.AT_ONCE))
    found, end = receive(front, STREAM)
    assert found.count(EVENTS[0]) == 2
    assert EVENTS[1] not in found
    assert end == "reset"


@pytest.mark.parametrize("end", list(End))
def test_a_stream_that_the_engine_breaks_off_ends_as_it_was_set(front, engine, end):
    engine.faults["cut"] = 1
    front.broken_end = end
    faults = play(front, ResponsePlan("close"))
    found, how = receive(front, STREAM)
    assert how == end.value
    assert sum(event in found for event in EVENTS) == 3
    assert faults.of("r1")[0].is_broken


def test_plans_depend_on_the_seed_the_request_id_and_the_number_of_its_response():
    def drawn(seed: int) -> list[float]:
        numbers: list[float] = []
        faults = ResponseFaults(seed, lambda seen, random: numbers.append(random.random()))
        for request in (CALL, CALL, STREAM.replace(b"r1", b"r2")):
            faults.plan(request)
        return numbers

    assert drawn(1) == drawn(1)
    assert len({*drawn(1), *drawn(2)}) == 6


def test_a_killed_front_process_ends_its_streams_by_a_close(serve, engine):
    """The kernel sends no reset for a killed process that had read all that was sent to it."""
    engine.faults.update(events=50, gap_s=0.05)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    command = [sys.executable, "-m", framing.__name__, listen, serve(engine), "close"]
    process = subprocess.Popen(command)
    try:
        caller = _connect(listen)
        with caller:
            caller.sendall(STREAM)
            found = b""
            while EVENTS[1] not in found:
                found += caller.recv(65_536)
            os.kill(process.pid, signal.SIGKILL)
            while data := caller.recv(65_536):
                found += data
        assert b"id: 50\n" not in found
    finally:
        process.kill()
        process.wait()


def _connect(address: str) -> socket.socket:
    host, _, port = address.partition(":")
    for _ in range(200):
        try:
            return socket.create_connection((host, int(port)), RECEIVE_S)
        except ConnectionRefusedError:
            time.sleep(0.05)
    raise AssertionError(f"{address} does not listen")
