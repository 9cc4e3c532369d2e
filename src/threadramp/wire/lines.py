"""Reads a streamed response line by line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.response_limits import MAX_EVENT_BYTES, EndlessResponseError, Part

if TYPE_CHECKING:
    from collections.abc import Iterator

    from urllib3 import BaseHTTPResponse

BLOCK_BYTES = 65_536


def response_lines(
    response: BaseHTTPResponse, max_line_bytes: int = MAX_EVENT_BYTES
) -> Iterator[bytes]:
    """Yield each complete line without its line ending; an incomplete last line is dropped.

    :raises EndlessResponseError: if a line is too long
    """
    rest = b""
    for block in response.stream(BLOCK_BYTES):
        *lines, rest = (rest + block).split(b"\n")
        if len(rest) > max_line_bytes:
            raise EndlessResponseError(Part.EVENT, False, len(rest))
        yield from (line.rstrip(b"\r") for line in lines)


__all__ = ["response_lines"]
