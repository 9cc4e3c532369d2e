"""A fleet whose engines stand behind fronts that reframe, cut and repeat responses."""

from __future__ import annotations

import socket
import subprocess
import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING

from tests.serve.fleet import PlatformFleet, is_engine
from threadramp.platform.standins import framing
from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.framing import FramingFront, ResponseFaults

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

    from threadramp.standins.server import StandIn


def is_work(request_id: str, target: str) -> bool:
    """Return whether a request is a sample or a call, not a report or an order."""
    return bool(request_id) and "/threadramp/" not in target


class FrontProcess:
    """A process before an engine that takes the length off its streams, until it is killed."""

    def __init__(self, behind: str, framed: str = "close") -> None:
        self.behind = behind
        self.framed = framed
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = "127.0.0.1:{1}".format(*free.getsockname())
        self.process = None
        self.start()

    def start(self) -> None:
        """Start it, at the address that it always had."""
        command = [sys.executable, "-m", framing.__name__, self.address, self.behind, self.framed]
        self.process = subprocess.Popen(command)

    def kill(self) -> None:
        """Kill it with SIGKILL; its kernel ends the open connections."""
        self.process.kill()
        self.process.wait()

    def close(self) -> None:
        """End it for good."""
        self.kill()


class FramingFleet(PlatformFleet):
    """A fleet behind fronts: one in front of each engine, and one in front of the callee.

    :param hosted: engines without a sidecar, beside those that have one
    :param are_processes: whether the fronts of the engines are processes of their own
    """

    def __init__(
        self,
        folder: Path,
        serve: Callable[[StandIn], str],
        engines: int = 2,
        hosted: int = 0,
        events: int = 5,
        gap_s: float = 0.01,
        are_processes: bool = False,
    ) -> None:
        self.fronts: list[FramingFront] = []
        self.processes: list[FrontProcess] = []
        self.callee_fronts: list[FramingFront] = []

        def behind_front(standin: StandIn, *listen: str) -> str:
            address = serve(standin, *listen)
            if not isinstance(standin, PlatformEngine):
                return address
            row: list = self.fronts if is_engine(standin) else self.callee_fronts
            if is_engine(standin) and are_processes:
                row = self.processes
            row.append(FrontProcess(address) if row is self.processes else FramingFront(address))
            return row[-1].address

        super().__init__(folder, behind_front, engines=engines + hosted)
        self.events = events
        without = self.sidecars[engines:]
        self.sidecars = self.sidecars[:engines]
        self.boxes = [box for box in self.boxes if box not in without]
        for engine in self.engines:
            engine.faults.update(events=events, gap_s=gap_s, marked=True)

    def play(self, faults: ResponseFaults) -> None:
        """Let the fronts of all engines draw from these faults."""
        for front in self.fronts:
            front.faults = faults

    def close(self) -> None:
        """End all processes and fronts."""
        super().close()
        for front in (*self.fronts, *self.callee_fronts, *self.processes):
            front.close()


@contextmanager
def framing_fleet(folder: Path, serve: Callable, **more) -> Iterator[FramingFleet]:
    """Start a fleet behind fronts.

    :param more: arguments of the fleet
    """
    fleet = FramingFleet(folder, serve, **more)
    try:  # a failed setup must not leave processes behind either
        fleet.start()
        yield fleet
    finally:
        fleet.close()


__all__ = ["FramingFleet", "FrontProcess", "framing_fleet", "is_work"]
