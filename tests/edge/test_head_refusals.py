"""Status 408 promises that a request has not run and never will.

Each caller here notes its status and the server notes what it serves: a request that is answered
408 must not be served, neither before nor later, however its bytes and the timeout cross.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import closing

import pytest

from threadramp.edge.server import CallerRequest, EdgeServer
from threadramp.fleet.model import CallerLimits

HEADER_S = 0.3
REQUEST = b"POST /%b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
SPLITS = [5, 20, len(REQUEST) - 7]  # in the request line, in a header, before the body
OFFSETS_MS = range(-12, 13, 2)  # of the rest, from the end of the time for a head
PAUSED = """
import sys, time
from threadramp.edge.server import EdgeServer
from threadramp.fleet.model import CallerLimits

def answer(request):
    body = request.read_body(100)
    served.write((request.path[1:] + "\\n").encode())
    request.respond(200, body=b"ok")

served = open(sys.argv[1], "ab", buffering=0)
edge = EdgeServer("127.0.0.1:0", answer, 16, CallerLimits(header_s=0.3, idle_s=5.0))
print(edge.server.bind_addr[1], flush=True)
time.sleep(60)
"""


def status_of(caller: socket.socket) -> int:
    """Read a response and return its status, 0 for none."""
    found = b""
    try:
        while not is_complete(found):
            piece = caller.recv(4096)
            if not piece:
                return 0
            found += piece
    except ConnectionResetError:
        return 0
    return int(found[9:12])


def is_complete(response: bytes) -> bool:
    head, _, body = response.partition(b"\r\n\r\n")
    length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
    return bool(length) and len(body) >= int(length)


def send_rest(caller: socket.socket, rest: bytes) -> None:
    try:
        caller.sendall(rest)
    except OSError:
        return  # the server has closed


class Callers:
    """Callers that send a request in two parts, each at its own time."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.statuses: dict[str, int] = {}

    def run(self, name: str, split: int, after_s: float, is_kept: bool) -> None:
        with closing(socket.create_connection(self.address, timeout=10.0)) as caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if is_kept:
                caller.sendall(REQUEST % b"before")
                assert status_of(caller) == 200
            request = REQUEST % name.encode()
            caller.sendall(request[:split])
            time.sleep(after_s)
            send_rest(caller, request[split:])
            self.statuses[name] = status_of(caller)

    def run_all(self, plans: list[tuple[str, int, float, bool]]) -> None:
        threads = [threading.Thread(target=self.run, args=plan) for plan in plans]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


@pytest.mark.parametrize("is_kept", [False, True])
def test_a_request_whose_end_crosses_the_408_is_not_served(is_kept):
    served: list[str] = []

    def answer(request: CallerRequest) -> None:
        request.read_body(100)
        served.append(request.path[1:])
        request.respond(200, body=b"ok")

    limits = CallerLimits(header_s=HEADER_S, idle_s=5.0)
    plans = [
        (f"{split}x{offset}", split, HEADER_S + offset / 1000, is_kept)
        for split in SPLITS
        for offset in OFFSETS_MS
    ]
    edge = EdgeServer("127.0.0.1:0", answer, len(plans), limits)
    callers = Callers(edge.server.bind_addr)
    callers.run_all(plans)
    edge.server.stop()
    answered = {name for name, status in callers.statuses.items() if status == 200}
    assert answered == set(served) - {"before"}
    assert set(callers.statuses.values()) <= {200, 408, 0}
    assert 408 in callers.statuses.values()


@pytest.fixture
def paused_server(tmp_path):
    """A server in a process of its own; yields it, its address and the file of what it served."""
    served = tmp_path / "served"
    process = subprocess.Popen(
        [sys.executable, "-c", PAUSED, str(served)], stdout=subprocess.PIPE, text=True
    )
    port = int(process.stdout.readline())
    yield process, ("127.0.0.1", port), served
    process.kill()
    process.wait()


def test_a_server_that_was_paused_answers_408_only_for_what_it_never_serves(paused_server):
    """The time for a head is over when the process goes on, and its bytes have arrived."""
    process, address, served = paused_server
    callers = Callers(address)
    plans = [
        (f"{split}x{after}x{is_kept:d}", split, after, is_kept)
        for split in (*SPLITS, len(REQUEST))
        for after in (0.0, 0.1, 0.4)
        for is_kept in (False, True)
    ]
    threads = [threading.Thread(target=callers.run, args=plan) for plan in plans]
    for thread in threads:
        thread.start()
    time.sleep(0.05)  # some heads are read in part by now; the pause may come at any moment
    os.kill(process.pid, signal.SIGSTOP)
    time.sleep(2 * HEADER_S)
    os.kill(process.pid, signal.SIGCONT)
    for thread in threads:
        thread.join()
    answered = {name for name, status in callers.statuses.items() if status == 200}
    assert answered == set(served.read_text().split()) - {"before"}
    assert set(callers.statuses.values()) <= {200, 408}
    assert len(callers.statuses) == len(plans)
