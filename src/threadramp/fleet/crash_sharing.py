"""Shares which requests crash endpoints with the other gateways, and persists it in the store.

Gateways send updates to each other at once. The store holds what must survive restarts and reach
gateways that a peer cannot reach: suspects that are close to being refused, and every update that
a peer did not accept. It is stored beside the member list, which every gateway lists at its start
and watches anyway, so it costs no store calls on a day without crashes.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec

from threadramp.fleet.fleet_view import CRASHES_PREFIX, TRIALS_PREFIX
from threadramp.lots.model import encode
from threadramp.platform.store_model import (
    ABSENT,
    Committed,
    LeaseGone,
    Put,
    StoreError,
    Transaction,
)
from threadramp.policy.crash_tracker import RETENTION_S
from threadramp.policy.fingerprint import short_fingerprint
from threadramp.report.guard import start_loop
from threadramp.report.log import log_state
from threadramp.wire.crashes import CrashNews
from threadramp.wire.fleet import Believed, CrashesTold, Done, Fact

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.peers import Peers
    from threadramp.fleet.store_health import StoreHealth
    from threadramp.platform.store import StoreClient
    from threadramp.policy.crash_tracker import CrashTracker
    from threadramp.wire.crashes import Suspect
    from threadramp.wire.fleet import Acquit

BATCH_WINDOW_S = 0.02  # all requests of an endpoint break at once; they are sent in one message
SEND_TIMEOUT_S = 0.4
RETRY_INTERVAL_S = 1.0  # after a write that got no answer
EXPIRY_INTERVAL_S = 30.0  # how often old suspects are removed

decode_update = msgspec.msgpack.Decoder(CrashNews).decode


class CrashSharing:
    """Shares the crash records of one gateway.

    :param box: name under which this process stores its records
    """

    def __init__(
        self,
        tracker: CrashTracker,
        peers: Peers,
        store: StoreClient,
        health: StoreHealth,
        clock: Clock,
        box: str,
    ) -> None:
        self.tracker = tracker
        self.peers = peers
        self.store = store
        self.health = health
        self.clock = clock
        self.key = CRASHES_PREFIX + box
        self.lease = 0
        self.leased_at = 0.0
        self.persisted = CrashNews()
        self.undelivered: dict[bytes, Suspect] = {}
        self.pending = False
        self.entry_listed = False
        self.read_revisions: dict[str, int] = {}
        self.wake = threading.Event()
        self.stopped = threading.Event()
        tracker.on_update = self.wake.set
        peers.fleet_view.members.listeners.append(self.load_persisted)

    def start(self) -> None:
        """Start the sending thread."""
        start_loop(self._run, self.stopped)

    def receive(self, ask: CrashesTold) -> Done:
        """Merge the crash records that another gateway sent."""
        self._merge(ask.news, ask.sender)
        return Done()

    def acquit(self, ask: Acquit) -> Believed:
        """Clear a suspect request at all gateways on an operator's order."""
        found = self.tracker.find(ask.request)
        done = found is not None and self.tracker.record_success(
            found.fingerprint, self.clock.time_of_day()
        )
        log_state("suspect_cleared_by_operator", fingerprint=ask.request, done=done)
        status = "acquitted" if done else "nothing is held against it"
        return Believed((Fact("request", status, "an operator", None),))

    def claim_trial(self, fingerprint: bytes, trial: int) -> bool:
        """Return whether this process may run a trial; true for one process in the fleet.

        Without an answer of the store no process may.
        """
        if self.health.is_unreachable:
            return False
        key = f"{TRIALS_PREFIX}{fingerprint.hex()}/{trial}"
        try:
            put = Put(key, encode(self.peers.member.name), self._ensure_lease())
            answer = self.store.transact(Transaction(expected={key: ABSENT}, puts=(put,)))
        except StoreError as error:
            log_state(
                "trial_not_claimed", fingerprint=short_fingerprint(fingerprint), error=str(error)
            )
            return False
        if isinstance(answer, Committed):
            return True
        if isinstance(answer, LeaseGone):
            self.lease = 0
        else:  # another process claimed it
            self.tracker.record_trial(fingerprint, trial, self.clock.time_of_day())
        return False

    def run_once(self) -> None:
        """Send new records to peers, and persist those that must survive this process."""
        self.tracker.expire(self.clock.time_of_day())
        news = self.tracker.take_updates()
        if news and not self._send(news):
            self.undelivered |= {one.fingerprint: one for one in news.suspects}
        to_persist = self.tracker.records_to_persist()
        if self.undelivered or to_persist.suspects != self.persisted.suspects:
            self._persist(to_persist)

    def load_persisted(self) -> None:
        """Merge what other gateways, and this box before its restart, persisted in the store."""
        items = self.peers.fleet_view.members.snapshot()
        self._check_entry_listed(self.key in items)
        for key, item in items.items():
            if (
                not key.startswith(CRASHES_PREFIX)
                or self.read_revisions.get(key, 0) >= item.revision
            ):
                continue
            self.read_revisions[key] = item.revision
            try:
                news = decode_update(item.value)
            except msgspec.DecodeError as error:
                log_state("crashes_unreadable", key=key, revision=item.revision, error=str(error))
                continue
            self._merge(news, key.removeprefix(CRASHES_PREFIX))
            if key == self.key:
                self.tracker.restore_own(news)

    def _check_entry_listed(self, entry_listed: bool) -> None:
        """Write this box's records again if the store lost them, such as by a revoked lease."""
        was_listed, self.entry_listed = self.entry_listed, entry_listed
        if was_listed and not entry_listed and self.persisted:
            log_state("crashes_entry_missing", requests=len(self.persisted.suspects))
            self.persisted = CrashNews()
            self.lease = 0
            self.wake.set()

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.wake.wait(RETRY_INTERVAL_S if self.pending else EXPIRY_INTERVAL_S)
            self.wake.clear()
            self.stopped.wait(BATCH_WINDOW_S)
            self.run_once()

    def _merge(self, news: CrashNews, source: str) -> None:
        for fingerprint in self.tracker.merge(news, self.clock.time_of_day()):
            log_state(
                "suspect_refused", fingerprint=short_fingerprint(fingerprint), reported_by=source
            )

    def _send(self, news: CrashNews) -> bool:
        """Send updates to the other gateways; return whether all of them accepted them."""
        ask = CrashesTold(*self.peers.sender_fields, news)
        asks = {one.address: ask for one in self.peers.recent_gateways()}
        replies = self.peers.ask_all(asks, SEND_TIMEOUT_S) if asks else {}
        return len(replies) == len(asks)

    def _persist(self, to_persist: CrashNews) -> None:
        """Write this box's records to the store, including those that a peer did not accept."""
        named = {one.fingerprint for one in to_persist.suspects}
        rest = [one for key, one in self.undelivered.items() if key not in named]
        self.pending = True
        try:
            put = Put(
                self.key, encode(CrashNews((*to_persist.suspects, *rest))), self._ensure_lease()
            )
            answer = self.store.transact(Transaction(puts=(put,)), repeatable=True)
        except StoreError as error:
            log_state("crashes_not_persisted", requests=len(named) + len(rest), error=str(error))
            return
        if isinstance(answer, LeaseGone):
            self.lease = 0
            return
        self.pending = False
        self.undelivered.clear()
        self.persisted = to_persist
        log_state("crashes_persisted", requests=len(named) + len(rest))

    def _ensure_lease(self) -> int:
        """Return a lease with at least half of the retention time of suspects left.

        :raises StoreError: if no answer came
        """
        now = self.clock.now()
        if not self.lease or now - self.leased_at > RETENTION_S / 2:
            self.lease = self.store.grant_lease(RETENTION_S)
            self.leased_at = now
        return self.lease


__all__ = ["CrashSharing"]
