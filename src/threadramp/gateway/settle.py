"""Settles what became of a request, as far as it can be settled."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from threadramp.core.keys import KeyState
from threadramp.core.outcomes import OutcomeRecord, outcomes_key
from threadramp.platform.kv import KvUnavailableError
from threadramp.wire.messages import KeyAnswer, KeyQuery
from threadramp.wire.outcomes import DEFAULT_RETRY_AFTER_S, Outcome, Reason, Refusal, RefusedError

if TYPE_CHECKING:
    from threadramp.core.keys import Binding
    from threadramp.gateway.keys import KeyBinder
    from threadramp.gateway.state import GatewayState

QUERY_TIMEOUT_S = 1.0
_OUTCOMES = {
    KeyState.RAN.value: Outcome.RAN,
    KeyState.REFUSED.value: Outcome.NOT_RUN,
    KeyState.RUNNING.value: Outcome.UNKNOWN,
    KeyState.UNKNOWN.value: Outcome.UNKNOWN,
}


class Settlement(msgspec.Struct, frozen=True):
    """What is known of a request.

    :param state: the sidecar's word for it, ``unseen`` or ``gone``
    """

    outcome: str
    state: str
    endpoint: str


class Settler:
    """Asks the one sidecar that a key is bound to."""

    def __init__(self, state: GatewayState, binder: KeyBinder) -> None:
        self.state = state
        self.binder = binder

    def settle(self, key: str, pool: str) -> Settlement:
        """Return what is known.

        :param key: a ticket, or with ``pool`` a caller's own key
        :raises RefusedError: if nobody can be asked now
        """
        binding = self._binding(key, pool)
        endpoint = self.state.chain.get("endpoint", binding.endpoint)
        if endpoint is None:
            return self._gone(binding)
        address = endpoint.sidecar_sync
        query = KeyQuery(binding.key)
        reply = self.state.sync.exchange({address: query}, QUERY_TIMEOUT_S).get(address)
        if not isinstance(reply, KeyAnswer):
            raise _try_later("the sidecar that holds this key does not answer")
        if reply.incarnation != binding.incarnation:
            return self._gone(binding)
        if not reply.state:
            return Settlement(Outcome.UNKNOWN.value, "unseen", binding.endpoint)
        return Settlement(_OUTCOMES[reply.state].value, reply.state, binding.endpoint)

    def _binding(self, key: str, pool: str) -> Binding:
        if not pool:
            return self.binder.read_ticket(key, "")
        try:
            binding = self.binder.find(key, pool)
        except KvUnavailableError as error:
            raise _try_later("the key-value service does not answer") from error
        if binding is None:
            message = "no assignment of this key is known"
            raise RefusedError(Refusal.unknown(Reason.NOT_FOUND, message, DEFAULT_RETRY_AFTER_S))
        return binding

    def refusal_for_gone(self, binding: Binding) -> Refusal | None:
        """Return the definite word on a key whose sidecar has stopped, none if there is none."""
        try:
            settlement = self._gone(binding)
        except RefusedError:
            return None
        if settlement.outcome == Outcome.RAN.value:
            return Refusal(Reason.ANSWER_NOT_KEPT, Outcome.RAN, "it ran; its answer is not kept")
        if settlement.outcome == Outcome.NOT_RUN.value:
            return Refusal.not_run(
                Reason.INCARNATION_GONE, "its sidecar stopped without running it"
            )
        return None

    def _gone(self, binding: Binding) -> Settlement:
        """Look for the note that a planned stop leaves."""
        try:
            held = self.state.kv.get(outcomes_key(binding.endpoint, binding.incarnation))
        except KvUnavailableError as error:
            raise _try_later("the key-value service does not answer") from error
        if not held.value:
            return Settlement(Outcome.UNKNOWN.value, "gone", binding.endpoint)
        note = OutcomeRecord.from_bytes(held.value)
        state = note.state(binding.key)
        if state is None:
            return Settlement(Outcome.UNKNOWN.value, "gone", binding.endpoint)
        return Settlement(_OUTCOMES[state.value].value, state.value, binding.endpoint)


def _try_later(message: str) -> RefusedError:
    return RefusedError(Refusal.unknown(Reason.PLATFORM_OUT, message, DEFAULT_RETRY_AFTER_S))


__all__ = ["Settlement", "Settler"]
