"""Finds the end of a request's body in pieces of any size, without I/O (RFC 9112, section 7.1).

A decoder takes the bytes that have arrived from the front of a buffer and leaves what belongs to
the next request. Each line and each announced size has a limit that is checked before the bytes
are awaited, so that no more than a line is ever held.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

LINE_END = b"\r\n"
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?")


class FramingError(ValueError):
    """The end of a body cannot be known: its framing is malformed, or a line is too long."""


class BodyTooLongError(Exception):
    """A request body is longer than allowed."""


class Decoder(Protocol):
    """Takes a body from a buffer.

    :ivar is_complete: whether the body has ended
    """

    is_complete: bool

    def feed(self, buffer: bytearray, take: Callable[[bytes], object]) -> None:
        """Remove what belongs to the body from the front of a buffer.

        :param take: is called with each piece of the content
        :raises BodyTooLongError: if the body is longer than allowed
        :raises FramingError: if its end cannot be known
        """


class LengthDecoder:
    """Decodes a body of a known length.

    :param length: in bytes
    :param max_bytes: that the body may have
    """

    def __init__(self, length: int, max_bytes: int) -> None:
        self.left = length
        self.max_bytes = max_bytes

    @property
    def is_complete(self) -> bool:
        """Return whether the body has ended."""
        return not self.left

    def feed(self, buffer: bytearray, take: Callable[[bytes], object]) -> None:
        """Remove what belongs to the body from the front of a buffer.

        :raises BodyTooLongError: if the body is longer than allowed
        """
        if self.left > self.max_bytes:
            raise BodyTooLongError(f"body of {self.left} bytes exceeds {self.max_bytes}")
        data = _take(buffer, self.left)
        if data:
            self.left -= len(data)
            self.max_bytes -= len(data)
            take(data)


class ChunkState(Enum):
    """What is expected next of a chunked body."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILERS = auto()
    COMPLETE = auto()


class ChunkedDecoder:
    """Decodes a chunked body; its trailers are dropped.

    :param max_bytes: of content that the body may have
    :param max_line_bytes: that a chunk's size with its extensions may have, and that all trailers
        may have together
    """

    def __init__(self, max_bytes: int, max_line_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_line_bytes = max_line_bytes
        self.trailer_bytes = 0
        self.left = 0  # of the current chunk
        self.searched = 0  # bytes of the buffer in which no line ends
        self.state = ChunkState.SIZE
        self.steps = {
            ChunkState.SIZE: self._read_size,
            ChunkState.DATA: self._read_data,
            ChunkState.DATA_END: self._read_data_end,
            ChunkState.TRAILERS: self._read_trailer,
        }

    @property
    def is_complete(self) -> bool:
        """Return whether the body has ended, with its trailers."""
        return self.state is ChunkState.COMPLETE

    def feed(self, buffer: bytearray, take: Callable[[bytes], object]) -> None:
        """Remove what belongs to the body from the front of a buffer.

        :raises BodyTooLongError: if the body is longer than allowed, by the sizes of its chunks
        :raises FramingError: if its end cannot be known
        """
        while not self.is_complete and self.steps[self.state](buffer, take):
            pass

    def _read_size(self, buffer: bytearray, take: Callable[[bytes], object]) -> bool:
        line = self._take_line(buffer, self.max_line_bytes)
        if line is None:
            return False
        found = CHUNK_SIZE.fullmatch(line)
        if found is None:
            raise FramingError(f"malformed chunk size: {line[:40]!r}")
        self.left = int(found[1], 16)
        if self.left > self.max_bytes:
            raise BodyTooLongError(f"chunk of {self.left} bytes, {self.max_bytes} are left")
        self.max_bytes -= self.left
        self.state = ChunkState.DATA if self.left else ChunkState.TRAILERS
        return True

    def _read_data(self, buffer: bytearray, take: Callable[[bytes], object]) -> bool:
        data = _take(buffer, self.left)
        self.left -= len(data)
        if data:
            take(data)
        if not self.left:
            self.state = ChunkState.DATA_END
        return not self.left

    def _read_data_end(self, buffer: bytearray, take: Callable[[bytes], object]) -> bool:
        if len(buffer) < len(LINE_END):
            return False
        if not buffer.startswith(LINE_END):
            raise FramingError("a chunk is longer than its size")
        del buffer[: len(LINE_END)]
        self.state = ChunkState.SIZE
        return True

    def _read_trailer(self, buffer: bytearray, take: Callable[[bytes], object]) -> bool:
        line = self._take_line(buffer, self.max_line_bytes - self.trailer_bytes)
        if line is None:
            return False
        self.trailer_bytes += len(line) + len(LINE_END)
        if not line:
            self.state = ChunkState.COMPLETE
        return True

    def _take_line(self, buffer: bytearray, max_bytes: int) -> bytes | None:
        """Return the next line without its end, none if it has not arrived."""
        end = buffer.find(LINE_END, self.searched)
        if (end if end >= 0 else len(buffer)) > max_bytes:
            raise FramingError(f"a line of {self.state.name.lower()} exceeds {max_bytes} bytes")
        if end < 0:
            self.searched = max(0, len(buffer) - 1)  # its last byte may be half of a line end
            return None
        self.searched = 0
        line = _take(buffer, end)
        del buffer[: len(LINE_END)]
        return line


def _take(buffer: bytearray, max_bytes: int) -> bytes:
    """Remove up to as many bytes from the front of a buffer and return them."""
    with memoryview(buffer) as view:
        data = bytes(view[:max_bytes])
    del buffer[: len(data)]
    return data


__all__ = ["BodyTooLongError", "ChunkedDecoder", "Decoder", "FramingError", "LengthDecoder"]
