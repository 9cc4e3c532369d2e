"""Sockets whose undelivered bytes the kernel drops."""

from __future__ import annotations

import socket
import struct

import pytest

from threadramp.wire.late_bytes import TooLateError, body_in_time, drop_what_is_late


@pytest.fixture
def connected():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    with sender, receiver:
        yield sender, receiver


def test_a_close_resets_the_connection(connected):
    """A regular close delivers what is queued in the kernel, however late."""
    sender, receiver = connected
    drop_what_is_late(sender, 0.3)
    sender.close()
    with pytest.raises(ConnectionResetError):
        receiver.recv(1)


def test_the_kernel_drops_undelivered_bytes_after_the_time(connected):
    sender, _ = connected
    drop_what_is_late(sender, 0.3)
    assert sender.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == 300
    linger = sender.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert struct.unpack("ii", linger) == (1, 0)


def test_a_socket_that_rejects_the_options_is_logged(connected, monkeypatch):
    sender, _ = connected
    logged = []
    monkeypatch.setattr(
        "threadramp.wire.late_bytes.log_state", lambda *row, **_: logged.append(row)
    )
    sender.close()
    drop_what_is_late(sender, 0.3)
    assert logged == [("late_bytes_not_dropped",)]


def test_the_check_is_repeated_right_before_the_body_is_sent():
    """A process that was paused after the first check sent an order that was too late."""
    answers = [True, False]
    pieces = body_in_time(b"order", lambda: answers.pop(0))
    with pytest.raises(TooLateError):
        next(pieces)


def test_nothing_is_sent_if_the_first_check_fails():
    with pytest.raises(TooLateError):
        body_in_time(b"order", lambda: False)


def test_a_body_in_time_is_sent_completely():
    assert b"".join(body_in_time(b"order", lambda: True)) == b"order"
