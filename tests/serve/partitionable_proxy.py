"""A way on which bytes lie while it is cut, and come late.

What is sent meanwhile lies at its sender, whose kernel sends it again at pauses that double. So it
comes some time after the mend, also if its sender has closed the connection by then; of a
connection that was reset nothing comes any more.
"""

from __future__ import annotations

import threading
import time
from random import Random
from typing import TYPE_CHECKING

from tests.serve.tcp_proxy import TcpProxy, raise_if_reset

if TYPE_CHECKING:
    import socket

FIRST_REPEAT_S = 0.2  # after this the kernel sends once more, then after twice as long each time


class PartitionableProxy(TcpProxy):
    """A way of which some connections can be cut, each in one direction or in both."""

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.changed = threading.Condition()
        self.random = Random()
        self.share_of_new = 0.0
        self.is_cut = False
        self.known: set[socket.socket] = set()
        self.held: set[socket.socket] = set()
        self.healed_at: list[float] = []

    def partition(self, share: float, share_of_new: float, random: Random) -> None:
        """Keep back what is sent, until the way is mended.

        :param share: of what is open, each direction by itself
        :param share_of_new: of what is opened meanwhile
        """
        with self.changed:
            self.random = random
            self.share_of_new = share_of_new
            self.known = set(self.sockets)
            self.held = {one for one in self.known if random.random() < share}
            self.is_cut = True

    def heal(self) -> None:
        """Let come what was kept back, each piece when its kernel sends it again."""
        with self.changed:
            if self.is_cut:
                self.healed_at.append(time.monotonic())
            self.is_cut = False
            self.held.clear()
            self.changed.notify_all()

    def close(self) -> None:
        """End it."""
        self.heal()
        super().close()

    def _wait_while_held(self, source: socket.socket, piece: bytes) -> None:
        super()._wait_while_held(source, piece)
        since = time.monotonic()
        with self.changed:
            if not self._is_held(source):
                return
            self.changed.wait_for(lambda: source not in self.held)
        held_s = time.monotonic() - since
        time.sleep(retransmission_delay_s(held_s) - held_s)
        raise_if_reset(source)

    def _is_held(self, source: socket.socket) -> bool:
        if self.is_cut and source not in self.known:
            self.known.add(source)
            if self.random.random() < self.share_of_new:
                self.held.add(source)
        return source in self.held


def retransmission_delay_s(held_s: float) -> float:
    """Return after how long the kernel sends again what it could not for a time."""
    pause_s = after_s = FIRST_REPEAT_S
    while after_s < held_s:
        pause_s *= 2
        after_s += pause_s
    return after_s


__all__ = ["PartitionableProxy", "retransmission_delay_s"]
