"""A local fleet of real processes: gateways, sidecars and stand-ins on loopback.

For the demo, the scenarios and the measurements; no daemon of the package uses it.
"""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import tomlkit
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from threadramp.client.caller import CallerClient
from threadramp.client.operator import OperatorClient
from threadramp.client.trainer import TrainerClient

if TYPE_CHECKING:
    from collections.abc import Callable

# A loopback address of this process's own: neither another fleet nor an outgoing connection, which
# takes its port at 127.0.0.1, can have the port that is about to be used.
HOST = (
    f"127.{1 + os.getpid() // 64_516 % 250}.{1 + os.getpid() // 254 % 254}.{1 + os.getpid() % 254}"
)
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 90.0
POLL_S = 0.05
FLEET_KEY = "local-fleet-key"
OPERATOR_TOKEN = "local-operator"
TRAINER_TOKEN = "local-trainer"
CALLER_TOKEN = "local-caller"


_given: set[str] = set()


def free_address() -> str:
    """Return a loopback address that is free and was not given out before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            address = f"{HOST}:{probe.getsockname()[1]}"
        if address not in _given:
            _given.add(address)
            return address


def wait_for(condition: Callable[[], Any], what: str, timeout_s: float = READY_TIMEOUT_S) -> Any:
    """Wait until a condition holds and return its value.

    :raises TimeoutError: if it does not in time
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError(f"not in {timeout_s} s: {what}")


@dataclass(frozen=True)
class EndpointPlan:
    """An endpoint to start.

    :param options: settings and switches of its stand-in
    :param sidecar: further settings of its sidecar
    :param spec: further fields of its resource
    """

    name: str
    pool: str
    kind: str = "engine"
    data_centre: str = "dc-1"
    slots: int = 8
    options: dict[str, Any] = field(default_factory=dict)
    sidecar: dict[str, Any] = field(default_factory=dict)
    spec: dict[str, Any] = field(default_factory=dict)


class Process:
    """One process that this program started."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self.command = command
        self.log = log
        self.start()

    def start(self) -> None:
        """Start it; its log goes on in the same file."""
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)

    def kill(self) -> None:
        """End it at once."""
        self.popen.send_signal(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()

    def freeze(self) -> None:
        """Stop its time."""
        self.popen.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let its time go on."""
        self.popen.send_signal(signal.SIGCONT)

    def ask_to_stop(self) -> None:
        """Ask for a planned stop."""
        self.popen.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Wait until it has ended and return its exit code."""
        return self.popen.wait(STOP_TIMEOUT_S)

    @property
    def is_running(self) -> bool:
        """Return whether it runs."""
        return self.popen.poll() is None


class Fleet:
    """All processes of one local fleet.

    :ivar processes: by name: ``kv``, ``boxes``, ``gateway-N``, ``sidecar-NAME``, ``NAME``
    """

    def __init__(self, folder: Path | None = None, policy: dict[str, Any] | None = None) -> None:
        self.policy = policy or {}
        self.holder = None if folder else tempfile.TemporaryDirectory(prefix="threadramp-")
        self.folder = folder or Path(self.holder.name)
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.endpoints: dict[str, EndpointPlan] = {}
        self.http = PoolManager(retries=False, maxsize=16)
        self.gateway_names: list[str] = []
        self.probes: dict[str, str] = {}
        self.gateway_settings: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> Fleet:
        """Return the fleet itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        self.close()

    def close(self) -> None:
        """End all processes that this fleet started."""
        for process in self.processes.values():
            if process.is_running:
                process.kill()
        if self.holder is not None:
            self.holder.cleanup()

    # -- starting --------------------------------------------------------------------------

    def standin(self, name: str, kind: str, options: dict[str, Any] | None = None) -> str:
        """Start a stand-in and return its address."""
        address = free_address()
        self.addresses[name] = address
        text = msgspec.json.encode(options or {}).decode()
        self._start(name, ["standin", kind, address, "--options", text])
        self.probes[name] = f"http://{address}/faults"
        return address

    def platform(self) -> None:
        """Start the key-value service and the box list."""
        self.standin("kv", "kv")
        self.standin("boxes", "boxes")

    def gateways(self, count: int, **settings: Any) -> None:
        """Start gateways."""
        for index in range(count):
            name = f"gateway-{index}"
            address = free_address()
            self.addresses[name] = address
            own = {"name": name, "listen": address, "data_centre": "dc-1", "index": index}
            own |= {"count": count, "threads": 48, "sync_interval_s": 0.5} | settings
            path = self._settings(name, {"gateway": own})
            self.gateway_names.append(name)
            self.gateway_settings[name] = own
            self._start(name, ["gateway", str(path)])
            self.probes[name] = f"http://{address}/metrics"

    def endpoint(self, plan: EndpointPlan) -> None:
        """Start an endpoint's stand-in and its sidecar, without declaring it."""
        self.endpoints[plan.name] = plan
        self.standin(plan.name, plan.kind, plan.options)
        name = f"sidecar-{plan.name}"
        http = free_address()
        sync = free_address()
        self.addresses[name] = http
        self.addresses[f"sync-{plan.name}"] = sync
        own = {
            "endpoint": plan.name,
            "endpoint_address": self.addresses[plan.name],
            "listen_http": http,
            "listen_sync": sync,
            "data_centre": plan.data_centre,
            "slots": plan.slots,
        } | plan.sidecar
        path = self._settings(name, {"sidecar": own})
        self._start(name, ["sidecar", str(path)])
        self.probes[name] = f"http://{http}/healthz"

    def wait_ready(self) -> None:
        """Wait until every process that was started answers."""
        for name, url in self.probes.items():
            wait_for(lambda of=name, at=url: self._has_started(of, at), f"{name} answers")

    def resettle(self, name: str, kv: str = "", **settings: Any) -> None:
        """Write a gateway's settings anew; in force when it is started again.

        :param kv: address of the key-value service, if not the fleet's
        """
        known = self.addresses["kv"]
        self.addresses["kv"] = kv or known
        self.gateway_settings[name] |= settings
        self._settings(name, {"gateway": self.gateway_settings[name]})
        self.addresses["kv"] = known

    def restart(self, name: str) -> None:
        """Start a process again that has ended, with its settings and addresses."""
        self.processes[name].start()
        wait_for(lambda: self._answers(self.probes[name]), f"{name} answers again")

    def document(self, trainers: dict[str, dict[str, Any]], models: dict[str, int]) -> Path:
        """Write a file that declares all endpoints and return its path."""
        pools: dict[str, Any] = {}
        for plan in self.endpoints.values():
            is_model = plan.kind == "engine"
            pools[plan.pool] = {"type": "model" if is_model else "service"}
            if is_model:
                pools[plan.pool]["models"] = list(models)
        tables: dict[str, Any] = {
            "data_centre": {plan.data_centre: {} for plan in self.endpoints.values()},
            "pool": pools,
            "weights": {name: {"version": version} for name, version in models.items()},
            "trainer": trainers,
            "endpoint": {name: self.endpoint_spec(name) for name in self.endpoints},
        }
        path = self.folder / "fleet.toml"
        path.write_text(tomlkit.dumps({kind: table for kind, table in tables.items() if table}))
        return path

    def endpoint_spec(self, name: str) -> dict[str, Any]:
        """Return an endpoint's resource."""
        plan = self.endpoints[name]
        return {
            "pool": plan.pool,
            "data_centre": plan.data_centre,
            "address": self.addresses[name],
            "sidecar_http": self.addresses[f"sidecar-{name}"],
            "sidecar_sync": self.addresses[f"sync-{name}"],
            "slots": plan.slots,
        } | plan.spec

    # -- using -----------------------------------------------------------------------------

    def cli(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess[str]:
        """Run the command line program as an operator."""
        environment = os.environ | {
            "THREADRAMP_GATEWAYS": ",".join(self.urls()),
            "THREADRAMP_TOKEN": OPERATOR_TOKEN,
        }
        command = [sys.executable, "-m", "threadramp.cli.main", *arguments]
        return subprocess.run(
            command, env=environment, check=check, capture_output=True, text=True, timeout=60
        )

    def urls(self, *names: str) -> list[str]:
        """Return the base addresses of gateways, of all if none is named."""
        return [f"http://{self.addresses[name]}" for name in names or self.gateway_names]

    def operator(self, *names: str) -> OperatorClient:
        """Return an operator's client."""
        return OperatorClient(self.urls(*names), OPERATOR_TOKEN)

    def caller(self, *names: str) -> CallerClient:
        """Return a caller's client."""
        return CallerClient(self.urls(*names), CALLER_TOKEN)

    def trainer(self, trainer: str, bound: int, *names: str, run: str = "run-1") -> TrainerClient:
        """Return a trainer's client."""
        return TrainerClient(self.urls(*names), TRAINER_TOKEN, trainer, run, bound)

    def record(self, name: str) -> Any:
        """Return what a stand-in has seen."""
        url = f"http://{self.addresses[name]}/record"
        return msgspec.json.decode(self.http.request("GET", url, timeout=10).data)

    def fault(self, name: str, **switches: Any) -> None:
        """Set switches of a stand-in."""
        url = f"http://{self.addresses[name]}/faults"
        body = msgspec.json.encode(switches)
        try:
            answer = self.http.request("POST", url, body=body, timeout=10)
        except HTTPError:
            if "crash" not in switches:
                raise
            return
        if answer.status != 200:
            raise ValueError(answer.data.decode())

    def wait_in_service(self, models: dict[str, int], *names: str) -> None:
        """Wait until every gateway sees every endpoint in service with verified weights."""
        wanted = set(names or self.endpoints)

        def ready(gateway: str) -> bool:
            try:
                status = self.operator(gateway).status()
            except Exception:  # noqa: BLE001 - not ready yet, for whatever reason
                return False
            good = {
                endpoint.name
                for endpoint in status.endpoints
                if endpoint.state == "in service"
                and not endpoint.problems
                and all(
                    endpoint.weights.get(model) == version
                    for model, version in models.items()
                    if self.endpoints[endpoint.name].kind == "engine"
                )
            }
            return wanted <= good

        for gateway in self.gateway_names:
            if self.processes[gateway].is_running:
                wait_for(lambda at=gateway: ready(at), f"{gateway} sees all in service")

    # -- parts -----------------------------------------------------------------------------

    def _start(self, name: str, arguments: list[str]) -> None:
        command = [sys.executable, "-m", "threadramp.cli.main", *arguments]
        self.processes[name] = Process(name, command, self.folder / f"{name}.log")

    def _settings(self, name: str, own: dict[str, Any]) -> Path:
        document = {
            "platform": {
                "kv": f"http://{self.addresses['kv']}",
                "box_list": f"http://{self.addresses['boxes']}",
                "kv_timeout_s": 1.0,
            },
            "auth": {
                "fleet_key": FLEET_KEY,
                "operator_token": OPERATOR_TOKEN,
                "trainer_token": TRAINER_TOKEN,
                "caller_token": CALLER_TOKEN,
            },
            "policy": self.policy,
            **own,
        }
        path = self.folder / f"{name}.toml"
        path.write_text(tomlkit.dumps(document))
        return path

    def _has_started(self, name: str, url: str) -> bool:
        """Return whether a process answers.

        :raises RuntimeError: if it has ended, with the end of its log
        """
        process = self.processes[name]
        if not process.is_running:
            raise RuntimeError(f"{name} has ended: {process.log.read_text()[-500:]}")
        return self._answers(url)

    def _answers(self, url: str) -> bool:
        try:
            return self.http.request("GET", url, timeout=2).status == 200
        except HTTPError:
            return False


__all__ = ["EndpointPlan", "Fleet", "Process", "free_address", "wait_for"]
