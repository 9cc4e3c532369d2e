"""Passes calls to the store through peers that have a way to it: gateways and sidecars.

All gateways may be cut from the store at once while the sidecars are not, and the other way round.

A message that a cut holds up may arrive when its sender has long given it up, and a process that
stood still takes what came meanwhile as if it had just been sent. So whoever passes a write on does
so only with a mark that it has given out lately, by its own clock, and only once.
"""

from __future__ import annotations

import secrets
import threading
from itertools import chain, zip_longest
from typing import TYPE_CHECKING

from msgspec.structs import replace

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
READS = "GET"  # the method of calls that change nothing
MARK_BYTES = 8
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
        reply = _sent(address, ask, send)
        if isinstance(reply, StoreAnswered) and reply.answer is not None:
            log_state("store_call_relayed", path=_path(ask.call), through=address)
            return reply.answer
    return None


def in_turn(gateways: Iterable[str], sidecars: Iterable[str]) -> list[str]:
    """Return the addresses of both kinds in turn, since one kind may be cut off as a whole."""
    rows = zip_longest(gateways, sidecars)
    return [address for address in chain.from_iterable(rows) if address is not None]


class StoreRelay:
    """Calls to the store that peers pass through this process.

    :ivar marks: that were given out, with the moment until which each holds
    """

    def __init__(self, store: StoreClient, health: StoreHealth) -> None:
        self.store = store
        self.health = health
        self.lock = threading.Lock()
        self.marks: dict[str, float] = {}

    def answer(self, ask: CallStore) -> StoreAnswered:
        """Pass a call on; no answer if the store does not serve this process either."""
        if self.health.is_away:
            return StoreAnswered(None)
        if _needs_mark(ask) and not self._take_mark(ask):
            return StoreAnswered(None, self._give_mark())
        try:
            answer = self.store.direct(ask.call)
        except StoreError as error:
            log_state("relay_failed", asker=ask.sender, error=str(error))
            return StoreAnswered(None)
        return StoreAnswered(None if answer.turned_away else answer)

    def _give_mark(self) -> str:
        now = self.health.clock.now()
        mark = secrets.token_hex(MARK_BYTES)
        with self.lock:
            self.marks = {one: until for one, until in self.marks.items() if until >= now}
            self.marks[mark] = now + RELAY_TIMEOUT_S
        return mark

    def _take_mark(self, ask: CallStore) -> bool:
        """Return whether a write has a mark that holds; it does not any more after that."""
        with self.lock:
            until = self.marks.pop(ask.mark, None)
        if until is not None and self.health.clock.now() <= until:
            return True
        if ask.mark:
            log_state("relay_late", asker=ask.sender, path=_path(ask.call))
        return False


def _sent(
    address: str, ask: CallStore, send: Callable[[str, CallStore, float], AnyReply | None]
) -> AnyReply | None:
    """Send a call to a peer, a write with the mark that the peer gives for it."""
    if ask.call.method == READS:
        return send(address, ask, RELAY_TIMEOUT_S)
    reply = send(address, replace(ask, mark=""), RELAY_TIMEOUT_S)
    if isinstance(reply, StoreAnswered) and reply.mark:
        return send(address, replace(ask, mark=reply.mark), RELAY_TIMEOUT_S)
    return reply


def _needs_mark(ask: CallStore) -> bool:
    return ask.mark is not None and ask.call.method != READS


def _path(call: Call) -> str:
    return call.path.partition("?")[0]


__all__ = ["StoreRelay", "in_turn", "relay_through"]
