"""Bindings of idempotency keys: tickets, and assignments for callers' own keys."""

from __future__ import annotations

import base64
import binascii
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from threadramp.core.keys import Binding
from threadramp.gateway.state import now
from threadramp.platform.kv import ABSENT, KvUnavailableError
from threadramp.policy.routing import rendezvous
from threadramp.wire.outcomes import (
    DEFAULT_RETRY_AFTER_S,
    Reason,
    Refusal,
    RefusedError,
    bad_request,
)
from threadramp.wire.seal import digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from threadramp.core.membership import Member
    from threadramp.gateway.state import GatewayState

KEYS_PREFIX = "threadramp/keys/"
KEY_ATTEMPTS = 3
LEASE_SHARE = 1 / 24  # of the window, after which a new lease is granted; none is ever renewed
MAX_KEY_LENGTH = 256


@dataclass(frozen=True)
class HeldLease:
    """A lease that assignments of the next while go with."""

    lease: str
    granted: float


class KeyBinder:
    """Binds keys to sidecar incarnations."""

    def __init__(self, state: GatewayState) -> None:
        self.state = state
        self.lease: HeldLease | None = None

    def mint(self, pool: str) -> Binding:
        """Make a new key, bound to an available sidecar of the pool.

        :raises RefusedError: if the pool has none
        """
        members = _some(self.state.candidates(pool), pool)
        member = self.state.routing.choose(members, self.state.outstanding)
        return self._bind(secrets.token_hex(12), pool, member)

    def ticket(self, binding: Binding) -> str:
        """Return a binding as a signed text for the caller."""
        body = msgspec.msgpack.encode(binding)
        return base64.urlsafe_b64encode(self.state.seal.wrap(body)).decode()

    def read_ticket(self, text: str, pool: str) -> Binding:
        """Return the binding of a ticket.

        :raises RefusedError: if it is not one of this fleet's, or another pool's
        """
        try:
            body = self.state.seal.unwrap(base64.urlsafe_b64decode(text))
        except (binascii.Error, ValueError):
            body = None
        if body is None:
            raise bad_request("header X-Ticket", "not a ticket of this fleet")
        binding = msgspec.msgpack.decode(body, type=Binding)
        if pool and binding.pool != pool:
            raise bad_request("header X-Ticket", f"it is for pool {binding.pool!r}")
        return binding

    def assign(self, key: str, pool: str) -> Binding:
        """Return the binding of a caller's own key, by one atomic create.

        :raises RefusedError: if the key-value service does not answer or the budget is spent
        """
        if not 0 < len(key) <= MAX_KEY_LENGTH:
            raise bad_request("header Idempotency-Key", f"1 to {MAX_KEY_LENGTH} characters")
        if self.state.configuration.regressed:
            message = "the key-value service has forgotten writes; an operator has to confirm"
            raise _refused(Reason.KEYS_SUSPENDED, message)
        if not self.state.key_writes.take(now()):
            message = "the budget of key writes is spent"
            raise _refused(Reason.WRITE_BUDGET, message)
        name = f"{pool}/{key}"
        # Not by region: every gateway has to choose the same sidecar for a key, so that a resend
        # meets the one that may have run it even if the service has lost the assignment.
        available = _some(self.state.available(pool), pool)
        members = {member.name: member for member in available}
        member = members[rendezvous(name, list(members))[0]]
        wanted = self._bind(name, pool, member)
        for _ in range(KEY_ATTEMPTS):
            try:
                return self._create(wanted)
            except KvUnavailableError:
                self.state.metrics.count("kv_unavailable", "keys")
        message = "the key-value service does not answer"
        raise _refused(Reason.PLATFORM_OUT, message)

    def find(self, key: str, pool: str) -> Binding | None:
        """Return the assignment of a caller's own key, none if there seems to be none.

        :raises KvUnavailableError: if the key-value service does not answer
        """
        held = self.state.kv.get(_assignment_key(f"{pool}/{key}"))
        return msgspec.json.decode(held.value, type=Binding) if held.value else None

    def _create(self, wanted: Binding) -> Binding:
        """Create the assignment or take the one that is there; repeating it is safe."""
        value = msgspec.json.encode(wanted)
        key = _assignment_key(wanted.key)
        result = self.state.kv.swap(key, ABSENT, value, self._lease())
        return msgspec.json.decode(result.current.value, type=Binding)

    def _lease(self) -> str:
        """Return a lease of at least the window's length; nobody has to keep it alive."""
        window_s = self.state.settings.key_window_s
        held = self.lease
        if held is None or now() - held.granted > window_s * LEASE_SHARE:
            asked = now()  # before the call, since this process may pause during it
            lease = self.state.kv.lease(window_s * (1 + 2 * LEASE_SHARE))
            held = HeldLease(lease, asked)
            self.lease = held
        return held.lease

    def _bind(self, key: str, pool: str, member: Member) -> Binding:
        return Binding(key, pool, member.name, member.report.incarnation, member.report.epoch)


def _some(members: Sequence[Member], pool: str) -> Sequence[Member]:
    if not members:
        raise _refused(Reason.NO_ENDPOINT, f"no endpoint of pool {pool!r} takes calls")
    return members


def _refused(reason: Reason, message: str) -> RefusedError:
    return RefusedError(Refusal.not_run(reason, message, DEFAULT_RETRY_AFTER_S))


def _assignment_key(name: str) -> str:
    return KEYS_PREFIX + digest(name.encode())


__all__ = ["KeyBinder"]
