"""Settings of a daemon, read from a TOML file and checked as a whole."""

from __future__ import annotations

import tomllib
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from expression import Error, Ok, Result

from threadramp.config.findings import Finding, FindingsError
from threadramp.config.tables import read_table
from threadramp.policy.placement import PLACEMENTS
from threadramp.policy.reserve import RESERVES
from threadramp.policy.routing import ROUTINGS
from threadramp.policy.tail import TAILS


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services are.

    :param kv: base address of the key-value service, ``http://ip:port``
    :param box_list: base address of the box list; empty if there is none
    :param kv_timeout_s: seconds after which a call to the key-value service is given up
    """

    kv: str
    box_list: str = ""
    kv_timeout_s: float = 2.0


@dataclass(frozen=True)
class AuthSettings:
    """Secrets, by role; never logged.

    :param fleet_key: shared by all processes of the system
    """

    fleet_key: str
    operator_token: str = ""
    trainer_token: str = ""
    caller_token: str = ""


@dataclass(frozen=True)
class GatewaySettings:
    """A gateway's own settings.

    :param index: which gateway of the fleet this is, from 0
    :param count: how many gateways the fleet has
    :param coverage: how many gateways each sidecar should hear from
    :param threads: HTTP worker threads
    :param sync_interval_s: seconds between two beats to a sidecar
    :param sync_timeout_s: seconds after which a beat counts as lost
    :param step_polls_per_s: exchanges a second about a running step that only ask
    :param key_window_s: seconds for which an own key binds; the same as the sidecars'
    :param key_writes_per_s: budget of assignment writes for callers' own keys
    :param seeds: sync addresses of some sidecars, from which a gateway that starts while the
        key-value service is out learns the configuration
    :param max_body_bytes: longest request body that is read
    :param memory_mb: memory limit of the process, by which requests that arrive are bounded
    :param max_connections: open at once; for a further one the one that waited longest is closed
    :param max_step_samples: most samples that one step may ask for
    """

    name: str
    listen: str
    data_centre: str
    index: int = 0
    count: int = 1
    coverage: int = 3
    threads: int = 64
    sync_interval_s: float = 1.0
    sync_timeout_s: float = 1.0
    step_polls_per_s: float = 100.0
    key_window_s: float = 86_400.0
    key_writes_per_s: float = 50.0
    seeds: tuple[str, ...] = ()
    max_body_bytes: int = 4_194_304
    memory_mb: int = 256
    max_connections: int = 1024
    max_step_samples: int = 8192


@dataclass(frozen=True)
class SidecarSettings:
    """A sidecar's own settings.

    :param endpoint: name of the endpoint resource that it stands beside
    :param endpoint_address: that endpoint's ``ip:port``
    :param key_window_s: seconds for which an idempotency key binds
    :param max_keys: most keys that are remembered
    :param max_answer_bytes: longest answer that is kept for a resend
    :param freeze_limit_s: a gap of the clock above this counts as a freeze
    :param load_spread_s: time over which the fleet's loads of new weights are spread, so that the
        weight store's rate is not exceeded; 0 for a small fleet
    :param stop_grace_s: longest wait for running work at a planned stop
    :param buffer_grace_s: longest wait for buffered samples to be fetched at a planned stop
    :param max_body_bytes: longest request body that is read
    :param memory_mb: memory limit of the process, by which requests that arrive are bounded
    :param max_connections: open at once; for a further one the one that waited longest is closed
    """

    endpoint: str
    endpoint_address: str
    listen_http: str
    listen_sync: str
    data_centre: str
    slots: int = 8
    threads: int = 48
    key_window_s: float = 86_400.0
    max_keys: int = 200_000
    max_answer_bytes: int = 65_536
    freeze_limit_s: float = 2.0
    load_spread_s: float = 0.0
    stop_grace_s: float = 60.0
    buffer_grace_s: float = 30.0
    max_body_bytes: int = 4_194_304
    memory_mb: int = 256
    max_connections: int = 1024


@dataclass(frozen=True)
class ObjectiveSettings:
    """Shares of events that should be good, for the report on service-level burn.

    :param interactive: calls answered on time
    :param staleness: delivered samples of the newest version that the trainer has
    :param trainer_busy: seconds in which a trainer does not wait for a lot
    """

    interactive: float = 0.99
    staleness: float = 0.9
    trainer_busy: float = 0.5

    def findings(self, place: str) -> list[Finding]:
        """Return which targets are no shares."""
        return [
            Finding(f"{place}.{name}", "must lie between 0 and 1, without both")
            for name, target in asdict(self).items()
            if not 0 < target < 1
        ]


@dataclass(frozen=True)
class PolicySettings:
    """Names of the policies in use; each is registered under its name.

    :param routing: which endpoint a call goes to
    :param placement: which endpoint a sample goes to
    :param tail: what is done about the last samples of a step
    :param reserve: how many slots a sidecar keeps free for calls
    :param lookahead: samples that wait at an endpoint for each of its slots
    """

    routing: str = "two_choice"
    placement: str = "least_loaded"
    tail: str = "wait"
    reserve: str = "none"
    lookahead: float = 0.0

    def findings(self, place: str) -> list[Finding]:
        """Return which names are not registered."""
        registries = {
            "routing": ROUTINGS,
            "placement": PLACEMENTS,
            "tail": TAILS,
            "reserve": RESERVES,
        }
        found = []
        for key, registry in registries.items():
            name = getattr(self, key)
            if name not in registry:
                hint = f"known: {', '.join(sorted(registry))}"
                found.append(Finding(f"{place}.{key}", f"no policy {name!r}", hint))
        return found


@dataclass(frozen=True)
class Settings:
    """All settings of one daemon; one of ``gateway`` and ``sidecar`` is set."""

    platform: PlatformSettings
    auth: AuthSettings
    policy: PolicySettings = field(default_factory=PolicySettings)
    objectives: ObjectiveSettings = field(default_factory=ObjectiveSettings)
    gateway: GatewaySettings | None = None
    sidecar: SidecarSettings | None = None
    source: str = field(default="", compare=False)

    @classmethod
    def from_file(cls, path: str) -> Settings:
        """Read and check a settings file.

        :raises FindingsError: with everything that is wrong with it
        """
        result = check_settings(path)
        if result.is_error():
            raise FindingsError(result.error)
        return result.ok


_TABLES: dict[str, type] = {
    "platform": PlatformSettings,
    "auth": AuthSettings,
    "gateway": GatewaySettings,
    "sidecar": SidecarSettings,
    "policy": PolicySettings,
    "objectives": ObjectiveSettings,
}


def load_toml(path: str) -> Result[dict[str, Any], list[Finding]]:
    """Decode a TOML file."""
    try:
        return Ok(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as error:
        return Error([Finding(path, f"can not be read: {error.strerror}")])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Error([Finding(path, f"is not TOML: {error}")])


def check_settings(path: str) -> Result[Settings, list[Finding]]:
    """Check a settings file.

    :returns: the settings, or all findings
    """
    loaded = load_toml(path)
    if loaded.is_error():
        return Error(loaded.error)
    document = loaded.ok
    findings = []
    values: dict[str, Any] = {}
    for name in document:
        if name not in _TABLES:
            findings.append(Finding(f"{path}: {name}", "unknown table", f"known: {list(_TABLES)}"))
    for name, cls in _TABLES.items():
        if name in document:
            result = read_table(cls, document[name], f"{path}: {name}")
            if result.is_error():
                findings += result.error
            else:
                values[name] = result.ok
                check = getattr(result.ok, "findings", None)
                findings += check(f"{path}: {name}") if check else []
        elif name in ("platform", "auth"):
            findings.append(Finding(f"{path}: {name}", "missing table"))
    if ("gateway" in document) == ("sidecar" in document):
        findings.append(Finding(path, "exactly one of the tables gateway and sidecar is needed"))
    if findings:
        return Error(findings)
    return Ok(Settings(**values, source=path))


__all__ = [
    "AuthSettings",
    "GatewaySettings",
    "PolicySettings",
    "ObjectiveSettings",
    "PlatformSettings",
    "Settings",
    "SidecarSettings",
    "check_settings",
    "load_toml",
]
