"""Crowds of clients at the own interface of a gateway and of a sidecar.

Whatever they send, the process lives within its memory, and an ordinary request is answered while
their connections stay open.
"""

from __future__ import annotations

import socket
import time
from contextlib import closing
from typing import TYPE_CHECKING

import msgspec
import pytest
from tools.fleet import CALLER_TOKEN, FLEET_KEY, EndpointPlan, Fleet, wait_for

from tests.crowds.clients import PLANS, Crowd, Target, open_descriptors, peak_bytes
from tests.scenarios.world import BANK
from threadramp.wire.seal import Seal

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_MEMORY_BYTES = 256_000_000
BODY_BYTES = 4_194_304
THREADS = 96
MAX_CONNECTIONS = 1_024
OTHER_DESCRIPTORS = 128
GATEWAY = "gateway-0"
SIDECAR = "sidecar-bank-0"
LARGE = [
    "body one byte short",
    "chunked body one byte short",
    "whole body",
    "chunked body with trailers without end",
]
ENDLESS = ["chunk of 4 GB", "chunk size line without end", "body of 10 GB"]
SLOW = ["no body after the head", "body byte by byte", "chunks byte by byte", "half a head"]


@pytest.fixture
def fleet(tmp_path) -> Iterator[Fleet]:
    with Fleet(tmp_path) as made:
        made.platform()
        made.gateways(1, threads=THREADS)
        made.endpoint(EndpointPlan("bank-0", BANK, "service", sidecar={"threads": THREADS}))
        made.wait_ready()
        yield made


def target(fleet: Fleet, name: str, count: int) -> Target:
    host, _, port = fleet.addresses[name].partition(":")
    path = f"/v1/call/{BANK}/transfers"
    token = Seal(FLEET_KEY).token if name == SIDECAR else CALLER_TOKEN
    fields = f"Authorization: Bearer {token}\r\n"
    return Target((host, int(port)), "h", path, fields, BODY_BYTES, count)


def assert_withstands(fleet: Fleet, name: str, kind: str, count: int) -> None:
    process = fleet.processes[name]
    with Crowd(target(fleet, name, count), PLANS[kind]) as crowd:
        crowd.send()
        assert process.is_running
        assert is_answered(fleet, name)
        assert peak_bytes(process.popen.pid) < MAX_MEMORY_BYTES
        assert open_descriptors(process.popen.pid) <= MAX_CONNECTIONS + OTHER_DESCRIPTORS
    assert is_answered(fleet, name)


def is_answered(fleet: Fleet, name: str) -> bool:
    """Return whether an ordinary request is answered; it may be sent again if it is not."""
    try:
        return bool(wait_for(lambda: fleet._answers(fleet.probes[name]), f"{name} answers"))
    except TimeoutError:
        return False


# A body that did not arrive with its head is awaited without a thread, and served.
@pytest.mark.parametrize("count", [0, 100])
def test_a_body_that_arrives_late_is_served(fleet, count):
    host, _, port = fleet.addresses[GATEWAY].partition(":")
    body = msgspec.json.encode({"pool": BANK})
    with (
        Crowd(target(fleet, GATEWAY, count), PLANS["body one byte short"]) as crowd,
        closing(socket.create_connection((host, int(port)), timeout=30.0)) as caller,
    ):
        crowd.send()
        caller.sendall(
            f"POST /v1/tickets HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {CALLER_TOKEN}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
        )
        time.sleep(0.3)
        caller.sendall(body[:5])
        time.sleep(0.3)
        caller.sendall(body[5:])
        found = b""
        while b"no_endpoint" not in found:  # since the pool has no endpoint in service
            piece = caller.recv(4096)
            assert piece, found
            found += piece


@pytest.mark.parametrize("kind", LARGE)
@pytest.mark.parametrize("name", [GATEWAY, SIDECAR])
def test_large_bodies_stay_within_the_memory(fleet, name, kind):
    assert_withstands(fleet, name, kind, 100)


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("name", [GATEWAY, SIDECAR])
def test_lines_and_chunks_without_end_stay_within_the_memory(fleet, name, kind):
    assert_withstands(fleet, name, kind, 2)


@pytest.mark.parametrize("kind", SLOW)
@pytest.mark.parametrize("name", [GATEWAY, SIDECAR])
def test_callers_that_send_slowly_hold_no_thread(fleet, name, kind):
    assert_withstands(fleet, name, kind, 2 * THREADS)


@pytest.mark.parametrize("kind", ["nothing", "half a head"])
def test_open_connections_stay_within_the_descriptors(fleet, kind):
    assert_withstands(fleet, GATEWAY, kind, 2 * MAX_CONNECTIONS)
