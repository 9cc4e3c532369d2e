"""Compression of messages."""

from __future__ import annotations

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from threadramp.wire import packing
from threadramp.wire.packing import PACK_BYTES, Packing


@given(st.binary(max_size=4 * PACK_BYTES))
def test_a_packed_body_is_unpacked_unchanged(body):
    assert Packing().unwrap(Packing().wrap(body)) == body


def test_long_messages_are_compressed_and_short_ones_are_not():
    text = b"the same words again and again " * 100
    assert len(Packing().wrap(text)) < len(text) / 2
    assert len(Packing().wrap(b"short")) == len(b"short") + 1


@pytest.mark.parametrize(
    "message",
    [b"", b"\x02abc", b"\x01abc", b"\x01" + zlib.compress(b"x" * 5000)[:-3],
     b"\x01" + zlib.compress(b"x") + b"more"],
)  # fmt: skip
def test_invalid_messages_are_rejected(message):
    assert Packing().unwrap(message) is None


def test_a_message_that_unpacks_to_too_many_bytes_is_rejected(monkeypatch):
    monkeypatch.setattr(packing, "MAX_BYTES", 10_000)
    assert Packing().unwrap(b"\x01" + zlib.compress(b"x" * 20_000)) is None
