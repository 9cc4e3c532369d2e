"""Keeps this process in the store's list of members, under a lease of its own."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from threadramp.fleet.picture import MEMBER_PREFIX
from threadramp.lots.model import encode
from threadramp.platform.store_model import LeaseGone, Put, StoreError, Transaction
from threadramp.policy.renewals import MIN_RENEWAL_S, RENEWALS_PER_LEASE
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.fleet.picture import Member
    from threadramp.platform.store import StoreClient

LEASE_S = 3.0  # the shortest: a dead process is noticed after this
RENEW_S = MIN_RENEWAL_S
WATCHER_RENEW_S = 0.4  # of a gateway that others follow: they must know that it has a way


class Membership:
    """Registers a member and renews its lease, which also shows whether the store answers."""

    def __init__(self, member: Member, store: StoreClient, lease_s: float) -> None:
        self.member = member
        self.store = store
        self.lease_s = max(LEASE_S, lease_s)
        self.lease = 0
        self.unlisted = threading.Event()
        self.stopped = threading.Event()
        self.woken = threading.Event()
        self.granted_s = 0.0
        self.renew_s: Callable[[], float] = lambda: RENEW_S

    def start(self) -> None:
        """Start registering."""
        start_loop(self._run, self.stopped)

    def not_listed(self) -> None:
        """Take note that the list of members lacks this one: it is written again."""
        self.unlisted.set()
        self.woken.set()

    def leave(self) -> None:
        """Take this process out of the list."""
        self.stopped.set()
        self.woken.set()
        if not self.lease:
            return
        try:
            self.store.end_lease(self.lease)
        except StoreError as error:  # the lease runs out by itself
            log_state("lease_not_ended", lease=self.lease, error=str(error))

    def pause_s(self) -> float:
        """Return the seconds until the next renewal, within the lease that is held."""
        return min(self.renew_s(), self.granted_s / RENEWALS_PER_LEASE or RENEW_S)

    def turn(self) -> None:
        """Renew the lease; grant one and write the entry where that is needed.

        :raises StoreError: if no answer came
        """
        wanted_s = max(self.lease_s, RENEWALS_PER_LEASE * self.renew_s())
        if wanted_s > self.granted_s:
            self.lease = 0  # the one that is held runs out by itself
        if self.lease and not self.store.renew_lease(self.lease):
            log_state("lease_over", lease=self.lease)
            self.lease = 0
        if self.lease and not self.unlisted.is_set():
            return
        if not self.lease:
            self.lease = self.store.grant_lease(wanted_s)
            self.granted_s = wanted_s
        self._write()

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.woken.clear()
            try:
                self.turn()
            except StoreError as error:
                log_state("membership_not_renewed", lease=self.lease, error=str(error))
            self.woken.wait(self.pause_s())

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
