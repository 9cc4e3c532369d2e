"""Bodies of callers' requests: nothing of one is taken for another request, nor cut short.

What is left of a body on a kept connection was read as the head of the next request.
"""

from __future__ import annotations

import socket
from contextlib import closing
from dataclasses import replace

import pytest

import threadramp.edge.caller_server as caller_server_module
from threadramp.edge.server import CallerRequest, EdgeServer
from threadramp.fleet.clock import steady_s
from threadramp.fleet.model import CallerLimits

LIMITS = CallerLimits(header_bytes=2_000, body_bytes=1_000, header_s=0.3, idle_s=1.0)
CHUNKED = b"POST %b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
KNOWN = b"POST %b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
CHUNKS = b"2\r\nab\r\n3\r\ncde\r\n0\r\n"
ENDS = [b"\r\n", b"X-Trailer: 1\r\nX-Other: 2\r\n\r\n"]
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n"
SMUGGLED = KNOWN % (b"/smuggled", 1) + b"z"
INVALID_LENGTHS = [
    *(b"+4", b"-4", b"0_4", b"0x4", b"4.0", b"", b"4, 4", b"4,5", b"\xb2"),
    *(b"4\r\nContent-Length: 4", b"4\r\nContent-Length: 5"),
]
CHUNKED_NOT_LAST_OR_TWICE = [
    *(b"chunked, chunked", b"chunked\r\nTransfer-Encoding: chunked", b"chunked, gzip", b"gzip"),
    *(b"identity", b"chunked, identity", b"chunked,", b"", b"xchunked", b"chunked;a=b"),
]
MALFORMED_FIELDS = [
    b"Content-Length : 4",
    b"Content-Length\t: 4",
    b"Content-Length: 4\r\nTransfer-Encoding : chunked",
    b" Content-Length: 4",
    b"Content-Length:\r\n 4",
    b"Content-Length: 4\r\nX-A: 1\r\n 2",
    b"Content-Length: 4\r\nX-A: 1\rTransfer-Encoding: chunked",
    b"Content-Length: 4\r\nX-A: \0",
    b"Content-Length: \x0b4",
    b"Content-Length: 4\r\nX(A): 1",
    b"Content-Length: 4\r\n: 1",
]


class Server:
    """A server that records the requests it serves."""

    def __init__(self) -> None:
        self.served: list[tuple[str, bytes]] = []
        self.arrived_at: list[float] = []
        self.edge = EdgeServer("127.0.0.1:0", self._answer, 2, LIMITS)

    def _answer(self, request: CallerRequest) -> None:
        if request.path == "/unread":
            request.respond(404)
            return
        try:
            body = request.read_body(LIMITS.body_bytes)
        except OSError:
            request.close_without_response()
            return
        self.arrived_at.append(request.arrived_at)
        self.served.append((request.path, body))
        request.respond(200, body=b"ok")

    def connect(self) -> socket.socket:
        return socket.create_connection(self.edge.server.bind_addr, timeout=5.0)


@pytest.fixture
def server():
    built = Server()
    yield built
    built.edge.server.stop()


def read_response(caller: socket.socket) -> bytes:
    """Read one response and return its status."""
    found = b""
    while b"\r\n\r\n" not in found:
        found += caller.recv(1)
    head = found.lower()
    left = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
    while left:
        left -= len(caller.recv(left))
    return found[9:12]


def read_until_closed(caller: socket.socket) -> bytes:
    found = b""
    try:
        while piece := caller.recv(4096):
            found += piece
    except ConnectionResetError:
        pass
    return found


@pytest.mark.parametrize("end", ENDS)
def test_nothing_follows_the_response_to_a_chunked_request(server, end):
    """Without a next request the caller got a 408, or a 400 if there were trailers."""
    with closing(server.connect()) as caller:
        caller.sendall(CHUNKED % b"/a" + CHUNKS + end)
        assert read_response(caller) == b"200"
        assert read_until_closed(caller) == b""  # closed when it was idle for long
    assert server.served == [("/a", b"abcde")]


@pytest.mark.parametrize("end", ENDS)
def test_a_request_after_a_chunked_one_counts_from_its_own_arrival(server, end):
    """Its time began with the response before it, so that its deadline came too early."""
    with closing(server.connect()) as caller:
        caller.sendall(CHUNKED % b"/a" + CHUNKS + end)
        assert read_response(caller) == b"200"
        caller.settimeout(0.2)
        with pytest.raises(TimeoutError):
            caller.recv(1)
        caller.settimeout(5.0)
        sent_at = steady_s()
        caller.sendall(KNOWN % (b"/b", 1) + b"z")
        assert read_response(caller) == b"200"
    assert server.served == [("/a", b"abcde"), ("/b", b"z")]
    assert server.arrived_at[1] >= sent_at


def test_the_end_of_a_chunked_body_is_awaited(server):
    with closing(server.connect()) as caller:
        caller.sendall(CHUNKED % b"/a" + CHUNKS)
        caller.settimeout(0.1)
        with pytest.raises(TimeoutError):
            caller.recv(1)
        caller.settimeout(5.0)
        assert not server.served
        caller.sendall(b"\r\n")
        assert read_response(caller) == b"200"


@pytest.mark.parametrize("end", ENDS)
def test_a_chunked_body_that_is_not_wanted_is_no_request(server, end):
    """It was read as a request, and answered 400 on a connection where none was waiting."""
    with closing(server.connect()) as caller:
        caller.sendall(CHUNKED % b"/unread" + CHUNKS + end)
        assert read_response(caller) == b"404"
        caller.sendall(KNOWN % (b"/b", 1) + b"z")
        assert read_response(caller) == b"200"
    assert server.served == [("/b", b"z")]


def test_a_chunked_body_over_the_limit_that_is_not_wanted_closes_the_connection(server):
    with closing(server.connect()) as caller:
        caller.sendall(CHUNKED % b"/unread" + b"200\r\n" + b"x" * 512 + b"\r\n")
        caller.sendall(b"200\r\n" + b"x" * 512 + b"\r\n")
        found = read_until_closed(caller)
        assert found.startswith(b"HTTP/1.1 404")
        assert found.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize("malformed", [b"zz\r\nab\r\n0\r\n\r\n", b"2\r\nabXX0\r\n\r\n"])
def test_a_malformed_chunked_body_is_not_served(server, malformed):
    with closing(server.connect()) as caller:
        caller.sendall(CHUNKED % b"/a" + malformed)
        read_until_closed(caller)
    assert not server.served


@pytest.mark.parametrize(
    "part",
    [KNOWN % (b"/a", 10) + b"abc", CHUNKED % b"/a" + b"5\r\nab", CHUNKED % b"/a" + CHUNKS],
    ids=["length", "within a chunk", "without an end"],
)
def test_a_body_that_its_caller_cut_short_is_not_served(server, part):
    """A request with a length ran with the part of its body that had arrived (UNASKED)."""
    with closing(server.connect()) as caller:
        caller.sendall(part)
        caller.shutdown(socket.SHUT_WR)
        assert read_until_closed(caller) == b""
    assert not server.served


def framed(value: bytes, rest: bytes = b"") -> bytes:
    return HEAD % (b"Transfer-Encoding: " + value + rest)


def assert_refused(server: Server, head: bytes, body: bytes) -> None:
    """Check that a head gets 400, that the connection ends, and that nothing behind it is read."""
    server.edge.set_limits(replace(LIMITS, idle_s=60.0))  # so that it isn't closed for being idle
    with closing(server.connect()) as caller:
        caller.sendall(head + body + SMUGGLED)
        found = read_until_closed(caller)
    assert found.startswith(b"HTTP/1.1 400 ")
    assert found.count(b"HTTP/1.1 ") == 1
    assert not server.served


# A blank before the colon, which another server reads as a header of another name, was accepted.
@pytest.mark.parametrize("field", MALFORMED_FIELDS)
def test_a_malformed_header_line_is_refused_with_all_behind_it(server, field):
    assert_refused(server, HEAD % field, b"abcd")


@pytest.mark.parametrize(
    "field",
    [b"Content-Length:4", b"content-length: \t4 \t", b'Content-Length: 4\r\nX_a.~!: \xe9\t"b":'],
)
def test_a_valid_header_line_is_accepted(server, field):
    with closing(server.connect()) as caller:
        caller.sendall(HEAD % field + b"abcd" + KNOWN % (b"/b", 1) + b"z")
        assert read_response(caller) == b"200"
        assert read_response(caller) == b"200"
    assert server.served == [("/a", b"abcd"), ("/b", b"z")]


# A sign or an underscore was accepted, and a negative length got 500.
@pytest.mark.parametrize("length", INVALID_LENGTHS)
def test_an_invalid_length_is_refused_with_all_behind_it(server, length):
    assert_refused(server, HEAD % (b"Content-Length: " + length), b"abcd")


# The length was ignored, and the rest of what it counts was read as a request.
@pytest.mark.parametrize("length", [b"3", b"0", b"100", b"+4"])
@pytest.mark.parametrize("is_length_first", [False, True])
def test_a_length_beside_chunked_is_refused_with_all_behind_it(server, length, is_length_first):
    fields = [b"Transfer-Encoding: chunked", b"Content-Length: " + length]
    if is_length_first:
        fields.reverse()
    assert_refused(server, HEAD % b"\r\n".join(fields), CHUNKS + b"\r\n")


# A body was read as chunked or as empty where its end is not known.
@pytest.mark.parametrize("codings", CHUNKED_NOT_LAST_OR_TWICE)
def test_a_body_that_is_not_chunked_last_and_once_is_refused(server, codings):
    assert_refused(server, framed(codings), CHUNKS + b"\r\n")


# The coding was ignored, and the body was read as a request.
def test_a_transfer_encoding_of_http_1_0_is_refused_with_all_behind_it(server):
    head = framed(b"chunked", b"\r\nConnection: Keep-Alive").replace(b"HTTP/1.1", b"HTTP/1.0")
    assert_refused(server, head, b"")


def test_a_head_that_is_refused_is_logged(server, monkeypatch):
    logged = []
    monkeypatch.setattr(
        caller_server_module, "log_state", lambda kind, **fields: logged.append((kind, fields))
    )
    assert_refused(server, HEAD % b"Content-Length: -4", b"abcd")
    refusal = {"status": "400 Bad Request", "request_line_read": True, "target": "/a"}
    assert logged == [("head_refused", {**refusal, "served_before": 0})]


# A caller that waits for 100 got it, and sent a body whose length is not known.
def test_an_invalid_length_is_refused_before_its_body_is_asked_for(server):
    assert_refused(server, HEAD % b"Content-Length: -4\r\nExpect: 100-continue", b"")


@pytest.mark.parametrize(
    ("head", "body", "read"),
    [
        (HEAD % b"Content-Length: 004", b"abcd", b"abcd"),
        (HEAD % b"Content-Length: 0", b"", b""),
        (HEAD % b"X-A: 1", b"", b""),
        (framed(b"chunked"), CHUNKS + b"\r\n", b"abcde"),
        (framed(b"\tCHUNKED "), CHUNKS + b"\r\n", b"abcde"),
    ],
)
def test_a_valid_body_is_served_and_so_is_the_request_behind_it(server, head, body, read):
    with closing(server.connect()) as caller:
        caller.sendall(head + body + KNOWN % (b"/b", 1) + b"z")
        assert read_response(caller) == b"200"
        assert read_response(caller) == b"200"
    assert server.served == [("/a", read), ("/b", b"z")]
