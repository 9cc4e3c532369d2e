"""Callers that read large answers slowly, over real sockets."""

from __future__ import annotations

import select
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from threadramp.edge import slow_readers
from threadramp.edge.server import CallerRequest, EdgeServer
from threadramp.fleet.model import CallerLimits
from threadramp.policy.reader_buffers import SlowReader

THREADS = 4
LARGE = 1_000_000  # the largest answer: a page of results
LIMITS = CallerLimits(idle_s=5.0)
READERS = 400
MEMORY_MB = 160
# A gateway of 160 MB, whose threads all make answers of the largest size.
PROGRAM = f"""
import sys
from threadramp.edge.server import EdgeServer
from threadramp.fleet.model import CallerLimits
from threadramp.policy.reader_buffers import max_held_bytes
def handle(request):
    size = {LARGE} if request.path == "/large" else 2
    request.respond(200, body=bytes(size))
server = EdgeServer("127.0.0.1:0", handle, 40, CallerLimits(), max_held_bytes({MEMORY_MB}))
print(server.server.bind_addr[1], flush=True)
sys.stdin.read()
"""


def respond(request: CallerRequest) -> None:
    request.respond(200, body=bytes(LARGE) if request.path == "/large" else b"ok")


@pytest.fixture
def server():
    built = EdgeServer("127.0.0.1:0", respond, THREADS, LIMITS, max_held_bytes=3 * LARGE)
    yield built
    built.server.stop()


def connect(address) -> socket.socket:
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # else the kernel takes it all
    caller.settimeout(10.0)
    caller.connect(address)
    return caller


def ask(address, path: str = "/large", close: bool = False) -> socket.socket:
    caller = connect(address)
    closing = "Connection: close\r\n" if close else ""
    caller.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n{closing}\r\n".encode())
    return caller


def read_all(caller: socket.socket) -> bytes:
    """Read one response; it is incomplete if the connection ends before."""
    found = b""
    while b"\r\n\r\n" not in found or len(body_of(found)) < length_of(found):
        data = caller.recv(65_536)
        if not data:
            break
        found += data
    return found


def length_of(found: bytes) -> int:
    return int(found.partition(b"Content-Length: ")[2].partition(b"\r")[0])


def body_of(found: bytes) -> bytes:
    return found.partition(b"\r\n\r\n")[2]


def wait_until(condition, timeout_s: float = 10.0) -> None:
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.02)


def slow_count(server: EdgeServer) -> int:
    return server.server.slow_readers.count


def test_slow_readers_do_not_take_the_threads_of_others(server):
    """As many slow readers as threads stopped a gateway for all callers."""
    slow = [ask(server.server.bind_addr) for _ in range(2 * THREADS)]
    started = time.monotonic()
    answer = read_all(ask(server.server.bind_addr, "/small"))
    assert answer.endswith(b"ok")
    assert time.monotonic() - started < 2.0
    for one in slow:
        one.close()


@pytest.mark.parametrize("close", [False, True])
def test_a_slow_reader_gets_its_whole_answer(server, close):
    caller = ask(server.server.bind_addr, close=close)
    wait_until(lambda: slow_count(server) == 1)
    found = b""
    while len(body_of(found)) < LARGE:
        found += caller.recv(200_000)
        time.sleep(0.001)
    assert body_of(found) == bytes(LARGE)
    wait_until(lambda: slow_count(server) == 0)
    if close:
        assert caller.recv(1) == b""
    else:  # the connection serves the next request
        caller.sendall(b"GET /small HTTP/1.1\r\nHost: h\r\n\r\n")
        assert read_all(caller).endswith(b"ok")


def test_past_the_bound_the_slowest_is_disconnected(server):
    callers = [ask(server.server.bind_addr) for _ in range(6)]
    wait_until(lambda: server.server.slow_readers.ended_count >= 2)
    assert slow_count(server) <= 4
    with ThreadPoolExecutor(len(callers)) as threads:
        lengths = [len(body_of(found)) for found in threads.map(read_all, callers)]
    complete = lengths.count(LARGE)
    assert complete + server.server.slow_readers.ended_count == len(callers)
    assert complete >= 2


def test_a_reader_that_two_threads_end_at_once_is_counted_once(monkeypatch):
    """Past the bound, a reader that one thread had just ended was counted and logged again."""
    end_readers = slow_readers.readers_to_end
    both_chose = threading.Barrier(2)

    def choose(*arguments):
        chosen = list(end_readers(*arguments))
        both_chose.wait(5.0)
        return chosen

    monkeypatch.setattr(slow_readers, "readers_to_end", choose)
    monkeypatch.setattr(slow_readers, "start_loop", lambda *arguments: None)
    readers = slow_readers.SlowReaders(1, lambda: 60.0)
    ours, theirs = socket.socketpair()
    reader = SlowReader(LARGE, LARGE, 0.0, 0.0)
    readers.unsent[ours.fileno()] = slow_readers._Unsent(
        ours, memoryview(b"x"), reader, lambda complete: None
    )
    with ThreadPoolExecutor(2) as threads:
        list(threads.map(lambda _: readers._end_some(), range(2)))
    assert (readers.ended_count, readers.count) == (1, 0)
    ours.close()
    theirs.close()


def test_a_reader_that_stops_reading_is_disconnected_after_the_idle_time(server):
    server.set_limits(CallerLimits(idle_s=0.5))
    ask_once = ask(server.server.bind_addr)
    wait_until(lambda: slow_count(server) == 1)
    wait_until(lambda: slow_count(server) == 0, 5.0)
    assert server.server.slow_readers.ended_count == 1
    ask_once.close()


def test_a_reader_that_disconnects_is_forgotten(server):
    callers = [ask(server.server.bind_addr) for _ in range(3)]
    wait_until(lambda: slow_count(server) == 3)
    for one in callers:
        one.close()
    wait_until(lambda: slow_count(server) == 0, 5.0)


def test_a_server_is_busy_until_its_slow_readers_are_done(server):
    """A planned stop cut off the answers that were being read."""
    caller = ask(server.server.bind_addr, close=True)
    wait_until(lambda: slow_count(server) == 1)
    wait_until(lambda: server.server.active == 0)
    assert server.is_busy
    read_all(caller)
    wait_until(lambda: not server.is_busy)


def test_400_slow_readers_of_the_largest_answer_stay_within_160_mb():
    """A gateway of 160 MB was ended for its memory; the others served nobody meanwhile."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        address = ("127.0.0.1", int(process.stdout.readline()))
        callers = [ask(address) for _ in range(READERS)]
        deadline = time.monotonic() + 5.0
        while time.monotonic() < deadline:  # each reads a little
            for one in select.select(callers, [], [], 0.1)[0]:
                try:
                    if not one.recv(512):
                        callers.remove(one)
                except ConnectionError:
                    callers.remove(one)
            time.sleep(0.05)
        started = time.monotonic()
        assert read_all(ask(address, "/small"))[-2:] == bytes(2)
        assert time.monotonic() - started < 2.0
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            peak = next(line for line in status if line.startswith("VmHWM"))
        assert int(peak.split()[1]) * 1024 < MEMORY_MB * 1_000_000
    finally:
        process.kill()
        process.wait()
