"""Reads a streamed response line by line."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from urllib3 import BaseHTTPResponse

BLOCK_BYTES = 65_536


def response_lines(response: BaseHTTPResponse) -> Iterator[bytes]:
    """Yield each complete line without its line ending; an incomplete last line is dropped."""
    rest = b""
    for block in response.stream(BLOCK_BYTES):
        *lines, rest = (rest + block).split(b"\n")
        yield from (line.rstrip(b"\r") for line in lines)


__all__ = ["response_lines"]
