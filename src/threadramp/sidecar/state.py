"""The sidecar's shared state: its core behind one lock, and the calls that wait for a slot."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.report.metrics import Metrics
from threadramp.sidecar.engine import EngineClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.core.sidecar import SidecarCore


class SidecarState:
    """What the threads of one sidecar share.

    :ivar lock: held around every call of the core
    :ivar work: notified when a rollout may be able to start or a key's run has ended
    """

    def __init__(self, core: SidecarCore) -> None:
        self.core = core
        self.engine = EngineClient(core.settings.endpoint_address)
        self.metrics = Metrics("threadramp_sidecar")
        self.lock = threading.RLock()
        self.work = threading.Condition(self.lock)
        self.admitted: dict[str, threading.Event] = {}

    def admit(self, calls: Iterable[str]) -> None:
        """Wake the calls that got a slot; the lock is held."""
        for call in calls:
            event = self.admitted.get(call)
            if event is not None:
                event.set()
        self.work.notify_all()


def now() -> float:
    """Return seconds that only rise, also while the process is stopped or its box suspended."""
    return steady_s()


__all__ = ["SidecarState", "now"]
