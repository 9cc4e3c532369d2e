"""Samples whose engine ends the connection within the head of its response."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

import pytest

from tests.runner.test_runs import order
from tests.runner.test_weight_loader import facts
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.lots.model import Sample
from threadramp.report.metrics import Metrics
from threadramp.runner.engine import Engine
from threadramp.runner.runs import RunTable
from threadramp.runner.sample_run import SampleRun

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n"
    b"X-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def run_resumed_sample(response: bytes) -> RunOutcome:
    """Return how a sample's run ended that was to go on after three events."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection:
                    connection.recv(65_536)
                    connection.sendall(response)

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    clock = Clock()
    engine = Engine(f"{host}:{port}", "p", "box-1", clock)
    engine.update_facts(facts())
    table = RunTable(clock.now)
    table.slots, table.accepting = 1, True
    sample = Sample("a", "/p", (("X-Model", "m"),), b"q", 100, "g", None, 10)
    table.submit((order("a", sample=sample, after=3, lineage="earlier"),))
    run = table.next_start()
    SampleRun(engine, table, run, clock, Metrics("t")).execute()
    listener.close()
    return run.outcome


# Guards against a text that is listed without its end, as its next run's head had lost its framing.
@pytest.mark.parametrize("end", range(1, len(HEAD)))
def test_a_resumed_sample_is_incomplete_if_its_response_ends_within_the_head(end):
    assert run_resumed_sample(HEAD[:end]) is not RunOutcome.COMPLETE


# Guards against a text that is listed without its end, as a proxy answered for its engine.
@pytest.mark.parametrize("more", ["", "X-Attempt-Id: a\r\n", "Content-Type: text/event-stream\r\n"])
def test_a_resumed_sample_is_incomplete_if_its_response_is_not_a_signed_stream(more):
    response = f"HTTP/1.1 200 OK\r\n{more}Content-Length: 0\r\n\r\n".encode()
    assert run_resumed_sample(response) is not RunOutcome.COMPLETE
