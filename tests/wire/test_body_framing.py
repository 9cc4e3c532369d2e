"""The ends of bodies, however their bytes are split."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from threadramp.wire.body_framing import (
    BodyTooLongError,
    ChunkedDecoder,
    FramingError,
    LengthDecoder,
)

MAX_BYTES = 1_000
MAX_LINE = 64
NEXT = b"POST /next HTTP/1.1\r\n"


def decode(decoder, pieces) -> tuple[bytes, bytes]:
    """Feed pieces to a decoder; returns the body and what is left behind it."""
    buffer = bytearray()
    body = bytearray()
    for piece in pieces:
        buffer += piece
        decoder.feed(buffer, body.extend)
    return bytes(body), bytes(buffer)


def split(data: bytes, places: list[int]) -> list[bytes]:
    marks = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in zip(marks, marks[1:], strict=False)]


def chunked(chunks: list[bytes], extension: bytes = b"", trailers: bytes = b"") -> bytes:
    lines = [b"%x%b\r\n%b\r\n" % (len(one), extension, one) for one in chunks if one]
    return b"".join(lines) + b"0\r\n" + trailers + b"\r\n"


@given(
    st.lists(st.binary(max_size=100), max_size=9),
    st.sampled_from([b"", b";a", b' ; a="b"', b"\t;x"]),
    st.sampled_from([b"", b"X-A: 1\r\n", b"X-A: 1\r\nX-B: 2\r\n"]),
    st.lists(st.integers(0, 2_000)),
)
def test_a_chunked_body_is_found_however_it_is_split(chunks, extension, trailers, places):
    decoder = ChunkedDecoder(MAX_BYTES, MAX_LINE)
    data = chunked(chunks, extension, trailers) + NEXT
    body, left = decode(decoder, split(data, places))
    assert (body, left, decoder.is_complete) == (b"".join(chunks), NEXT, True)


@given(st.binary(max_size=500), st.lists(st.integers(0, 500)))
def test_a_body_of_known_length_is_found_however_it_is_split(data, places):
    decoder = LengthDecoder(len(data), MAX_BYTES)
    body, left = decode(decoder, split(data + NEXT, places))
    assert (body, left, decoder.is_complete) == (data, NEXT, True)


@given(st.lists(st.binary(min_size=1, max_size=50), min_size=1, max_size=5), st.integers(1, 10_000))
def test_a_body_that_was_cut_is_not_complete(chunks, place):
    data = chunked(chunks)
    decoder = ChunkedDecoder(MAX_BYTES, MAX_LINE)
    decode(decoder, [data[: place % len(data)]])
    assert not decoder.is_complete


@pytest.mark.parametrize(
    "line",
    [b"", b"g", b"-1", b"+1", b"0x1", b"1_0", b" 1", b"1 1", b"1\n", b"\xb2", b"1" * 17, b"1;a\nb"],
)
def test_a_malformed_chunk_size_is_refused(line):
    decoder = ChunkedDecoder(MAX_BYTES, MAX_LINE)
    with pytest.raises(FramingError):
        decode(decoder, [line + b"\r\n"])


def test_a_chunk_that_is_longer_than_its_size_is_refused():
    with pytest.raises(FramingError, match="longer than its size"):
        decode(ChunkedDecoder(MAX_BYTES, MAX_LINE), [b"2\r\nabc\r\n"])


# A line without an end was read as a whole.
@pytest.mark.parametrize("start", [b"5;", b"0\r\nX-Trailer: ", b"0\r\nX-A: 1\r\nX-B: "])
@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_a_line_without_end_is_refused_before_more_of_it_is_awaited(start, size):
    decoder = ChunkedDecoder(MAX_BYTES, MAX_LINE)
    buffer = bytearray(start)
    with pytest.raises(FramingError, match="exceeds"):
        while len(buffer) <= MAX_LINE + size:
            decoder.feed(buffer, len)
            buffer += b"x" * size


def test_all_trailers_together_are_bounded():
    decoder = ChunkedDecoder(MAX_BYTES, MAX_LINE)
    with pytest.raises(FramingError, match="trailers"):
        decode(decoder, [b"0\r\n", *([b"X-A: 1\r\n"] * (MAX_LINE // 8 + 1))])


def test_an_announced_size_is_refused_before_its_bytes_are_awaited():
    with pytest.raises(BodyTooLongError):
        decode(ChunkedDecoder(MAX_BYTES, MAX_LINE), [b"100000000\r\n"])
    with pytest.raises(BodyTooLongError):
        decode(ChunkedDecoder(MAX_BYTES, MAX_LINE), [b"3e8\r\n" + b"x" * 1_000 + b"\r\n1\r\n"])
    with pytest.raises(BodyTooLongError):
        LengthDecoder(MAX_BYTES + 1, MAX_BYTES).feed(bytearray(), len)


def test_a_body_of_the_largest_size_is_decoded():
    data = chunked([b"x" * 600, b"y" * 400])
    assert len(decode(ChunkedDecoder(MAX_BYTES, MAX_LINE), [data])[0]) == MAX_BYTES
    assert len(decode(LengthDecoder(MAX_BYTES, MAX_BYTES), [b"x" * MAX_BYTES])[0]) == MAX_BYTES
