"""The platform's settings file of one process, decoded into our own types.

The file is YAML; fields that are not named here are passed over. It may change with or without a
signal, so that it is read again whenever its time of change differs.
"""

from __future__ import annotations

import math
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from threadramp.config.findings import Finding, FindingsError

SETTINGS_VARIABLE = "THREADRAMP_NODE_FILE"
DEFAULT_PATH = "/etc/threadramp/node.yaml"

_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # the C parser starts ten times faster


@dataclass(frozen=True)
class Bounds:
    """Time bounds of this deployment.

    :param drain_s: a leaving endpoint gets no new work after this many seconds
    :param config_apply_s: a new configuration is in force everywhere after this many seconds
    :param contact_s: after a disturbance of its connections, a box is held to the bounds again
    :param grace_s: seconds between the request to stop and the end of the process
    :param status_s: seconds for which the results of a lot stay readable
    :param holders_apart_s: two boxes may not order an engine in turns within this many seconds
    :param checks_fences: whether endpoints refuse an order with an old fencing number
    :param keys_within_s: a key that was taken away is not let in after this many seconds, also by a
        box that is cut off; infinite where such a box may go on
    :param usage_window_s: length of the windows whose usage is reported
    :param usage_late_s: after a window's end, until its report is due
    :param cold_overage: factor by which the configured rate of a cold endpoint may be exceeded
    :param cold_slack: requests a second that a cold endpoint bears beyond that
    """

    drain_s: float = 2.0
    contact_s: float = 3.0
    grace_s: float = 8.0
    status_s: float = 120.0
    holders_apart_s: float = 3.0
    checks_fences: bool = False
    keys_within_s: float = math.inf
    usage_window_s: float = 5.0
    usage_late_s: float = 10.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    config_apply_s: float = 2.0


@dataclass(frozen=True)
class DutySettings:
    """Where the platform takes the calls that one box at a time makes.

    :param address: ``ip:port``
    :param duties: names of those that it takes
    """

    address: str
    duties: tuple[str, ...] = ()

    @property
    def takes_usage(self) -> bool:
        """Return whether it takes reports of usage."""
        return "usage" in self.duties

    @property
    def takes_scale(self) -> bool:
        """Return whether it takes how many endpoints a pool is to have."""
        return "scale" in self.duties


@dataclass(frozen=True)
class StoreSettings:
    """The platform's store.

    :param address: ``ip:port``
    :param value_bytes: longest value that it takes
    :param lease_min_s: shortest lease that it grants, seconds
    :param reads_per_s: reading calls that it takes from the whole fleet, 0 if that is not told
    """

    address: str
    value_bytes: int = 1_048_576
    lease_min_s: float = 1.0
    reads_per_s: float = 0.0


@dataclass(frozen=True)
class BoxSettings:
    """What one process of ours is told about its box.

    :param name: of the box
    :param callers: ``ip:port`` at which callers reach us, empty if they do not
    :param ready: ``ip:port`` at which readiness is asked for, empty if it is not
    :param peer_port: first of the ports kept free for messages between our processes
    :param endpoint: ``ip:port`` of the endpoint beside us, empty if there is none
    :param pool: pool of that endpoint, empty if there is none
    :param heartbeat_s: seconds between two writes of an endpoint's entry
    :param memory_mb: memory limit of a process
    :param max_fds: descriptors that a process may have open
    :param first_start: whether the whole system starts for the first time
    :param duties: none where the platform takes no such calls
    """

    name: str
    ip: str
    data_centre: str
    store: StoreSettings
    bounds: Bounds
    callers: str = ""
    ready: str = ""
    peer_port: int = 0
    endpoint: str = ""
    pool: str = ""
    heartbeat_s: float = 1.2
    memory_mb: int = 256
    max_fds: int = 4096
    first_start: bool = False
    duties: DutySettings | None = None


def settings_path() -> Path:
    """Return where the platform put the settings file of this process."""
    return Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> BoxSettings:
    """Read and check a settings file.

    :raises FindingsError: with the place of each field that is missing or of the wrong kind
    """
    try:
        table = yaml.load(path.read_text(encoding="utf-8"), Loader=_Loader)
    except (OSError, yaml.YAMLError) as error:
        raise FindingsError([Finding(str(path), f"not readable as YAML: {error}")]) from error
    if not isinstance(table, dict):
        raise FindingsError([Finding(str(path), "is no table")])
    return _Reader(table).settings()


class _Reader:
    """Reads fields and collects what is wrong with them."""

    def __init__(self, table: dict[str, Any]) -> None:
        self.table = table
        self.findings: list[Finding] = []

    def settings(self) -> BoxSettings:
        """Return the settings, or raise all findings together."""
        settings = BoxSettings(
            name=self._text("node"),
            ip=self._text("ip"),
            data_centre=self._text("zone"),
            store=self._store(),
            bounds=self._bounds(),
            callers=self._listen("front"),
            ready=self._listen("ready"),
            peer_port=self._peer_port(),
            endpoint=str(self.table.get("app") or ""),
            pool=str(self.table.get("backend") or ""),
            heartbeat_s=self._number(self.table, "heartbeatMs", 1200.0, "") / 1000,
            memory_mb=int(self._number(self._table("limits"), "memoryMb", 256, "limits.")),
            max_fds=int(self._number(self._table("limits"), "maxFds", 4096, "limits.")),
            first_start=bool(self.table.get("bootstrap", False)),
            duties=self._duties(),
        )
        if self.findings:
            raise FindingsError(self.findings)
        return settings

    def _store(self) -> StoreSettings:
        table = self._table("provider")
        address = table.get("address")
        if not isinstance(address, str) or ":" not in address:
            self.findings.append(Finding("provider.address", "is missing or no ip:port"))
            address = ""
        value_bytes = self._number(table, "valueBytes", 1_048_576, "provider.")
        lease_min_ms = self._number(table, "ttlMinMs", 1000, "provider.")
        reads_per_s = self._number(table, "readsPerS", 0, "provider.")
        return StoreSettings(address, int(value_bytes), lease_min_ms / 1000, reads_per_s)

    def _duties(self) -> DutySettings | None:
        """Return where duties are taken; none where the fields are empty, as they may be."""
        table = self._table("cloud")
        address = table.get("address")
        names = table.get("duties") or []
        if not address:
            return None
        if not isinstance(address, str) or ":" not in address:
            self.findings.append(Finding("cloud.address", "is no ip:port"))
            return None
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            self.findings.append(Finding("cloud.duties", "is no list of names"))
            return None
        return DutySettings(address, tuple(names))

    def _bounds(self) -> Bounds:
        table = self._table("bounds")
        return Bounds(
            drain_s=self._number(table, "drainMs", 2000, "bounds.") / 1000,
            contact_s=self._number(table, "contactMs", 3000, "bounds.") / 1000,
            config_apply_s=self._number(table, "configApplyMs", 2000, "bounds.") / 1000,
            grace_s=self._number(table, "graceS", 8, "bounds."),
            status_s=self._number(table, "statusS", 120, "bounds."),
            holders_apart_s=self._number(table, "leaseTtlMs", 3000, "bounds.") / 1000,
            checks_fences=bool(table.get("requireFencing", False)),
            keys_within_s=self._keys_within_s(table),
            usage_window_s=self._number(table, "reportWindowS", 5, "bounds."),
            usage_late_s=self._number(table, "usageLateS", 10, "bounds."),
            cold_overage=self._number(table, "coldOverage", 1, "bounds."),
            cold_slack=self._number(table, "coldSlack", 0, "bounds."),
        )

    def _keys_within_s(self, table: dict[str, Any]) -> float:
        within_s = self._number(table, "revokeMs", 5000, "bounds.") / 1000
        return within_s if table.get("revokeStrict", False) else math.inf

    def _table(self, name: str) -> dict[str, Any]:
        table = self.table.get(name)
        return table if isinstance(table, dict) else {}

    def _listen(self, name: str) -> str:
        return str(self._table("listen").get(name) or "")

    def _text(self, name: str) -> str:
        value = self.table.get(name)
        if isinstance(value, str) and value:
            return value
        self.findings.append(Finding(name, "is missing or no text"))
        return ""

    def _peer_port(self) -> int:
        ports = self.table.get("internalPorts")
        if isinstance(ports, list) and ports and isinstance(ports[0], int):
            return ports[0]
        self.findings.append(Finding("internalPorts", "is missing or no list of port numbers"))
        return 0

    def _number(self, table: dict[str, Any], name: str, default: float, place: str) -> float:
        value = table.get(name, default)
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            return value
        self.findings.append(Finding(place + name, f"is no number: {value!r}"))
        return default


__all__ = [
    "Bounds",
    "BoxSettings",
    "DutySettings",
    "StoreSettings",
    "read_settings",
    "settings_path",
]
