"""Crowds of clients at the addresses of a gateway on the platform.

Whatever they send, the process lives within the memory and the descriptors of its settings, and an
ordinary request is answered while their connections stay open.
"""

from __future__ import annotations

import msgspec
import pytest

from tests.crowds.clients import PLANS, Crowd, Target, open_descriptors, peak_bytes
from tests.crowds.conftest import LIMITS, MAX_FDS, MEMORY_MB
from tests.serve.fleet import CALLS, HOST, PORTS, wait_for
from threadramp.platform.standins.store import encoded

LARGE = [
    "body one byte short",
    "chunked body one byte short",
    "whole body",
    "chunked body with trailers without end",
    "chunked body with one trailer line without end",
    "chunked body without end",
]
ENDLESS = ["chunk of 4 GB", "chunk size line without end", "body of 10 GB"]
SLOW = [
    "no body after the head",
    "body byte by byte",
    "chunks byte by byte",
    "trailers byte by byte",
    "half a head",
    "head byte by byte",
]
HOLDING = ["nothing", "half a head", "no body after the head"]
LOTS = {"host": HOST, "path": "/lots/crowd"}
UNROUTED = {"host": "unknown.example"}
BODY_BYTES = LIMITS["maxBodyBytes"]


def target(box, port: str = "front", host: str = CALLS, **fields) -> Target:
    return Target((box.ip, PORTS[port]), host, body_bytes=BODY_BYTES, **fields)


def assert_served(fleet, body: bytes = b"q") -> None:
    """Check that a request is answered; it may be sent again if it was refused."""
    gateway = fleet.gateways[0]
    assert gateway.process.poll() is None

    def send() -> bool:
        return gateway.call("POST", "/x", host=CALLS, body=body, X_Attempt_Id="r1").status == 200

    wait_for(send, "an ordinary request is answered")


def assert_within_limits(box) -> None:
    assert box.process.poll() is None
    assert peak_bytes(box.process.pid) < MEMORY_MB * 1_000_000
    assert open_descriptors(box.process.pid) <= MAX_FDS


def assert_withstands(fleet, kind: str, sent_to: Target) -> None:
    with Crowd(sent_to, PLANS[kind]) as crowd:
        crowd.send()
        assert_served(fleet)
        assert_within_limits(fleet.gateways[0])
    assert_served(fleet)


# The bodies of all callers were held at once, and a limit was checked after a body was read.
@pytest.mark.parametrize("kind", LARGE)
@pytest.mark.parametrize("at", [{}, LOTS], ids=["calls", "lots"])
def test_large_bodies_stay_within_the_memory(fleet, kind, at):
    assert_withstands(fleet, kind, target(fleet.gateways[0], **at))


# A line or a chunk was read as a whole, and what nobody wanted was read to its end.
@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("at", [{}, UNROUTED], ids=["calls", "unrouted"])
def test_lines_and_chunks_without_end_stay_within_the_memory(fleet, kind, at):
    assert_withstands(fleet, kind, target(fleet.gateways[0], count=2, **at))


# Each of 40 threads waited for the bytes of one caller.
@pytest.mark.parametrize("kind", SLOW)
def test_callers_that_send_slowly_hold_no_thread(fleet, kind):
    assert_withstands(fleet, kind, target(fleet.gateways[0], count=100))


@pytest.mark.parametrize("kind", ["chunks byte by byte", "no body after the head"])
def test_unwanted_bodies_that_are_sent_slowly_hold_no_thread(fleet, kind):
    assert_withstands(fleet, kind, target(fleet.gateways[0], count=100, **UNROUTED))


# The process had as many descriptors open as there were connections.
@pytest.mark.parametrize("kind", HOLDING)
def test_open_connections_stay_within_the_descriptors(fleet, kind):
    assert_withstands(fleet, kind, target(fleet.gateways[0], count=2 * MAX_FDS))


# The readiness check went unanswered, so that the balancer took the box out.
@pytest.mark.parametrize("kind", [*ENDLESS, *SLOW, *HOLDING[:1]])
def test_a_crowd_at_the_address_for_readiness_does_not_stop_it(fleet, kind):
    gateway = fleet.gateways[0]
    with Crowd(target(gateway, "ready", count=8), PLANS[kind]) as crowd:
        crowd.send()
        wait_for(lambda: gateway.ready() == 200, "it reports that it is ready")
        assert_served(fleet)
        assert_within_limits(gateway)


@pytest.mark.parametrize("kind", [*ENDLESS, "chunks byte by byte", "half a head"])
@pytest.mark.parametrize("role", ["gateway", "sidecar"])
def test_a_crowd_at_the_address_for_metrics_does_not_stop_it(fleet, role, kind):
    box = {"gateway": fleet.gateways[0], "sidecar": fleet.sidecars[0]}[role]
    with Crowd(target(box, "metrics", count=8), PLANS[kind]) as crowd:
        crowd.send()
        wait_for(lambda: "threadramp_events" in box.metrics(), "metrics are answered")
        assert_within_limits(box)


@pytest.mark.parametrize("port", ["ready", "metrics"])
def test_connections_at_other_addresses_stay_within_the_descriptors(fleet, port):
    gateway = fleet.gateways[0]
    with Crowd(target(gateway, port, count=2 * MAX_FDS), PLANS["half a head"]) as crowd:
        crowd.send()
        wait_for(lambda: gateway.ready() == 200, "it reports that it is ready")
        wait_for(lambda: "threadramp_events" in gateway.metrics(), "metrics are answered")
        assert_served(fleet)
        assert_within_limits(gateway)


def test_a_body_of_the_largest_size_is_served_in_calm(fleet):
    assert_served(fleet, b"x" * BODY_BYTES)
    assert_within_limits(fleet.gateways[0])


# Callers that had stopped kept the memory, and one that went on sending was refused for them.
@pytest.mark.parametrize("kind", ["body one byte short", "chunked body one byte short"])
def test_a_large_body_that_arrives_is_served_amid_bodies_that_stopped(fleet, kind):
    gateway = fleet.gateways[0]
    with Crowd(target(gateway), PLANS[kind]) as crowd:
        crowd.send()
        assert_served(fleet, b"x" * BODY_BYTES)
        assert_within_limits(gateway)


# Parts of lots are held several times while they are read and stored.
def test_whole_lots_at_once_stay_within_the_memory(fleet):
    gateway = fleet.gateways[0]
    wanted = [whole_lot(fleet, f"lot{number}") for number in range(24)]
    with Crowd(target(gateway, count=0), PLANS["nothing"]) as crowd:
        statuses = crowd.send_each((gateway.ip, PORTS["front"]), wanted)
        assert statuses.count(202) >= 1
        assert set(statuses) <= {202, 503, 0}
        assert_served(fleet)
        assert_within_limits(gateway)
    assert_served(fleet)


# Each sample takes some kilobytes of memory, whatever few bytes of the body it has.
def test_lots_of_many_small_samples_stay_within_the_memory(fleet):
    gateway = fleet.gateways[0]
    rows = ",".join(f'{{"id":"s{number}","path":"/lots/"}}' for number in range(120_000))
    wanted = [request_of(f"lot{number}", f'{{"requests":[{rows}]}}'.encode()) for number in (1, 2)]
    with Crowd(target(gateway, count=0), PLANS["nothing"]) as crowd:
        assert set(crowd.send_each((gateway.ip, PORTS["front"]), wanted)) <= {202, 413, 503, 0}
        assert_served(fleet)
        assert_within_limits(gateway)


def whole_lot(fleet, lot_id: str) -> bytes:
    """Return a request that submits a lot of nearly the largest size."""
    lot = msgspec.json.decode(fleet.lot(lot_id))
    for request in lot["requests"]:
        request["body"] = encoded(b"x" * 450_000)
    return request_of(lot_id, msgspec.json.encode(lot))


def request_of(lot_id: str, body: bytes) -> bytes:
    """Return a request that submits a lot with this body."""
    head = f"POST /lots/{lot_id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {lot_id}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
