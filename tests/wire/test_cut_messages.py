"""Replies between processes whose connection ends after each of their bytes."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.cutting import RESET, End
from threadramp.wire.messages import KeyAnswer, KeyQuery
from threadramp.wire.packing import Packing
from threadramp.wire.sync import SyncClient

if TYPE_CHECKING:
    from collections.abc import Iterator

# The transport of scalability protocols over TCP: a header of 8 bytes each, then messages behind
# their size; a reply begins with the id of its request.
REPLIER = b"\0SP\0\0\x31\0\0"
HEADER_BYTES = 8
ID_BYTES = 4
REPLY = KeyAnswer("incarnation", "running")
REPLY_BYTES = HEADER_BYTES + ID_BYTES + len(Packing().wrap(msgspec.msgpack.encode(REPLY)))
TIME_S = 0.25
MAX_BYTES = 65_536


class CuttingReplier:
    """Answers the first request on a connection up to a byte, and ends the connection."""

    def __init__(self) -> None:
        self.after = 0
        self.end = End.CLOSE
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self.listener.close()

    def _accept(self) -> None:
        with suppress(OSError):  # the listener was closed
            while True:
                caller, _ = self.listener.accept()
                with suppress(OSError, struct.error), caller:
                    self._serve(caller)

    def _serve(self, caller: socket.socket) -> None:
        caller.sendall(REPLIER)
        caller.recv(HEADER_BYTES, socket.MSG_WAITALL)
        (size,) = struct.unpack("!Q", caller.recv(8, socket.MSG_WAITALL))
        named = caller.recv(size, socket.MSG_WAITALL)[:ID_BYTES]
        message = named + Packing().wrap(msgspec.msgpack.encode(REPLY))
        caller.sendall((struct.pack("!Q", len(message)) + message)[: self.after])
        if self.end is End.RESET:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


@pytest.fixture
def replier() -> Iterator[CuttingReplier]:
    made = CuttingReplier()
    yield made
    made.close()


def ask(replier: CuttingReplier) -> object:
    host, port = replier.listener.getsockname()
    client = SyncClient(Packing())
    try:
        return client.ask(f"{host}:{port}", KeyQuery("key"), TIME_S)
    finally:
        client.close()


@pytest.mark.parametrize("end", list(End))
def test_reply_that_is_cut_is_none(replier, end):
    """A part of a reply must not be decoded: its last fields have defaults."""
    replier.end = end
    found = []
    for replier.after in range(REPLY_BYTES):
        found.append(ask(replier))
    assert found == [None] * REPLY_BYTES


def test_whole_reply_is_read(replier):
    replier.after = REPLY_BYTES
    assert ask(replier) == REPLY
