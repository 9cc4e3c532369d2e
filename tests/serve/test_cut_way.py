"""A partitioned proxy: which delayed data it delivers after the partition, and when."""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress
from random import Random

import pytest

from tests.serve.partitionable_proxy import PartitionableProxy, retransmission_delay_s

RESET = struct.pack("ii", 1, 0)
MIN_RETRANSMISSION_S = 0.15
PARTITION_S = 0.3
DELIVERY_S = 1.5


@pytest.fixture
def ends():
    """A connection through a proxy: the proxy, the caller's socket and the listener behind it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(DELIVERY_S)
        host, port = listener.getsockname()
        way = PartitionableProxy(f"{host}:{port}")
        way_host, _, way_port = way.address.partition(":")
        with socket.create_connection((way_host, int(way_port))) as caller:
            yield way, caller, listener
        way.close()


def receive(sock: socket.socket, seconds: float) -> bytes:
    sock.settimeout(seconds)
    try:
        return sock.recv(100)
    except TimeoutError:
        return b""


def pass_first(caller: socket.socket, listener: socket.socket) -> socket.socket:
    """Send data, so that the proxy knows the connection; return the other end."""
    caller.sendall(b"first")
    behind, _ = listener.accept()
    assert receive(behind, DELIVERY_S) == b"first"
    return behind


def test_data_sent_meanwhile_arrives_after_the_partition_like_a_retransmission(ends):
    way, caller, listener = ends
    with pass_first(caller, listener) as behind:
        way.partition(1.0, 1.0, Random(1))
        caller.sendall(b"second")
        assert receive(behind, PARTITION_S) == b""
        healed_at = time.monotonic()
        way.heal()
        assert receive(behind, DELIVERY_S) == b"second"
        assert time.monotonic() - healed_at > MIN_RETRANSMISSION_S
        assert len(way.healed_at) == 1


def test_it_also_arrives_if_the_connection_was_closed_meanwhile(ends):
    way, caller, listener = ends
    with pass_first(caller, listener) as behind:
        way.partition(1.0, 1.0, Random(1))
        caller.sendall(b"second")
        caller.close()
        assert receive(behind, PARTITION_S) == b""
        way.heal()
        assert receive(behind, DELIVERY_S) == b"second"


def test_nothing_arrives_from_a_connection_that_was_reset_meanwhile(ends):
    way, caller, listener = ends
    with pass_first(caller, listener) as behind:
        way.partition(1.0, 1.0, Random(1))
        caller.sendall(b"second")
        assert receive(behind, PARTITION_S) == b""
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        caller.close()
        way.heal()
        # The proxy's other direction may end first, and then closes the connection regularly.
        with suppress(ConnectionResetError):
            assert receive(behind, DELIVERY_S) == b""


@pytest.mark.parametrize(("share_of_new", "expected"), [(0.0, b"first"), (1.0, b"")])
def test_a_share_of_new_connections_works(ends, share_of_new, expected):
    way, caller, listener = ends
    way.partition(0.0, share_of_new, Random(1))
    host, _, port = way.address.partition(":")
    with socket.create_connection((host, int(port))) as one:
        one.sendall(b"first")
        behind = [listener.accept()[0] for _ in range(2)][1]
        with behind:
            assert receive(behind, PARTITION_S) == expected


@pytest.mark.parametrize(
    ("held_s", "after_s"), [(0.1, 0.2), (0.3, 0.6), (0.7, 1.4), (2.0, 3.0), (5.0, 6.2)]
)
def test_the_retransmission_delay_doubles(held_s, after_s):
    assert retransmission_delay_s(held_s) == pytest.approx(after_s)
