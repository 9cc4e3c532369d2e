"""A TCP proxy that simulates a network partition, after which delayed bytes still arrive.

Bytes sent during a partition stay in the sender's kernel, which retransmits them with exponential
backoff. They therefore arrive some time after the partition heals, even if the sender has closed
the connection by then; nothing arrives on a connection that was reset.
"""

from __future__ import annotations

import threading
import time
from random import Random
from typing import TYPE_CHECKING

from tests.serve.tcp_proxy import TcpProxy, raise_if_reset

if TYPE_CHECKING:
    import socket

FIRST_RETRANSMISSION_S = 0.2  # the kernel doubles this timeout after each retransmission


class PartitionableProxy(TcpProxy):
    """A proxy that can partition some connections, each in one or both directions."""

    def __init__(self, target: str, listen: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        super().__init__(target, listen)
        self.changed = threading.Condition()
        self.random = Random()
        self.new_share = 0.0
        self.is_partitioned = False
        self.known: set[socket.socket] = set()
        self.held: set[socket.socket] = set()
        self.healed_at: list[float] = []

    def partition(self, share: float, new_share: float, random: Random) -> None:
        """Hold what is sent on some connections until ``heal``.

        :param share: of the open connections that is held, drawn for each direction
        :param new_share: of the connections opened during the partition that is held
        """
        with self.changed:
            self.random = random
            self.new_share = new_share
            self.known = set(self.sockets)
            self.held = {end for end in self.known if random.random() < share}
            self.is_partitioned = True

    def heal(self) -> None:
        """End the partition; each held chunk is forwarded at its next retransmission."""
        with self.changed:
            if self.is_partitioned:
                self.healed_at.append(time.monotonic())
            self.is_partitioned = False
            self.held.clear()
            self.changed.notify_all()

    def close(self) -> None:
        """Heal the partition, reset all connections and stop listening."""
        self.heal()
        super().close()

    def _wait_while_held(self, source: socket.socket, chunk: bytes) -> None:
        super()._wait_while_held(source, chunk)
        since = time.monotonic()
        with self.changed:
            if not self._is_held(source):
                return
            self.changed.wait_for(lambda: source not in self.held)
        held_s = time.monotonic() - since
        time.sleep(retransmission_delay_s(held_s) - held_s)
        raise_if_reset(source)

    def _is_held(self, source: socket.socket) -> bool:
        if self.is_partitioned and source not in self.known:
            self.known.add(source)
            if self.random.random() < self.new_share:
                self.held.add(source)
        return source in self.held


def retransmission_delay_s(held_s: float) -> float:
    """Return when the kernel first retransmits after a partition, counted from the first send.

    :param held_s: how long the bytes could not be delivered
    """
    timeout_s = delay_s = FIRST_RETRANSMISSION_S
    while delay_s < held_s:
        timeout_s *= 2
        delay_s += timeout_s
    return delay_s


__all__ = ["PartitionableProxy", "retransmission_delay_s"]
