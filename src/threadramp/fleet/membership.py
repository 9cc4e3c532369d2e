"""Keeps this process in the member list of the store, under its own lease."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.clock import steady_s
from threadramp.fleet.fleet_view import MEMBER_PREFIX
from threadramp.lots.model import encode
from threadramp.platform.store_model import LeaseGone, Put, StoreError, Transaction
from threadramp.policy.renewals import MIN_RENEWAL_S, RENEWALS_PER_LEASE
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.fleet_view import Member
    from threadramp.platform.store import StoreClient

LEASE_S = 3.0  # shortest lease: a dead process is noticed after this time
RENEW_S = MIN_RENEWAL_S
WATCHER_RENEW_S = 0.4  # of a gateway that others follow: they must know that it can reach the store


class Membership:
    """Registers a member and renews its lease, which also probes the store."""

    def __init__(self, member: Member, store: StoreClient, lease_s: float) -> None:
        self.member = member
        self.store = store
        self.lease_s = max(LEASE_S, lease_s)
        self.lease = 0
        self.unlisted = threading.Event()
        self.stopped = threading.Event()
        self.wake = threading.Event()
        self.lease_ttl_s = 0.0
        self.renewed_at = float("-inf")
        self.renew_s: Callable[[], float] = lambda: RENEW_S

    def start(self) -> None:
        """Start the registration thread."""
        start_loop(self._run, self.stopped)

    def is_listed(self, now: float) -> bool:
        """Return whether the store is sure to list this member now, by its lease."""
        return bool(self.lease) and now - self.renewed_at < self.lease_ttl_s

    def mark_unlisted(self) -> None:
        """Write this member's entry again because the member list lacks it."""
        self.unlisted.set()
        self.wake.set()

    def leave(self) -> None:
        """Remove this process from the member list."""
        self.stopped.set()
        self.wake.set()
        if not self.lease:
            return
        try:
            self.store.end_lease(self.lease)
        except StoreError as error:  # the lease expires by itself
            log_state("lease_not_revoked", lease=self.lease, error=str(error))

    def renewal_interval_s(self) -> float:
        """Return the seconds until the next renewal, within the time to live of the lease."""
        return min(self.renew_s(), self.lease_ttl_s / RENEWALS_PER_LEASE or RENEW_S)

    def run_once(self) -> None:
        """Renew the lease; if necessary, request a new one and write the entry.

        :raises StoreError: if no answer came
        """
        wanted_s = max(self.lease_s, RENEWALS_PER_LEASE * self.renew_s())
        if wanted_s > self.lease_ttl_s:
            self.lease = 0  # the present lease expires by itself
        asked_at = steady_s()
        if self.lease and not self.store.renew_lease(self.lease):
            log_state("lease_expired", lease=self.lease)
            self.lease = 0
        if self.lease and not self.unlisted.is_set():
            self.renewed_at = asked_at
            return
        if not self.lease:
            self.lease = self.store.grant_lease(wanted_s)
            self.lease_ttl_s = wanted_s
        self._write()
        self.renewed_at = asked_at

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.wake.clear()
            try:
                self.run_once()
            except StoreError as error:
                log_state("membership_not_renewed", lease=self.lease, error=str(error))
            self.wake.wait(self.renewal_interval_s())

    def _write(self) -> None:
        put = Put(MEMBER_PREFIX + self.member.name, encode(self.member), self.lease)
        self.unlisted.clear()
        answer = self.store.transact(Transaction(puts=(put,)), repeatable=True)
        if isinstance(answer, LeaseGone):
            self.lease = 0
            self.unlisted.set()
            return
        log_state("member_written", member=self.member.name, lease=self.lease)


__all__ = ["RENEW_S", "WATCHER_RENEW_S", "Membership"]
