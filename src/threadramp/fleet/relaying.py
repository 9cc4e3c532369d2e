"""Passes calls to the store through gateways that have a way to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.report.log import log_state
from threadramp.wire.fleet import CallStore, StoreAnswered

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from threadramp.platform.store_model import Call, RawAnswer
    from threadramp.wire.fleet import AnyReply

RELAY_TIMEOUT_S = 2.2  # a little longer than the call that is passed on
RELAY_TRIES = 4  # gateways; one that is turned away as well says so at once


def relay_through(
    addresses: Iterable[str],
    ask: CallStore,
    send: Callable[[str, CallStore, float], AnyReply | None],
) -> RawAnswer | None:
    """Return the store's answer through the first gateway that has one, none if none has.

    :param addresses: of gateways, those that are tried first at the front
    :param send: sends one question to an address, with a time limit in seconds
    """
    for address, _ in zip(addresses, range(RELAY_TRIES), strict=False):
        reply = send(address, ask, RELAY_TIMEOUT_S)
        if isinstance(reply, StoreAnswered) and reply.answer is not None:
            log_state("store_call_relayed", path=_path(ask.call), through=address)
            return reply.answer
    return None


def _path(call: Call) -> str:
    return call.path.partition("?")[0]


__all__ = ["relay_through"]
