"""Responses whose head states the end of the body in an invalid or unusual way."""

from __future__ import annotations

import pytest

from tests.stuttering import LATE, Stutterer
from threadramp.edge.endpoint_probe import EndpointState, probe_endpoint
from threadramp.wire.response_limits import BoundedConnection, Framing, InvalidFramingError

TIME_S = 5.0
BODY = b"whole body"
CHUNKED_BODY = b"a\r\nwhole body\r\n0\r\n\r\n"
INVALID = {
    "negative": ("Content-Length: -10",),
    "signed": ("Content-Length: +10",),
    "underscore": ("Content-Length: 1_0",),
    "empty": ("Content-Length: ",),
    "word": ("Content-Length: ten",),
    "fraction": ("Content-Length: 10.0",),
    "other digits": ("Content-Length: \N{ARABIC-INDIC DIGIT FIVE}",),
    "two lengths": ("Content-Length: 5", "Content-Length: 10"),
    "two lengths, the longer first": ("Content-Length: 10", "Content-Length: 5"),
    "list of two lengths": ("Content-Length: 5, 10",),
    "list with an empty element": ("Content-Length: 10,",),
    "identity": ("Transfer-Encoding: identity", "Content-Length: 10"),
    "identity first": ("Transfer-Encoding: identity", "Transfer-Encoding: chunked"),
    "compressed": ("Transfer-Encoding: gzip, chunked",),
    "chunked twice": ("Transfer-Encoding: chunked, chunked",),
}
VALID = {
    "repeated": (("Content-Length: 10", "Content-Length: 10"), BODY, Framing.LENGTH),
    "list": (("Content-Length: 10, 10",), BODY, Framing.LENGTH),
    "blank behind it": (("Content-Length: 10 ",), BODY, Framing.LENGTH),
    "leading zero": (("Content-Length: 010",), BODY, Framing.LENGTH),
    "chunked and a blank": (("Transfer-Encoding: chunked ",), CHUNKED_BODY, Framing.CHUNKED),
    "chunked in capitals": (("Transfer-Encoding: Chunked",), CHUNKED_BODY, Framing.CHUNKED),
    "both": (
        ("Content-Length: 5", "Transfer-Encoding: chunked"),
        CHUNKED_BODY,
        Framing.CHUNKED,
    ),
}


@pytest.fixture
def serve():
    made: list[Stutterer] = []

    def start(fields: tuple[str, ...], body: bytes, status: str = "200 OK") -> str:
        head = "\r\n".join((f"HTTP/1.1 {status}", *fields, "", "")).encode()
        made.append(Stutterer(lambda number, request: head + body, LATE))
        return made[-1].address

    yield start
    for one in made:
        one.close()


def connect(address: str) -> BoundedConnection:
    host, _, port = address.partition(":")
    return BoundedConnection(host, int(port), timeout=TIME_S)


@pytest.mark.parametrize("fields", INVALID.values(), ids=list(INVALID))
def test_response_with_invalid_framing_is_an_error(serve, fields):
    """A length that is none was ignored: the body ended with its connection, cut or not."""
    connection = connect(serve(fields, BODY))
    connection.request("GET", "/")
    with pytest.raises(InvalidFramingError):
        connection.getresponse()
    connection.close()


@pytest.mark.parametrize(("fields", "body", "framing"), VALID.values(), ids=list(VALID))
def test_response_with_unusual_framing_is_read_to_its_end(serve, fields, body, framing):
    """A repeated length made the body end with its connection, which stayed open."""
    connection = connect(serve(fields, body))
    connection.request("GET", "/", preload_content=False)
    response = connection.getresponse()
    assert response.read() == BODY
    assert connection.sock is not None
    assert response._original_response.framing is framing
    connection.close()


@pytest.mark.parametrize(("method", "status"), [("GET", "204 None"), ("HEAD", "200 OK")])
def test_response_without_a_body_may_state_any_length(serve, method, status):
    connection = connect(serve(("Content-Length: -1",), b"", status))
    connection.request(method, "/")
    assert connection.getresponse().data == b""
    connection.close()


def test_endpoint_with_invalid_framing_is_alive(serve):
    assert probe_endpoint(serve(INVALID["word"], BODY), TIME_S) is EndpointState.LISTENS
