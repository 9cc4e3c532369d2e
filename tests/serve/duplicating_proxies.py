"""Serves the endpoints of a fleet behind reverse proxies that can send duplicate responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.platform.standins.endpoint import PlatformEngine
from threadramp.platform.standins.framing import FramingFront

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.standins.server import StandIn


def serve_behind_duplicating_proxy(
    serve: Callable[[StandIn], str], proxies: list[FramingFront], seed: int
) -> Callable[[StandIn], str]:
    """Wrap ``serve`` so that endpoints are served behind a reverse proxy.

    :param proxies: list to which the created reverse proxies are appended
    :param seed: of the random choices of the reverse proxies
    """

    def start(standin: StandIn) -> str:
        address = serve(standin)
        if not isinstance(standin, PlatformEngine):
            return address
        proxies.append(FramingFront(address, seed=seed))
        return proxies[-1].address

    return start


__all__ = ["serve_behind_duplicating_proxy"]
