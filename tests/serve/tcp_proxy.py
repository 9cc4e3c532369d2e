"""A TCP proxy in front of the store or an endpoint, with connection faults for tests."""

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

CHUNK_BYTES = 65_536


ProxyT = TypeVar("ProxyT", bound="TcpProxy")


class TcpProxy:
    """Forwards TCP connections to an address; while it is blocked, connections are reset.

    A blackholed connection drops everything that is sent on it, and neither peer is told when the
    other one closes.

    :param listen: address at which it listens, by default at a free port
    """

    def __init__(self, target: str, listen: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        host, _, port = target.partition(":")
        self.target = (host, int(port))
        self.is_open = True
        self.refused = 0  # connections reset because the proxy was blocked
        self.sockets: set[socket.socket] = set()
        self.blackholed: set[socket.socket] = set()
        self.last_forwarded_at: dict[socket.socket, float] = {}
        self.released = threading.Event()
        self.hold_pattern = b""
        self.is_holding = False
        self.listener = socket.create_server(listen)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the ``host:port`` on which the proxy listens."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    def block(self) -> None:
        """Reset all open connections, and every new one until ``unblock``."""
        self.is_open = False
        for connection in list(self.sockets):
            _reset(connection)

    def blackhole(self, idle_s: float = 0.0) -> None:
        """Drop what is sent on the connections open now, for good; new connections work.

        :param idle_s: affect only connections that forwarded nothing for this time
        """
        idle_since = time.monotonic() - idle_s
        self.blackholed |= {
            end for end in self.sockets if self.last_forwarded_at.get(end, 0.0) <= idle_since
        }

    def hold_matching(self, pattern: bytes) -> None:
        """Hold the next chunk that contains a pattern until ``release``, as a partition would.

        On a partitioned network the bytes stay in the send buffer of the sender's kernel, even
        after the sender has exited; they are dropped if the sender reset its connection.
        """
        self.hold_pattern = pattern
        self.released.clear()

    def release(self) -> None:
        """Forward the held chunk, even if its connection was closed meanwhile."""
        self.released.set()

    def unblock(self) -> None:
        """Forward new connections again."""
        self.is_open = True

    def close(self) -> None:
        """Reset all connections and stop listening."""
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
        with suppress(OSError):  # one of the two peers disconnected
            target = socket.create_connection(self.target)
            self.sockets |= {caller, target}
            threading.Thread(target=self._forward, args=(target, caller), daemon=True).start()
            self._forward(caller, target)

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        was_reset = False
        try:
            while chunk := source.recv(CHUNK_BYTES):
                self._wait_while_held(source, chunk)
                if source not in self.blackholed:
                    self.last_forwarded_at[source] = self.last_forwarded_at[target] = (
                        time.monotonic()
                    )
                    target.sendall(chunk)
            self._wait_while_held(source, b"")
        except ConnectionResetError:
            was_reset = True
        except OSError:  # one of the two peers disconnected
            pass
        if source in self.blackholed:
            return
        for end in (source, target):
            if was_reset:  # a regular close would make a cut response look complete
                _reset(end)
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
        self.sockets -= {source, target}

    def _wait_while_held(self, source: socket.socket, chunk: bytes) -> None:
        """Block while a chunk is to be held.

        :param chunk: empty for the end of the connection
        :raises ConnectionResetError: if the sender reset the connection meanwhile
        """
        if not self.hold_pattern or self.hold_pattern not in chunk:
            return
        self.hold_pattern = b""
        self.is_holding = True
        self.released.wait()
        self.is_holding = False
        raise_if_reset(source)


def raise_if_reset(source: socket.socket) -> None:
    """Check whether the sender reset its connection while its bytes were held.

    :raises ConnectionResetError: if it did; its kernel has then dropped the unsent bytes
    """
    error = source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise ConnectionResetError(error, "connection reset by the sender: held bytes are dropped")


def proxy_store(box: Box, store_address: str, kind: type[ProxyT] = TcpProxy) -> ProxyT:
    """Route the store traffic of a process that has not started yet through a proxy."""
    proxy = kind(store_address)
    box.settings["provider"]["address"] = proxy.address
    box.write()
    return proxy


def serve_behind_proxy(
    serve: Callable[[StandIn], str],
    proxies: list[ProxyT],
    is_proxied: Callable[[StandIn], bool],
    kind: type[ProxyT] = TcpProxy,
) -> Callable[[StandIn], str]:
    """Wrap ``serve`` so that the selected stand-ins are served behind a proxy.

    :param proxies: list to which the created proxies are appended
    :param is_proxied: whether a stand-in is to be served behind a proxy
    :param kind: class of the proxies
    """

    def start(standin: StandIn) -> str:
        address = serve(standin)
        if not is_proxied(standin):
            return address
        proxies.append(kind(address))
        return proxies[-1].address

    return start


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        # Wakes a thread that reads from it and would keep it open; no FIN goes before the reset.
        connection.shutdown(socket.SHUT_RD)
    connection.close()


__all__ = ["TcpProxy", "proxy_store", "raise_if_reset", "serve_behind_proxy"]
