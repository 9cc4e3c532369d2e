"""Passes calls to the store through peers that have a way to it: gateways and sidecars.

All gateways may be cut from the store at once while the sidecars are not, and the other way round.
"""

from __future__ import annotations

from itertools import chain, zip_longest
from typing import TYPE_CHECKING

from threadramp.platform.store_model import StoreError
from threadramp.report.log import log_state
from threadramp.wire.fleet import CallStore, StoreAnswered

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.fleet.store_health import StoreHealth
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Call, RawAnswer
    from threadramp.wire.fleet import AnyReply

RELAY_TIMEOUT_S = 2.2  # a little longer than the call that is passed on
RELAY_TRIES = 4  # peers; one that is turned away as well says so at once


def relay_through(
    addresses: Iterable[str],
    ask: CallStore,
    send: Callable[[str, CallStore, float], AnyReply | None],
) -> RawAnswer | None:
    """Return the store's answer through the first peer that has one, none if none has.

    :param addresses: of peers, those that are tried first at the front
    :param send: sends one question to an address, with a time limit in seconds
    """
    for address, _ in zip(addresses, range(RELAY_TRIES), strict=False):
        reply = send(address, ask, RELAY_TIMEOUT_S)
        if isinstance(reply, StoreAnswered) and reply.answer is not None:
            log_state("store_call_relayed", path=_path(ask.call), through=address)
            return reply.answer
    return None


def in_turn(gateways: Iterable[str], sidecars: Iterable[str]) -> list[str]:
    """Return the addresses of both kinds in turn, since one kind may be cut off as a whole."""
    rows = zip_longest(gateways, sidecars)
    return [address for address in chain.from_iterable(rows) if address is not None]


class StoreCalls:
    """Calls to the store that peers pass through this process."""

    def __init__(self, store: StoreClient, health: StoreHealth) -> None:
        self.store = store
        self.health = health

    def answer(self, ask: CallStore) -> StoreAnswered:
        """Pass a call on; no answer if the store does not serve this process either."""
        if self.health.is_away:
            return StoreAnswered(None)
        try:
            answer = self.store.direct(ask.call)
        except StoreError as error:
            log_state("relay_failed", asker=ask.sender, error=str(error))
            return StoreAnswered(None)
        return StoreAnswered(None if answer.turned_away else answer)


def _path(call: Call) -> str:
    return call.path.partition("?")[0]


__all__ = ["StoreCalls", "in_turn", "relay_through"]
