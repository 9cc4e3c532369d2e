"""Relays calls to the store through peers that can reach it: gateways and sidecars.

All gateways may be disconnected from the store at once while the sidecars are not, and vice versa.

A message that a network cut delays may arrive long after its sender has given up, and a process
that was suspended handles what arrived meanwhile as if it had just been sent. So a relay passes on
a write only with a one-time token that it issued recently by its own clock.
"""

from __future__ import annotations

import secrets
import threading
from itertools import chain, zip_longest
from typing import TYPE_CHECKING

from msgspec.structs import replace

from threadramp.platform.store_model import StoreError, StoreUnknownError
from threadramp.report.log import log_state
from threadramp.wire.fleet import CallStore, StoreAnswered

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.fleet.store_health import StoreHealth
    from threadramp.platform.store import StoreClient
    from threadramp.platform.store_model import Call, RawAnswer
    from threadramp.wire.fleet import AnyReply

RELAY_TIMEOUT_S = 2.2  # a little longer than the relayed call
READ_METHOD = "GET"  # method of calls that change nothing
TOKEN_BYTES = 8
MAX_RELAY_ATTEMPTS = 4  # a peer that the store refuses as well replies at once


def relay_through(
    addresses: Iterable[str],
    ask: CallStore,
    send: Callable[[str, CallStore, float], AnyReply | None],
) -> RawAnswer | None:
    """Return the store's answer from the first peer that gets one, none if no peer does.

    :param addresses: addresses of peers, in the order in which they are tried
    :param send: sends one request to an address, with a timeout in seconds
    """
    for address, _ in zip(addresses, range(MAX_RELAY_ATTEMPTS), strict=False):
        reply = _send_call(address, ask, send)
        if isinstance(reply, StoreAnswered) and reply.answer is not None:
            log_state("store_call_relayed", path=_path(ask.call), key=ask.call.key, through=address)
            return reply.answer
        if ask.call.key:
            log_state(
                "store_call_not_relayed",
                key=ask.call.key,
                through=address,
                reply="none" if reply is None else "without an answer",
            )
    return None


def interleave(gateways: Iterable[str], sidecars: Iterable[str]) -> list[str]:
    """Return the addresses of both kinds alternately: one kind may be disconnected as a whole."""
    rows = zip_longest(gateways, sidecars)
    return [address for address in chain.from_iterable(rows) if address is not None]


class StoreRelay:
    """Relays calls to the store for peers.

    :ivar tokens: issued one-time tokens, with the time at which each expires
    """

    def __init__(self, store: StoreClient, health: StoreHealth) -> None:
        self.store = store
        self.health = health
        self.lock = threading.Lock()
        self.tokens: dict[str, float] = {}

    def answer(self, ask: CallStore) -> StoreAnswered:
        """Relay a call; reply without an answer if this process cannot reach the store either."""
        if self.health.is_unreachable:
            return StoreAnswered(None)
        if _needs_token(ask) and not self._consume_token(ask):
            return StoreAnswered(None, self._issue_token())
        try:
            answer = self.store.direct(ask.call)
        except StoreError as error:
            log_state(
                "relay_failed",
                asker=ask.sender,
                key=ask.call.key,
                may_be_done=isinstance(error, StoreUnknownError),
                error=str(error),
            )
            return StoreAnswered(None)
        return StoreAnswered(None if answer.turned_away else answer)

    def _issue_token(self) -> str:
        now = self.health.clock.now()
        token = secrets.token_hex(TOKEN_BYTES)
        with self.lock:
            self.tokens = {one: until for one, until in self.tokens.items() if until >= now}
            self.tokens[token] = now + RELAY_TIMEOUT_S
        return token

    def _consume_token(self, ask: CallStore) -> bool:
        """Return whether a write has a valid token, which is used up by this."""
        with self.lock:
            until = self.tokens.pop(ask.mark, None)
        if until is not None and self.health.clock.now() <= until:
            return True
        if ask.mark:
            log_state("relay_token_rejected", asker=ask.sender, path=_path(ask.call))
        return False


def _send_call(
    address: str, ask: CallStore, send: Callable[[str, CallStore, float], AnyReply | None]
) -> AnyReply | None:
    """Send a call to a peer, a write with the token that the peer issues for it."""
    if ask.call.method == READ_METHOD:
        return send(address, ask, RELAY_TIMEOUT_S)
    reply = send(address, replace(ask, mark=""), RELAY_TIMEOUT_S)
    if isinstance(reply, StoreAnswered) and reply.mark:
        return send(address, replace(ask, mark=reply.mark), RELAY_TIMEOUT_S)
    return reply


def _needs_token(ask: CallStore) -> bool:
    return ask.mark is not None and ask.call.method != READ_METHOD


def _path(call: Call) -> str:
    return call.path.partition("?")[0]


__all__ = ["StoreRelay", "interleave", "relay_through"]
