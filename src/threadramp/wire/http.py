"""CherryPy helpers of the daemons: server set-up, request bodies, typed refusals."""

from __future__ import annotations

import functools
import inspect
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import cherrypy
import msgspec
from cherrypy._cpwsgi import AppResponse

from threadramp.config.findings import FindingsError
from threadramp.fleet.model import CallerLimits
from threadramp.policy.request_buffers import max_request_bytes
from threadramp.report.log import log_state
from threadramp.wire.body_framing import BodyTooLongError
from threadramp.wire.headers import OUTCOME, REFUSAL, REQUEST_ID
from threadramp.wire.outcomes import (
    DEFAULT_RETRY_AFTER_S,
    Outcome,
    Reason,
    Refusal,
    RefusedError,
    bad_request,
)
from threadramp.wire.receiving import NoRoomError
from threadramp.wire.unread import WholeRequestServer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_HEADER_BYTES = 16_384
SOCKET_QUEUE = 256
HEAD_S = 10.0
IDLE_S = 10.0
SHUTDOWN_TIMEOUT_S = 1  # the daemon has waited for open requests before
JSON_TYPE = "application/json"


class _Response(AppResponse):
    """A response that can be closed before it has a body, as when its request is still awaited."""

    iter_response: Iterable[bytes] = ()


@dataclass(frozen=True)
class InterfaceLimits:
    """What the requests to this process may take together.

    :param body_bytes: of the longest body
    :param memory_mb: memory limit of the process
    :param connections: that are open at once; for a further one another is closed
    """

    body_bytes: int
    memory_mb: int
    connections: int


def start_http(
    root: object,
    listen: str,
    threads: int,
    limits: InterfaceLimits,
    count: Callable[[str, str], None],
) -> None:
    """Serve ``root`` in this process.

    :param listen: ``ip:port``
    :param count: increments a counter by kind and label
    """
    host, _, port = listen.partition(":")
    cherrypy.config.update(
        {
            "environment": "production",
            "engine.autoreload.on": False,
            "checker.on": False,
            "log.screen": False,
            "server.socket_host": host,
            "server.socket_port": int(port),
            "server.thread_pool": threads,
            "server.socket_queue_size": SOCKET_QUEUE,
            "server.max_request_body_size": 0,  # `read_body` has the limit, with a typed refusal
            "error_page.default": _error_page,
            "server.max_request_header_size": MAX_HEADER_BYTES,
            "server.shutdown_timeout": SHUTDOWN_TIMEOUT_S,
        }
    )
    config = {
        "/": {
            "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
            "request.process_request_body": False,
            "tools.trailing_slash.on": False,
            "tools.open_requests.on": True,
            "tools.named_answers.on": True,
        }
    }
    application = cherrypy.tree.mount(root, "/", config)
    application.wsgiapp.response_class = _Response
    cherrypy.log.access_log.disabled = True
    server = WholeRequestServer(cherrypy.server)
    server.set_limits(CallerLimits(MAX_HEADER_BYTES, limits.body_bytes, HEAD_S, IDLE_S))
    server.buffers.max_bytes = max_request_bytes(limits.memory_mb)
    server.max_connections = limits.connections
    server.count = count
    cherrypy.server.instance = server
    cherrypy.engine.start()


class OpenRequests(cherrypy.Tool):
    """Counts the open requests, until the end of a streamed response."""

    def __init__(self) -> None:
        super().__init__("on_start_resource", self.begin, name="open_requests")
        self.lock = threading.Lock()
        self.count = 0

    def _setup(self) -> None:
        super()._setup()
        cherrypy.request.hooks.attach("on_end_request", self.end)

    def begin(self) -> None:
        """Count a request as open."""
        with self.lock:
            self.count += 1

    def end(self) -> None:
        """Count a request as finished."""
        with self.lock:
            self.count -= 1


def _name_answer() -> None:
    """Echo the request id in every response, so that the sender can match it."""
    request_id = header(REQUEST_ID)
    if request_id:
        cherrypy.response.headers[REQUEST_ID] = request_id


cherrypy.tools.open_requests = OpenRequests()
cherrypy.tools.named_answers = cherrypy.Tool("on_start_resource", _name_answer)


def open_requests() -> int:
    """Return how many requests are open, or wait for their bodies."""
    return max(cherrypy.tools.open_requests.count, cherrypy.server.instance.active)


def stop_http() -> None:
    """Stop serving."""
    cherrypy.engine.exit()


def read_body(limit: int) -> bytes:
    """Read the request's body.

    If it has not arrived, the handler is called again once it has: call this before anything that
    must not be done twice.

    :param limit: maximum length in bytes
    :raises BodyPending: if it has not arrived; let it pass
    :raises RefusedError: if it is longer, incomplete or malformed, or there is no room for it now
    """
    try:
        return cherrypy.request.rfile.receive(limit)
    except BodyTooLongError as error:
        raise _too_large(limit) from error
    except NoRoomError as error:
        refusal = Refusal.not_run(Reason.OVERLOADED, str(error), DEFAULT_RETRY_AFTER_S)
        raise RefusedError(refusal) from error
    except OSError as error:
        raise bad_request("body", str(error)) from error


def arrived_at() -> float:
    """Return the time on the steady clock at which the first bytes of the request had arrived."""
    return cherrypy.request.rfile.arrived_at


def header(name: str, default: str = "") -> str:
    """Return a request header."""
    return cherrypy.request.headers.get(name, default)


def answer_json(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> bytes:
    """Set up a JSON response and return its body."""
    return answer_bytes(msgspec.json.encode(value), status, JSON_TYPE, headers)


def answer_bytes(
    body: bytes, status: int, content_type: str, headers: dict[str, str] | None = None
) -> bytes:
    """Set up a response with a complete body and return the body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = content_type
    cherrypy.response.headers["Content-Length"] = str(len(body))
    for name, value in (headers or {}).items():
        cherrypy.response.headers[name] = value
    return body


def answer_refusal(refusal: Refusal, headers: dict[str, str] | None = None) -> bytes:
    """Set up a typed refusal and return its body."""
    extra = {OUTCOME: refusal.outcome.value, **(headers or {})}
    if refusal.retry_after_s:
        extra["Retry-After"] = str(refusal.retry_after_s)
    if refusal.number:
        extra[REFUSAL] = str(refusal.number)
    return answer_json({"error": refusal}, refusal.status, extra)


def edge(handler: Callable[..., Any]) -> Callable[..., Any]:
    """Turn the errors of a handler into typed responses."""
    signature = inspect.signature(handler)

    @functools.wraps(handler)
    def handle(*args: Any, **kwargs: Any) -> Any:
        try:
            _check_path(signature, args, kwargs)
            return handler(*args, **kwargs)
        except RefusedError as error:
            return answer_refusal(error.refusal)
        except FindingsError as error:
            refusal = Refusal(Reason.FINDINGS, Outcome.NOT_RUN, "the change was not accepted")
            body = {"error": refusal, "findings": error.findings}
            return answer_json(body, refusal.status, {OUTCOME: Outcome.NOT_RUN.value})
        except Exception as error:  # the process continues, and the caller gets a typed response
            log_state("internal_error", handler=handler.__qualname__, error=repr(error))
            return answer_refusal(Refusal.unknown(Reason.INTERNAL, "a fault of this process"))

    return handle


def _check_path(signature: inspect.Signature, args: tuple, kwargs: dict[str, Any]) -> None:
    """Refuse a path or query that the handler does not accept."""
    try:
        signature.bind(*args, **kwargs)
    except TypeError as error:
        raise bad_request("path", str(error)) from error


def _error_page(status: str, message: str, traceback: str, version: str) -> str:
    """Return a typed refusal for a request that CherryPy rejects, such as an unknown path."""
    reason = Reason.NOT_FOUND if status.startswith("404") else Reason.BAD_REQUEST
    refusal = Refusal(reason, Outcome.NOT_RUN, message, place="path")
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    cherrypy.response.headers[OUTCOME] = Outcome.NOT_RUN.value
    return msgspec.json.encode({"error": refusal}).decode()


def _too_large(limit: int) -> RefusedError:
    cherrypy.response.headers["Connection"] = "close"  # the body may not be read completely
    message = f"the body is longer than {limit} bytes"
    return RefusedError(Refusal(Reason.TOO_LARGE, Outcome.NOT_RUN, message, place="body"))


__all__ = [
    "InterfaceLimits",
    "answer_bytes",
    "answer_json",
    "answer_refusal",
    "arrived_at",
    "edge",
    "header",
    "open_requests",
    "read_body",
    "start_http",
    "stop_http",
]
