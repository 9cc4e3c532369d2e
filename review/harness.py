"""Starts the project's own programs for the cases of this review, with small stand-ins around them.

The processes are started with the commands of ``deploy/system.toml``. The store is the project's
own stand-in. All addresses are loopback addresses.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
sys.path[:0] = [str(DEPS), str(ROOT / "src")]

import yaml  # noqa: E402

from threadramp.platform.standins.store import PlatformStore  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, METRICS = 8161, 8167, 9464
PEERS = (7720, 7735)
HELD, BROKEN, NOT_RUN = 0, 1, 2
RESET = struct.pack("ii", 1, 0)
LATEST_END_S = 110


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, in order."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def new_ip() -> str:
    """Return a loopback address at which the ports of a box are free."""
    for _ in range(200):
        ip = f"127.{random.randint(64, 126)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in (FRONT, READY, METRICS, PEERS[0]):
                probe = stack.enter_context(socket.socket())
                probe.bind((ip, port))
            return ip
    raise CannotRunError("no free loopback address")


class Box:
    """One machine with one process of the project."""

    def __init__(
        self, fleet: Fleet, role: str, name: str, app: str = "", backend: str = ""
    ) -> None:
        self.name, self.role, self.ip = name, role, new_ip()
        self.file = fleet.folder / f"{name}.yaml"
        self.log = fleet.folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.store = fleet.store_address(name)
        listen = {}
        if role == "gateway":
            listen = {"front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}"}
        self.settings = {
            "node": name, "role": role, "ip": self.ip, "zone": "hall-a", "region": "west",
            "zones": {"hall-a": "west"}, "machineClass": "front" if role == "gateway" else "side",
            "serves": ["front" if role == "gateway" else "side"],
            "listen": listen, "internalPorts": list(PEERS), "seeds": [], "bootstrap": True,
            "inTolerance": False, "dataDir": None, "discovery": "platform", "entrypoint": "vip",
            "heartbeatMs": 1200,
            "limits": {
                "cpuShare": 0.817, "cpuCores": 1, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 5.1,
                "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                "downgradeSlackMs": 250, "maxStretchMs": 5000, "recoveryS": 12, "passMs": 120,
                "againS": 0, "finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000,
                "quotaOverage": 0.1, "requireFencing": False, "leaseTtlMs": 3000, "thawMs": 300,
            },
            "provider": {
                "address": self.store, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }  # fmt: skip
        if app:
            self.settings |= {"app": app, "backend": backend}
        self.file.write_text(yaml.safe_dump(self.settings), encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            words = tomllib.load(file)["roles"][self.role]["run"].split()
        words[0] = sys.executable if words[0] == "python3" else words[0]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = kept | {"THREADRAMP_NODE_FILE": str(self.file), "PYTHONPATH": str(DEPS)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process, whatever state it is in."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Ask for readiness as the platform's balancer does."""
        with contextlib.suppress(OSError):
            return (
                call(f"{self.ip}:{READY}", "GET", "/threadramp/ready", "x", {}, b"", 1.0)[0] == 200
            )
        return False


class StoreProxy:
    """The way to the store: passes bytes on, and is shut while the store is down.

    While it is down nothing listens at its address and its open connections are reset.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.ip = f"127.{random.randint(64, 126)}.{random.randint(1, 250)}.{random.randint(2, 250)}"
        self.lock = threading.Lock()
        self.pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.listener: socket.socket | None = None
        self.port = 0
        self._listen()

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"

    def down(self) -> None:
        """Reset all connections and refuse new ones."""
        with self.lock:
            listener, self.listener = self.listener, None
            pairs, self.pairs = self.pairs, set()
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for pair in pairs:
            for one in pair:
                _reset(one)

    def up(self) -> None:
        """Listen again."""
        self._listen()

    def _listen(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self.port))
        self.port = listener.getsockname()[1]
        listener.listen(256)
        with self.lock:
            self.listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            try:
                store = socket.create_connection(self.target, 2.0)
            except OSError:
                _reset(caller)
                continue
            pair = (caller, store)
            for one in pair:
                one.settimeout(None)
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                is_up = self.listener is listener
                if is_up:
                    self.pairs.add(pair)
            if not is_up:
                _reset(caller)
                _reset(store)
                continue
            for source, sink in (pair, pair[::-1]):
                threading.Thread(target=self._pump, args=(pair, source, sink), daemon=True).start()

    def _pump(self, pair: tuple, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
        with self.lock:
            self.pairs.discard(pair)
        for one in pair:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)


def _reset(one: socket.socket) -> None:
    with contextlib.suppress(OSError):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        fd = one.detach()
        socket.close(fd)


class Store(PlatformStore):
    """The project's stand-in for the store, which tells of each transaction that it did.

    :ivar on_done: called with the keys that were written, before the answer is sent
    """

    def __init__(self) -> None:
        super().__init__({})
        self.on_done = lambda keys: None
        self.on_range = lambda prefix: None

    def _transact(self, request):  # noqa: ANN001, ANN202
        answer = super()._transact(request)
        if answer.status == 200:
            self.on_done([put["key"] for put in request.json().get("puts", [])])
        return answer

    def _range(self, request):  # noqa: ANN001, ANN202
        self.on_range(request.query.get("pathPrefix", ""))
        return super()._range(request)


class Fleet:
    """Store, boxes and the operator of one deployment."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Store()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        self.server = self.store.start(f"127.0.0.1:{port}")
        self.proxy = StoreProxy(("127.0.0.1", port))
        self.boxes: list[Box] = []

    def store_address(self, box: str) -> str:
        """Return the address at which a box finds the store."""
        return self.proxy.address

    def add(self, role: str, name: str, app: str = "", backend: str = "") -> Box:
        """Add a box."""
        box = Box(self, role, name, app, backend)
        self.boxes.append(box)
        return box

    def put(self, key: str, value: object) -> None:
        """Write a key to the store as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        answer = self.store._commit({"puts": [{"key": key, "value": text}]})  # noqa: SLF001
        if answer.status != 200:
            raise CannotRunError(f"the store took no {key}")

    def register(self, instance: str, backend: str, address: str, slots: int) -> None:
        """Write a worker's entry."""
        self.put(f"servers/{instance}", {
            "backend": backend, "address": address, "zone": "hall-a", "version": "v1",
            "slots": slots, "state": "ready", "coldMs": 0, "seq": 1,
        })  # fmt: skip

    def start(self) -> None:
        """Start all processes and wait until they serve."""
        for box in self.boxes:
            box.start()
        wait_for(lambda: all(b.is_ready() for b in self.boxes if b.role == "gateway"), "ready", 40)
        names = {f"member/{box.name}" for box in self.boxes}
        wait_for(lambda: names <= set(self.store.data), "all boxes listed", 40)

    def close(self) -> None:
        """End all processes that were started."""
        for box in self.boxes:
            box.end()


def wait_for(condition, what: str, timeout_s: float):  # noqa: ANN001, ANN201
    """Poll a condition until it holds."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRunError(f"not within {timeout_s} s: {what}")


def read_head(sock: socket.socket, rest: bytes = b"") -> tuple[str, dict[str, str], bytes]:
    """Read the head of an HTTP message; returns its first line, its headers and what follows."""
    data = rest
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            raise ConnectionError("closed within a head" if data else "closed")
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}, rest


def read_exactly(sock: socket.socket, size: int, rest: bytes = b"") -> tuple[bytes, bytes]:
    """Read a number of bytes; returns them and what follows."""
    parts, have = [rest], len(rest)
    while have < size:
        piece = sock.recv(min(262144, size - have))
        if not piece:
            raise ConnectionError("closed within a body")
        parts.append(piece)
        have += len(piece)
    data = b"".join(parts)
    return data[:size], data[size:]


class Client:
    """One kept connection of a client to a gateway."""

    def __init__(self, address: str, timeout_s: float) -> None:
        host, _, port = address.partition(":")
        self.sock = socket.create_connection((host, int(port)), 1.0)
        self.sock.settimeout(timeout_s)
        self.rest = b""

    def call(
        self, method: str, target: str, host: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return status, headers and body of its answer."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        first, found, self.rest = read_head(self.sock, self.rest)
        size = int(found.get("content-length", "0"))
        data, self.rest = read_exactly(self.sock, size, self.rest)
        return int(first.split()[1]), found, data

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def call(
    address: str, method: str, target: str, host: str, headers: dict[str, str], body: bytes,
    timeout_s: float,
) -> tuple[int, dict[str, str], bytes]:  # fmt: skip
    """Send one request on a connection of its own."""
    client = Client(address, timeout_s)
    try:
        return client.call(method, target, host, headers, body)
    finally:
        client.close()


def _give_up(number: int, frame: object) -> None:
    raise CannotRunError(f"ended by signal {number}")


def play(folder: Path, case) -> int:  # noqa: ANN001
    """Play a case and return the exit code of its script.

    :param case: called with the fleet, not started yet, and the record; returns what broke the rule
    """
    record = Record(folder)
    record(f"disruption: {'on' if TROUBLE else 'off'}")
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _give_up)
    signal.alarm(LATEST_END_S)
    with tempfile.TemporaryDirectory() as place:
        fleet = Fleet(Path(place))
        try:
            broken = case(fleet, record)
        except (CannotRunError, OSError, ValueError) as error:
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            code = NOT_RUN
        else:
            code = BROKEN if broken else HELD
            for line in broken:
                record(f"BROKEN {line}")
            record("the rule was broken" if broken else "the rule held")
            print("\n".join(broken) or "the rule held")
        finally:
            fleet.close()
            if os.environ.get("KEEP_LOGS"):
                for box in fleet.boxes:
                    Path(os.environ["KEEP_LOGS"], box.log.name).write_bytes(box.log.read_bytes())
    sys.stdout.flush()
    os._exit(code)  # threads of the stand-ins may still wait


__all__ = [
    "TROUBLE", "CannotRunError", "Client", "Fleet", "Record", "call", "new_ip", "play",
    "read_exactly", "read_head", "wait_for",
]  # fmt: skip
