"""Decides how many bytes of responses a process holds while it reads them.

The load that it answers: servers in trouble that send bytes without end, several at once, to a
process that is ended if it exceeds its memory limit. The rule is the dynamic threshold of switches
with shared buffers (Choudhury and Hahne, 1998): a response may hold as much as is still free. The
responses that grow most are ended first, and there is always room for another one.
"""

from __future__ import annotations

import threading

# Part of the memory limit of a process. The process itself needs 50 to 60 MB, responses that their
# callers read slowly another quarter, and a response is held twice while its parts are joined.
READ_SHARE = 0.125
DEFAULT_MAX_BYTES = 32_000_000
ALWAYS_HELD_BYTES = 65_536  # of each response, so that common ones never depend on the others


def max_read_bytes(memory_mb: int) -> int:
    """Return how many bytes a process may hold of responses that it is reading."""
    return int(memory_mb * 1_000_000 * READ_SHARE)


class ResponseBuffers:
    """Counts what is held of all responses; its methods may be called from any thread.

    :param max_bytes: of all responses together, beyond the part that each may hold in any case
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held = 0
        self.lock = threading.Lock()

    @property
    def max_response_bytes(self) -> int:
        """Return the size of the largest response that fits if no others are read."""
        return self.max_bytes // 2 + ALWAYS_HELD_BYTES

    def grow(self, before: int, size: int) -> bool:
        """Count that a response grows from one size to another; false if it may not.

        :param before: bytes that it holds, all counted by earlier calls
        """
        counted, wanted = _counted(before), _counted(size)
        if counted == wanted:
            return True
        with self.lock:
            held = self.held + wanted - counted
            if wanted > self.max_bytes - held:
                return False
            self.held = held
            return True

    def release(self, size: int) -> None:
        """Count that a response of this size is no longer being read."""
        with self.lock:
            self.held -= _counted(size)


def _counted(size: int) -> int:
    return max(0, size - ALWAYS_HELD_BYTES)


__all__ = ["ALWAYS_HELD_BYTES", "ResponseBuffers", "max_read_bytes"]
