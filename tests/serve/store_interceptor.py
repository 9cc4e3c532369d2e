"""Intercepts the requests to the store of a fleet: observes reads and refuses listings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.standins.server import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.platform.standins.store import PlatformStore
    from threadramp.standins.server import Request

READ, LIST = "kv-key", "kv-range"


class StoreInterceptor:
    """Reports each read of a key before its response is sent, and refuses some listings.

    :param store: whose requests are intercepted from now on
    """

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.read_callbacks: list[Callable[[str, bytes], None]] = []
        # Prefixes whose listings are refused, one entry for each active fault (with duplicates).
        self.refused_prefixes: list[str] = []
        self.original_read = store.calls_by_name[READ]
        self.original_list = store.calls_by_name[LIST]
        store.calls_by_name |= {READ: self._read, LIST: self._list}

    def _read(self, request: Request) -> Response:
        key = request.query["key"]
        response = self.original_read(request)
        for callback in list(self.read_callbacks):
            callback(key, response.body)
        return response

    def _list(self, request: Request) -> Response:
        if request.query.get("pathPrefix", "") in self.refused_prefixes:
            return Response(503)
        return self.original_list(request)


__all__ = ["StoreInterceptor"]
