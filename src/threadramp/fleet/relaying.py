"""Relays calls to the store through peers that can reach it: gateways and sidecars.

All gateways may be disconnected from the store at once while the sidecars are not, and vice versa.

A message that a network cut delays may arrive long after its sender has given up, and a process
that was suspended handles what arrived meanwhile as if it had just been sent. So a relay passes on
a write only with a one-time token that it issued recently by its own clock.
"""

from __future__ import annotations

import secrets
import threading
from enum import Enum
from itertools import chain, zip_longest
from typing import TYPE_CHECKING

from msgspec.structs import replace

from threadramp.platform.call_attempts import CallAttempts
from threadramp.platform.store_model import StoreError, StoreRefusedError, StoreUnknownError
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


class TokenState(Enum):
    """What a relay knows of the token that a write carries.

    The messages between processes are delivered again after a reconnect. A copy of a write that was
    passed on has a token that is used up, or that an earlier process at this address issued, so an
    unknown token does not tell that the write was not done.
    """

    VALID = "valid"
    NONE = "none"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


def relay_through(
    addresses: Iterable[str],
    ask: CallStore,
    send: Callable[[str, CallStore, float], AnyReply | None],
) -> RawAnswer:
    """Return the store's answer from the first peer that gets one.

    :param addresses: addresses of peers, in the order in which they are tried
    :param send: sends one request to an address, with a timeout in seconds
    :raises StoreRefusedError: if no peer had the call done
    :raises StoreUnknownError: if a peer may have; one that may not be repeated is not sent again
    """
    attempts = CallAttempts()
    for address, _ in zip(addresses, range(MAX_RELAY_ATTEMPTS), strict=False):
        try:
            answer = _send_call(address, ask, send)
        except StoreError as error:
            attempts.record(error)
            _log_not_relayed(ask, address, error)
            if attempts.may_be_done and not ask.call.repeatable:
                break
        else:
            log_state("store_call_relayed", path=_path(ask.call), key=ask.call.key, through=address)
            return answer
    raise attempts.failure() if attempts.errors else StoreRefusedError("not sent: no peer to ask")


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
        token = self._consume_token(ask) if _needs_token(ask) else TokenState.VALID
        if self.health.is_unreachable:
            return StoreAnswered(None, not_done=token is not TokenState.UNKNOWN)
        if token is not TokenState.VALID:
            return StoreAnswered(
                None, self._issue_token(), not_done=token is not TokenState.UNKNOWN
            )
        try:
            return StoreAnswered(self.store.direct(ask.call).checked())
        except StoreError as error:
            not_done = isinstance(error, StoreRefusedError)
            log_state(
                "relay_failed",
                asker=ask.sender,
                key=ask.call.key,
                may_be_done=not not_done,
                error=str(error),
            )
            return StoreAnswered(None, not_done=not_done)

    def _issue_token(self) -> str:
        now = self.health.clock.now()
        token = secrets.token_hex(TOKEN_BYTES)
        with self.lock:
            self.tokens = {one: until for one, until in self.tokens.items() if until >= now}
            self.tokens[token] = now + RELAY_TIMEOUT_S
        return token

    def _consume_token(self, ask: CallStore) -> TokenState:
        """Return the state of a write's token, which is used up by this."""
        if not ask.mark:
            return TokenState.NONE
        with self.lock:
            until = self.tokens.pop(ask.mark, None)
        if until is None:
            state = TokenState.UNKNOWN
        else:
            expired = self.health.clock.now() > until
            state = TokenState.EXPIRED if expired else TokenState.VALID
        if state is not TokenState.VALID:
            log_state(
                "relay_token_rejected",
                asker=ask.sender,
                path=_path(ask.call),
                key=ask.call.key,
                token=state.value,
            )
        return state


def _send_call(
    address: str, ask: CallStore, send: Callable[[str, CallStore, float], AnyReply | None]
) -> RawAnswer:
    """Send a call to a peer, a write with the token that the peer issues for it.

    :raises StoreRefusedError: if the peer did not have it done
    :raises StoreUnknownError: if the peer may have, or may do so once it runs again
    """
    if ask.call.method == READ_METHOD:
        return _answer_in(send(address, ask, RELAY_TIMEOUT_S), address)
    reply = send(address, replace(ask, mark=""), RELAY_TIMEOUT_S)
    if reply is None:  # the peer passes a write on only with the token that it issues
        raise StoreRefusedError(f"not sent: {address} issued no token")
    if isinstance(reply, StoreAnswered) and reply.mark:
        reply = send(address, replace(ask, mark=reply.mark), RELAY_TIMEOUT_S)
    return _answer_in(reply, address)


def _answer_in(reply: AnyReply | None, address: str) -> RawAnswer:
    """Return the store's answer in a peer's reply.

    :raises StoreRefusedError: if the peer says that the call was not done
    :raises StoreUnknownError: if there is no reply, or it does not say so
    """
    if not isinstance(reply, StoreAnswered):
        raise StoreUnknownError(f"no reply of {address}, which was to pass the call on")
    if reply.answer is not None:
        return reply.answer.checked()
    if reply.not_done:
        raise StoreRefusedError(f"{address} did not pass the call on, or the store refused it")
    raise StoreUnknownError(f"{address} passed the call on and got no answer")


def _log_not_relayed(ask: CallStore, address: str, error: StoreError) -> None:
    """Log a write that a peer got no answer for; reads are too many."""
    if ask.call.key:
        log_state(
            "store_call_not_relayed",
            key=ask.call.key,
            through=address,
            may_be_done=isinstance(error, StoreUnknownError),
            error=str(error),
        )


def _needs_token(ask: CallStore) -> bool:
    return ask.mark is not None and ask.call.method != READ_METHOD


def _path(call: Call) -> str:
    return call.path.partition("?")[0]


__all__ = ["StoreRelay", "interleave", "relay_through"]
