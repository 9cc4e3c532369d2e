"""Client of the platform's box list."""

from __future__ import annotations

import msgspec
from urllib3.exceptions import HTTPError

from threadramp.wire.response_limits import BoundedPool, bounded_pool_manager

TIMEOUT_S = 2.0


class BoxEntry(msgspec.Struct, frozen=True):
    """One box: its address and whether it is live or leaving."""

    address: str
    state: str


class BoxListClient:
    """Reads the box list, which lags behind reality.

    :param base: ``http://ip:port``
    """

    def __init__(self, base: str) -> None:
        self.base = base.rstrip("/")
        self.pool = bounded_pool_manager(BoundedPool, retries=False)

    def leaving(self) -> frozenset[str] | None:
        """Return the addresses of leaving boxes, or none if the list did not answer."""
        try:
            response = self.pool.request("GET", f"{self.base}/boxes", timeout=TIMEOUT_S)
            boxes = msgspec.json.decode(response.data, type=list[BoxEntry])
        except (HTTPError, msgspec.DecodeError):
            return None
        return frozenset(box.address for box in boxes if box.state == "leaving")


__all__ = ["BoxEntry", "BoxListClient"]
