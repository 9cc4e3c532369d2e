"""A way to the store or an endpoint that tests can shut, hold up or let go silent."""

from __future__ import annotations

import socket
import threading
import time
from contextlib import suppress
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.serve.fleet import Box
    from threadramp.standins.server import StandIn

PIECE = 65_536


W = TypeVar("W", bound="TcpProxy")


class TcpProxy:
    """Passes bytes on to an address; while it is shut, connections are reset.

    Connections that went silent pass nothing on any more, and neither end hears of the other's end.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self.target = (host, int(port))
        self.is_open = True
        self.refused = 0  # connections while it was shut
        self.sockets: set[socket.socket] = set()
        self.silent: set[socket.socket] = set()
        self.passed_at: dict[socket.socket, float] = {}
        self.flowing = threading.Event()
        self.hold_word = b""
        self.is_holding = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def block(self) -> None:
        """Reset all connections, and new ones from now on."""
        self.is_open = False
        for one in list(self.sockets):
            _reset(one)

    def blackhole(self, rested_s: float = 0.0) -> None:
        """Let connections that are open now go silent for good; new ones work.

        :param rested_s: only those that passed nothing for so long
        """
        until = time.monotonic() - rested_s
        self.silent |= {one for one in self.sockets if self.passed_at.get(one, 0.0) <= until}

    def hold_matching(self, word: bytes) -> None:
        """Let the next bytes with a word in them lie here until it goes on, as behind a cut.

        What was sent lies in its sender's kernel then, also once the sender has ended; it is
        dropped where the sender reset its connection.
        """
        self.hold_word = word
        self.flowing.clear()

    def release(self) -> None:
        """Pass on what lies here, also of connections that were closed meanwhile."""
        self.flowing.set()

    def unblock(self) -> None:
        """Pass connections on again."""
        self.is_open = True

    def close(self) -> None:
        """End it."""
        self.block()
        self.listener.close()

    def _accept(self) -> None:
        with suppress(OSError):  # the listener was closed
            while True:
                caller, _ = self.listener.accept()
                if self.is_open:
                    threading.Thread(target=self._serve, args=(caller,), daemon=True).start()
                else:
                    self.refused += 1
                    _reset(caller)

    def _serve(self, caller: socket.socket) -> None:
        with suppress(OSError):  # one of the two ends has gone
            target = socket.create_connection(self.target)
            self.sockets |= {caller, target}
            threading.Thread(target=self._pass, args=(target, caller), daemon=True).start()
            self._pass(caller, target)

    def _pass(self, source: socket.socket, target: socket.socket) -> None:
        with suppress(OSError):
            while piece := source.recv(PIECE):
                self._wait_while_held(source, piece)
                if source not in self.silent:
                    self.passed_at[source] = self.passed_at[target] = time.monotonic()
                    target.sendall(piece)
            self._wait_while_held(source, b"")
        if source in self.silent:
            return
        for one in (source, target):
            with suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
        self.sockets -= {source, target}

    def _wait_while_held(self, source: socket.socket, piece: bytes) -> None:
        """Let a piece lie here if it is to, or the end of a connection if it is empty.

        :raises ConnectionResetError: if its sender reset the connection meanwhile
        """
        if not self.hold_word or self.hold_word not in piece:
            return
        self.hold_word = b""
        self.is_holding = True
        self.flowing.wait()
        self.is_holding = False
        raise_if_reset(source)


def raise_if_reset(source: socket.socket) -> None:
    """Look whether a sender reset its connection while its bytes lay here.

    :raises ConnectionResetError: if it did; its kernel has dropped them then
    """
    error = source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise ConnectionResetError(error, "what lay here is dropped")


def proxy_store(box: Box, store_address: str, kind: type[W] = TcpProxy) -> W:
    """Let a process that has not started yet reach the store through a way."""
    way = kind(store_address)
    box.settings["provider"]["address"] = way.address
    box.write()
    return way


def serve_behind_proxy(
    serve: Callable[[StandIn], str],
    made: list[W],
    wanted: Callable[[StandIn], bool],
    kind: type[W] = TcpProxy,
) -> Callable[[StandIn], str]:
    """Return what serves stand-ins as ``serve`` does, those that are wanted behind a way.

    :param made: takes the ways
    """

    def start(standin: StandIn) -> str:
        address = serve(standin)
        if not wanted(standin):
            return address
        made.append(kind(address))
        return made[-1].address

    return start


def _reset(one: socket.socket) -> None:
    with suppress(OSError):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        one.shutdown(socket.SHUT_RDWR)
    one.close()


__all__ = ["TcpProxy", "proxy_store", "raise_if_reset", "serve_behind_proxy"]
