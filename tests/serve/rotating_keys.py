"""Rotates API keys during a soak test and checks how calls with them were handled."""

from __future__ import annotations

import itertools
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from tests.serve.fleet import CALLS, USAGE_REPORT_DELAY_S, WaitTimeoutError, bearer, wait_for

if TYPE_CHECKING:
    import threading

    from tests.serve.fleet import PlatformFleet

STABLE, ROTATING = "acme", "rival"
STABLE_KEY = "acme-key-that-always-holds"
ROTATION_INTERVAL_S = 0.8
# Limit for a key change to take effect after the faults are healed. It allows for a busy machine;
# the platform's own bound is 3 s.
PROPAGATION_TIMEOUT_S = 10.0


class RotatingKeys:
    """The keys of two organisations: one key that is always valid, one that is replaced often."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.versions = itertools.count(4)
        self.keys: list[str] = []
        self.sent: dict[str, str] = {}
        self.rotate()

    def rotate_until(self, stopped: threading.Event) -> None:
        """Replace the rotating key by a new one at intervals, until the event is set."""
        while not stopped.wait(ROTATION_INTERVAL_S):
            self.rotate()

    def header(self, request: str) -> dict[str, str]:
        """Return the header of a call and record its key.

        Each third call has the rotating key: the current one or, in each ninth call, the first one,
        which the first rotation revokes.
        """
        number = int(request.removeprefix("call"))
        key = self.keys[0 if number % 9 == 0 else -1] if number % 3 == 0 else STABLE_KEY
        self.sent[request] = key
        return bearer(key)

    def has_stable_key(self, request: str) -> bool:
        """Return whether a call was sent with the stable key."""
        return self.sent[request] == STABLE_KEY

    def find_violations(self) -> list[str]:
        """Return the violations found once all faults are healed."""
        found = [*self._wrong_statuses(), *self._wrong_organisations(), *self._forwarded_keys()]
        return [*found, *self._missing_windows()]

    def rotate(self) -> None:
        """Put a configuration with a new key in force."""
        version = next(self.versions)
        self.keys.append(f"rival-key-{version:08d}-turns")
        names = {STABLE: (STABLE_KEY,), ROTATING: (self.keys[-1],)}
        self.fleet.configure(version=version, organisations=names)

    def _wrong_statuses(self) -> list[str]:
        """Return which gateways accept a revoked key or refuse the current one."""
        wanted = {self.keys[-1]: 200, self.keys[-2]: 401, self.keys[0]: 401}
        return [
            f"{gateway.name}: calls with {key} never got status {status}"
            for gateway in self.fleet.gateways
            for key, status in wanted.items()
            if not self._gets_status(gateway, key, status)
        ]

    def _gets_status(self, gateway, key: str, status: int) -> bool:
        with suppress(WaitTimeoutError):
            wait_for(lambda: self._status(gateway, key) == status, key, PROPAGATION_TIMEOUT_S)
            return True
        return False

    def _status(self, gateway, key: str) -> int:
        name = f"check{time.monotonic()}"
        return gateway.call("POST", "/x", host=CALLS, X_Attempt_Id=name, **bearer(key)).status

    def _wrong_organisations(self) -> list[str]:
        """Return the runs attributed to another organisation than the owner of their key."""
        names = {STABLE_KEY: STABLE} | dict.fromkeys(self.keys, ROTATING)
        wrong = [
            f"{run['id']}: attributed to {run['tenant']}"
            for run in self.fleet.callee.runs
            if run["id"] in self.sent and run["tenant"] != names[self.sent[run["id"]]]
        ]
        samples = [run for engine in self.fleet.engines for run in engine.runs]
        return wrong + [
            f"{run['id']}: attributed to {run['tenant']}"
            for run in samples
            if run["tenant"] != STABLE
        ]

    def _forwarded_keys(self) -> list[str]:
        """Return the runs whose endpoint received an API key."""
        runs = [run for standin in (*self.fleet.engines, self.fleet.callee) for run in standin.runs]
        return [
            f"{run['id']}: the API key was forwarded to the endpoint"
            for run in runs
            if "-key-" in repr(run["headers"])
        ]

    def _missing_windows(self) -> list[str]:
        """Return the windows whose usage report is missing.

        Waits first for the report of the window that ended last, which is due only after a delay.
        """
        last = int(time.time() // self.fleet.window_s) - 1
        with suppress(WaitTimeoutError):
            wait_for(
                lambda: max(self._reported(), default=0) >= last,
                "the usage report of the last window",
                USAGE_REPORT_DELAY_S,
            )
        reported = self._reported()
        if not reported:
            return ["no usage window was reported"]
        missing = set(range(min(reported), last + 1)) - reported
        return [f"window {window} was not reported" for window in sorted(missing)]

    def _reported(self) -> set[int]:
        return {row["window"] for row in self.fleet.cloud.taken if row["duty"] == "usage"}


__all__ = ["STABLE_KEY", "RotatingKeys"]
