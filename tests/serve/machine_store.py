"""The store as each machine reaches it: through a proxy of its own, and with faults of its own."""

from __future__ import annotations

import socket
import threading
import time
from enum import Enum
from typing import TYPE_CHECKING, Any

from tests.serve.partitionable_proxy import PartitionableProxy
from threadramp.standins.server import Response, StandIn

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.serve.fleet import Box
    from threadramp.platform.standins.store import PlatformStore
    from threadramp.standins.server import Request

WRITE = "kv-txn"
PORT = 7790  # of each machine; while it is closed no other process may get it
LATE_S = 0.9  # after which a late write is done
SILENCE_S = 1.5  # longer than a call to the store waits for its response


class Fate(Enum):
    """What becomes of a write."""

    PASS = "passed on"
    LOSE = "done, its response lost"
    DROP = "lost before it was done"
    LATE = "done late, without a response"
    REJECT = "rejected with 503"
    REFUSE = "lost before it was done, and connections refused from then on"


class MachineProxy(PartitionableProxy):
    """A proxy whose port can be closed: its connections are reset and new ones are refused."""

    def close_port(self) -> None:
        """Refuse new connections, and reset the open ones."""
        with self.changed:
            listener, self.port = self.listener, self.listener.getsockname()
            listener.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
            listener.close()
        self.block()

    def open_port(self) -> None:
        """Listen again at the same port."""
        with self.changed:
            if self.listener.fileno() >= 0:
                return
            self.listener = socket.create_server(self.port)
        self.unblock()
        threading.Thread(target=self._accept, daemon=True).start()


class MachineStore(StandIn):
    """Passes the calls of one machine on to the store; some writes get a fate of their own.

    :param decide: chooses the fate of a write, given the machine's name and the keys written
    :ivar is_rejected: whether the store rejects all calls of this machine with 503
    :ivar on_fate: told of a write once its fate is sealed, before the response is sent
    """

    def __init__(self, box: Box, store: PlatformStore) -> None:
        super().__init__({})
        self.machine = box.name
        self.store = store
        self.is_rejected = False
        self.decide: Callable[[str, list[str]], Fate] = lambda machine, keys: Fate.PASS
        self.on_fate: Callable[[str, list[str], Fate], None] = lambda machine, keys, fate: None
        self.proxy: MachineProxy | None = None

    def answer(self, request: Request) -> Response:
        """Answer a call."""
        if self.is_rejected:
            return Response(503)
        if request.path[-1] != WRITE:
            return self.store._dispatch(request)
        keys = [put["key"] for put in request.json().get("puts", [])]
        fate = self.decide(self.machine, keys)
        response = self._carry_out(fate, request)
        self.on_fate(self.machine, keys, fate)
        return response

    def _carry_out(self, fate: Fate, request: Request) -> Response:
        if fate is Fate.PASS:
            return self.store._dispatch(request)
        if fate is Fate.REJECT:
            return Response(503)
        if fate is Fate.REFUSE:
            self.proxy.close_port()
        elif fate is Fate.LOSE:
            self.store._dispatch(request)
        elif fate is Fate.LATE:
            threading.Timer(LATE_S, self.store._dispatch, (request,)).start()
            time.sleep(SILENCE_S)
        return Response(200, b"", cut=True)


def serve_to_machine(box: Box, store: PlatformStore, serve: Callable[..., Any]) -> MachineStore:
    """Give a machine whose process has not started yet a store of its own."""
    standin = MachineStore(box, store)
    standin.proxy = MachineProxy(serve(standin), (box.ip, PORT))
    box.settings["provider"]["address"] = standin.proxy.address
    box.write()
    return standin


__all__ = ["Fate", "MachineProxy", "MachineStore", "serve_to_machine"]
