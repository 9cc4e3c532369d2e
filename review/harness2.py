"""Starts threadramp's roles as the deploy file does, on loopback, beside stand-ins; for cases 4 to 8.

A case starts boxes and stand-ins, writes what it saw into ``record.txt`` and ends every process
that it started.
"""

from __future__ import annotations

import base64
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import contextmanager, suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from threadramp.platform.standins.endpoint import CutOffError, PlatformEngine  # noqa: E402
from threadramp.platform.standins.store import PlatformStore  # noqa: E402
from threadramp.standins.server import Response  # noqa: E402

HOST = "models.example"
CALLS = "calls.example"
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 5.1,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "downgradeSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "passMs": 120, "againS": 0,
    "finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1,
    "requireFencing": False, "leaseTtlMs": 3000, "thawMs": 300,
}  # fmt: skip
LIMITS = {"cpuShare": 0.817, "cpuCores": 1, "memoryMb": 300, "maxFds": 4100, "linkMbps": 1000.0}
STILL_WORKING_S = 0.4  # of the rule TWICE
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


def run_line(role: str) -> list[str]:
    """Return the command of a role from the deploy file."""
    table = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    return table["roles"][role]["run"].split()


def free_port(ip: str) -> int:
    """Return a port that is free at an address now."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


def encoded(data: bytes) -> str:
    """Return bytes in base64."""
    return base64.b64encode(data).decode()


def wait_for(condition, what: str, within_s: float = 20.0):
    """Return the value of a condition once it is true.

    :raises NotRunError: if that takes too long
    """
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        with suppress(OSError, HTTPException):
            value = condition()
            if value:
                return value
        time.sleep(0.02)
    raise NotRunError(f"timed out: {what}")


class Box:
    """A machine with one process of ours."""

    _numbers = iter(range(1, 250))
    processes: list[subprocess.Popen] = []  # all that were started

    def __init__(self, folder: Path, role: str, name: str, store: str, **settings) -> None:
        self.role, self.name = role, name
        self.ip = f"127.{100 + os.getpid() // 250 % 100}.{os.getpid() % 250}.{next(Box._numbers)}"
        self.file, self.log = folder / f"{name}.yaml", folder / f"{name}.log"
        self.ports = {one: free_port(self.ip) for one in ("front", "ready", "inner")}
        self.settings = {
            "node": name, "role": role, "ip": self.ip, "zone": "bne-north", "region": "au-qld",
            "zones": {"bne-north": "au-qld"}, "listen": {},
            "internalPorts": [self.ports["inner"], self.ports["inner"] + 15], "seeds": [],
            "bootstrap": True, "inTolerance": False, "limits": LIMITS, "dataDir": None,
            "discovery": "platform", "entrypoint": "vip", "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": dict(BOUNDS),
            "provider": {"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
            **settings,
        }  # fmt: skip
        if role == "gateway":
            self.settings["machineClass"], self.settings["serves"] = "front", ["front"]
            self.settings["listen"] = {
                one: f"{self.ip}:{self.ports[one]}" for one in ("front", "ready")
            }
        else:
            self.settings["machineClass"], self.settings["serves"] = "side", ["side"]
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.file.write_text(json.dumps(self.settings), encoding="utf-8")  # JSON is YAML
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                run_line(self.role), cwd=ROOT, stdout=log, stderr=log,
                env={**kept, "THREADRAMP_NODE_FILE": str(self.file),
                     "PYTHONPATH": str(ROOT / "target" / "deps")},
            )  # fmt: skip
        Box.processes.append(self.process)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def call(self, method: str, target: str, headers=None, body=b"", timeout_s: float = 10.0):
        """Send a request on a new connection; return status, headers and body."""
        connection = HTTPConnection(self.ip, self.ports["front"], timeout=timeout_s)
        try:
            connection.request(method, target, body, {"Host": HOST, **(headers or {})})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        connection = HTTPConnection(self.ip, self.ports["ready"], timeout=1.0)
        try:
            connection.request("GET", "/threadramp/ready")
            return connection.getresponse().status == 200
        finally:
            connection.close()

    def lines(self, kind: str) -> list[dict]:
        """Return the log lines of a kind."""
        rows = []
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
            with suppress(json.JSONDecodeError):
                row = json.loads(line)
                if str(row.get("message_type", "")).endswith(":" + kind):
                    rows.append(row)
        return rows


class Worker(PlatformEngine):
    """The project's stand-in of an engine; notes when it works on what.

    ``verdicts`` holds, by request id, a status that each run of it is answered with.
    """

    def __init__(self, options) -> None:
        super().__init__(options)
        self.verdicts: dict[str, int] = {}
        self.work: list[dict] = []

    def _work(self, request):
        name = request.headers.get("x-attempt-id", "")
        if name in self.verdicts:
            row = {"id": name, "at": time.monotonic(), "worker": self.instance,
                   "after": int(request.headers.get("last-event-id", 0)),
                   "status": self.verdicts[name], "until": time.monotonic()}  # fmt: skip
            with self.lock:
                self.work.append(row)
            return Response(self.verdicts[name], b"", {"X-Attempt-Id": name})
        return super()._work(request)

    def _events(self, name, model, after, mark, version):
        row = {"id": name, "at": time.monotonic(), "worker": self.instance, "after": after,
               "status": 200, "until": None, "last": after}  # fmt: skip
        with self.lock:
            self.work.append(row)
        made = super()._events(name, model, after, mark, version)
        try:
            for data in made:
                row["last"] += 1
                yield data
        finally:
            made.close()
            row["until"] = time.monotonic()


class Site:
    """A small deployment: gateways, sidecars, workers and the platform's store."""

    def __init__(self, folder: Path, gateways: int = 2, workers: int = 2, slots: int = 6) -> None:
        self.folder, self.slots = folder, slots
        self.servers, self.boxes = [], []
        self.store = PlatformStore({})
        self.store_address = self.serve(self.store, "127.0.0.1")
        self.gateways = [
            self._box("gateway", f"front-bne-north-{n + 1}") for n in range(gateways)
        ]
        self.workers, self.sidecars = [], []
        for number in range(workers):
            worker = Worker({"instance": f"i-e{number}"})
            address = self.serve(worker, "127.0.0.1")
            self.workers.append(worker)
            self.register(worker.instance, "engines", address)
            self.sidecars.append(
                self._box("sidecar", f"side-bne-north-{number + 1}", app=address, backend="engines")
            )
        self.callee = PlatformEngine({"instance": "i-c0"})
        self.register("i-c0", "calls", self.serve(self.callee, "127.0.0.1"))
        self.more_routes: list[dict] = []
        self.version = 3
        self.lots_route: dict = {}

    def _box(self, role: str, name: str, **settings) -> Box:
        box = Box(self.folder, role, name, self.store_address, **settings)
        self.boxes.append(box)
        return box

    def serve(self, standin, ip: str) -> str:
        """Serve a stand-in on a free port."""
        server = standin.start(f"{ip}:0", 64)
        self.servers.append((standin, server))
        return "{}:{}".format(*server.bind_addr)

    def put(self, key: str, value) -> None:
        """Write a key as the operator or a worker does."""
        row = {"key": key, "value": encoded(json.dumps(value).encode())}
        if self.store._commit({"puts": [row]}).status != 200:
            raise NotRunError(f"{key} was not written")

    def register(self, instance: str, pool: str, address: str) -> None:
        """Write a worker's entry."""
        self.put(f"servers/{instance}", {
            "backend": pool, "address": address, "zone": "bne-north", "version": "1",
            "slots": 6, "state": "ready", "coldMs": 0, "seq": 1,
        })  # fmt: skip

    def configure(self) -> None:
        """Write the configuration and the version of the weights."""
        lots = {
            "name": "lots", "hostname": HOST, "pathPrefix": "/lots/", "kind": "rollout",
            "timeoutMs": 10000, "targetLatencyMs": 400, "runTargetMs": 7500, "queueTtlS": 40,
            "backend": "engines", "maxAttempts": 3, "priority": 0, **self.lots_route,
        }  # fmt: skip
        calls = {
            "name": "calls", "hostname": CALLS, "pathPrefix": "/", "kind": "safe",
            "timeoutMs": 1500, "targetLatencyMs": 200, "backend": "calls", "maxAttempts": 3,
            "priority": 2,
        }  # fmt: skip
        engine = {"slots": self.slots, "kvCapacity": 83311, "models": [{"name": "m"}]}
        self.put("op/config", {
            "version": self.version, "routes": [lots, calls, *self.more_routes],
            "backends": [{"name": "engines", "healthPath": "/healthz", "maxConns": 170,
                          "engine": engine},
                         {"name": "calls", "healthPath": "/healthz", "maxConns": 110}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        })  # fmt: skip

    def start(self) -> None:
        """Start all processes and wait until they are in service."""
        self.configure()
        self.put("op/version/m", {"model": "m", "version": 1})
        for box in self.boxes:
            box.start()
        for gateway in self.gateways:
            wait_for(gateway.is_ready, f"{gateway.name} ready")
        names = {f"member/{box.name}" for box in self.boxes}
        wait_for(lambda: names <= set(self.store.data), "all processes listed")
        time.sleep(1.0)

    def lot(self, lot_id: str, items: int, per_group: int = 4, tokens: int = 100) -> bytes:
        """Return the body of a batch job."""
        rows = [
            {
                "id": f"{lot_id}-{n}", "path": f"/lots/{n}", "tokens": tokens,
                "headers": {"X-Model": "m", "X-Token-Count": f"16,{tokens - 16}"},
                "body": encoded(f"prompt {n}".encode()), "group": f"g{n // per_group}",
                "scoringEndpoint": {"id": f"{lot_id}-r{n}", "hostname": CALLS, "path": "/score/",
                                    "body": encoded(b"x")},
            }
            for n in range(items)
        ]  # fmt: skip
        return json.dumps({
            "step": 0, "model": "m", "minVersion": 1, "desired": items // per_group,
            "requests": rows,
        }).encode()  # fmt: skip

    def hand_in(self, gateway: Box, lot_id: str, body: bytes) -> int:
        """Send a batch job and return the status."""
        headers = {"X-Attempt-Id": lot_id, "X-Deadline-Ms": "12000",
                   "Content-Type": "application/json"}  # fmt: skip
        return gateway.call("POST", f"/lots/{lot_id}", headers, body)[0]

    def results(self, gateway: Box, lot_id: str, after: int = 0):
        """Return status and page of results."""
        status, _, body = gateway.call("GET", f"/threadramp/lots/{lot_id}?after={after}")
        return status, json.loads(body) if status == 200 else None

    def close(self) -> None:
        """End all processes and stand-ins."""
        for box in self.boxes:
            if box.process is not None and box.process.poll() is None:
                with suppress(OSError):
                    box.kill()
        for standin, _ in self.servers:
            standin.faults["outage"] = True


@contextmanager
def small_site(**options):
    """Yield a deployment in a temporary folder; everything ends with the context."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(Path(folder), **options)
        try:
            yield site
        finally:
            site.close()


def overlaps(work: list[dict], notice_s: float) -> list[str]:
    """Return each item that went on at another worker while the one before still worked on it.

    :param work: what the workers noted of the items
    :param notice_s: within which a worker notices that a connection is closed
    """
    found = []
    for later in work:
        if not later["after"]:
            continue
        for before in work:
            if before["id"] != later["id"] or before["worker"] == later["worker"]:
                continue
            until = before["until"] or time.monotonic()
            is_before = before["at"] < later["at"]
            if is_before and until > later["at"] + STILL_WORKING_S + notice_s:
                found.append(
                    f"TWICE: {later['id']} goes on after event {later['after']} at "
                    f"{later['worker']}; {before['worker']} works on it "
                    f"{until - later['at']:.2f} s longer"
                )
    return found


def _give_up() -> None:
    """End all processes and exit, since the case takes too long."""
    for process in Box.processes:
        if process.poll() is None:
            process.kill()
    os._exit(EXIT_NOT_RUN)


def main(case, folder: Path) -> None:
    """Run a case and exit as its script has to: 1 if the rule was broken, 0 if it held, else 2.

    :param case: called with whether the disruption takes place and a function that notes a line;
        returns what broke the rule, nothing if it held
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    rows: list[str] = []
    begun = time.monotonic()

    def note(text: str) -> None:
        rows.append(f"{time.monotonic() - begun:8.3f} s  {text}")

    watchdog = threading.Timer(115.0, _give_up)
    watchdog.daemon = True
    watchdog.start()
    try:
        broken = case(trouble, note)
        code = EXIT_BROKEN if broken else EXIT_HELD
        rows += [f"BROKEN: {one}" for one in broken] or ["the rule held"]
    except Exception as error:  # whatever it is, it shows nothing of the rule
        code = EXIT_NOT_RUN
        rows.append(f"could not run: {error!r}")
    (folder / "record.txt").write_text("\n".join(rows) + "\n", encoding="utf-8")
    print(rows[-1])
    sys.stdout.flush()
    os._exit(code)  # the stand-ins' threads do not end by themselves


__all__ = ["CutOffError", "NotRunError", "Site", "Worker", "main", "overlaps", "small_site", "wait_for"]
