"""What lies on a way that is cut, and when it comes."""

from __future__ import annotations

import socket
import struct
import time
from random import Random

import pytest

from tests.serve.partitionable_proxy import PartitionableProxy, retransmission_delay_s

RESET = struct.pack("ii", 1, 0)
SOON_S = 0.15
CUT_S = 0.3
COMES_S = 1.5


@pytest.fixture
def ends():
    """A connection through a way: its way, its caller's end and the listener behind the way."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(COMES_S)
        host, port = listener.getsockname()
        way = PartitionableProxy(f"{host}:{port}")
        way_host, _, way_port = way.address.partition(":")
        with socket.create_connection((way_host, int(way_port))) as caller:
            yield way, caller, listener
        way.close()


def received(one: socket.socket, seconds: float) -> bytes:
    one.settimeout(seconds)
    try:
        return one.recv(100)
    except TimeoutError:
        return b""


def pass_first(caller: socket.socket, listener: socket.socket) -> socket.socket:
    """Let something pass, so that the way knows the connection; returns the other end."""
    caller.sendall(b"first")
    behind, _ = listener.accept()
    assert received(behind, COMES_S) == b"first"
    return behind


def test_what_is_sent_meanwhile_comes_after_the_mend_as_a_kernel_sends_it_again(ends):
    way, caller, listener = ends
    with pass_first(caller, listener) as behind:
        way.partition(1.0, 1.0, Random(1))
        caller.sendall(b"second")
        assert received(behind, CUT_S) == b""
        mended_at = time.monotonic()
        way.heal()
        assert received(behind, COMES_S) == b"second"
        assert time.monotonic() - mended_at > SOON_S
        assert len(way.healed_at) == 1


def test_it_comes_also_where_the_connection_was_closed_meanwhile(ends):
    way, caller, listener = ends
    with pass_first(caller, listener) as behind:
        way.partition(1.0, 1.0, Random(1))
        caller.sendall(b"second")
        caller.close()
        assert received(behind, CUT_S) == b""
        way.heal()
        assert received(behind, COMES_S) == b"second"


def test_nothing_comes_of_a_connection_that_was_reset_meanwhile(ends):
    way, caller, listener = ends
    with pass_first(caller, listener) as behind:
        way.partition(1.0, 1.0, Random(1))
        caller.sendall(b"second")
        assert received(behind, CUT_S) == b""
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        caller.close()
        way.heal()
        assert received(behind, COMES_S) == b""


@pytest.mark.parametrize(("share_of_new", "comes"), [(0.0, b"first"), (1.0, b"")])
def test_new_connections_work_or_not(ends, share_of_new, comes):
    way, caller, listener = ends
    way.partition(0.0, share_of_new, Random(1))
    host, _, port = way.address.partition(":")
    with socket.create_connection((host, int(port))) as one:
        one.sendall(b"first")
        behind = [listener.accept()[0] for _ in range(2)][1]
        with behind:
            assert received(behind, CUT_S) == comes


@pytest.mark.parametrize(
    ("held_s", "after_s"), [(0.1, 0.2), (0.3, 0.6), (0.7, 1.4), (2.0, 3.0), (5.0, 6.2)]
)
def test_pauses_double(held_s, after_s):
    assert retransmission_delay_s(held_s) == pytest.approx(after_s)
