"""A small HTTP server for stand-ins, with one fault interface for all of them."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec
from cheroot.wsgi import Server

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

THREADS = 96
BACKLOG = 256
IDLE_TIMEOUT_S = 60.0  # longer than tests hold up a request on its connection
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 429: "Too Many Requests", 500: "Error"}
STANDINS: Registry[type[StandIn]] = Registry()


@dataclass(frozen=True)
class Request:
    """A request to a stand-in."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


@dataclass(frozen=True)
class Response:
    """A stand-in's answer; ``cut`` names a longer body than is sent."""

    status: int = 200
    body: bytes | Iterable[bytes] = b""
    headers: dict[str, str] = field(default_factory=dict)
    cut: bool = False

    @classmethod
    def from_value(cls, value: Any, status: int = 200, **headers: str) -> Response:
        """Build a JSON answer."""
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        return cls(status, msgspec.json.encode(value), {"Content-Type": "application/json"} | named)


class StandIn:
    """Base of the stand-ins.

    ``POST /faults`` with a table sets switches; a switch that counts is used up one by one.

    :param options: further settings by name
    """

    faults: dict[str, Any] = {}

    def __init__(self, options: dict[str, Any]) -> None:
        self.options = options
        self.lock = threading.RLock()
        self.faults = {"outage": False, "delay_s": 0.0, **type(self).faults}
        self.faults |= {name: options[name] for name in self.faults if name in options}
        self.calls = 0

    def serve(self, listen: str) -> None:
        """Serve until the process is ended."""
        self._server(listen, THREADS).safe_start()

    def start(self, listen: str, threads: int = THREADS) -> Server:
        """Serve from a thread; the server that is returned has a method to stop it."""
        server = self._server(listen, threads)
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        return server

    def _server(self, listen: str, threads: int) -> Server:
        host, _, port = listen.partition(":")
        return Server(
            (host, int(port)),
            self._wsgi,
            numthreads=threads,
            request_queue_size=BACKLOG,
            timeout=IDLE_TIMEOUT_S,
        )

    def answer(self, request: Request) -> Response:
        """Answer a request."""
        raise NotImplementedError

    def record(self) -> Any:
        """Return what this stand-in has seen, for the proofs."""
        return {"calls": self.calls}

    def use_up(self, name: str) -> bool:
        """Take one of a counting switch."""
        with self.lock:
            if not self.faults[name]:
                return False
            self.faults[name] -= 1
            return True

    def faults_changed(self) -> None:
        """Note that switches were set."""

    def _wsgi(self, environ: dict[str, Any], start_response: Callable) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        names = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        request = Request(
            environ["REQUEST_METHOD"],
            tuple(part for part in environ["PATH_INFO"].split("/") if part),
            {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()},
            names,
            environ["wsgi.input"].read(length) if length else b"",
        )
        response = self._dispatch(request)
        body = response.body
        head = [(name, value) for name, value in response.headers.items()]
        if isinstance(body, bytes):
            head.append(("Content-Length", str(len(body) + response.cut)))
            body = [body]
        start_response(f"{response.status} {REASONS.get(response.status, 'Status')}", head)
        return body

    def _dispatch(self, request: Request) -> Response:
        if request.path == ("faults",):
            return self._set_faults(request)
        if request.path == ("record",):
            with self.lock:
                return Response.from_value(self.record())
        self.calls += 1
        if self.faults["outage"]:
            return Response(503, b"", {}, cut=True)
        if self.faults["delay_s"]:
            time.sleep(self.faults["delay_s"])
        return self.answer(request)

    def _set_faults(self, request: Request) -> Response:
        with self.lock:
            if request.method == "POST":
                wanted = request.json()
                unknown = set(wanted) - set(self.faults)
                if unknown:
                    return Response.from_value({"unknown": sorted(unknown)}, 404)
                self.faults |= wanted
                self.faults_changed()
            return Response.from_value(self.faults)


__all__ = ["Request", "Response", "STANDINS", "StandIn"]
