"""Tells the other gateways under which requests endpoints ended, and keeps it beyond this process.

Gateways tell each other at once. The store has what outlasts them and reaches those that a peer
can not tell: what is near a verdict, and all that a peer did not take. It lies beside the list of
members, which every gateway lists at its start and hears of already, so it costs no call on a day
on which nothing ends.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import msgspec

from threadramp.fleet.picture import CRASHES_PREFIX, TRIALS_PREFIX
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

GATHER_S = 0.02  # all requests of an endpoint break at once; they go in one message
TELL_TIMEOUT_S = 0.4
KEEP_AGAIN_S = 1.0  # after a write that brought no answer
LOOK_S = 30.0  # how often what is old is forgotten

decode_news = msgspec.msgpack.Decoder(CrashNews).decode


class CrashSharing:
    """Shares the book of one gateway.

    :param box: name under which this process keeps its part in the store
    """

    def __init__(
        self,
        book: CrashTracker,
        peers: Peers,
        store: StoreClient,
        health: StoreHealth,
        clock: Clock,
        box: str,
    ) -> None:
        self.book = book
        self.peers = peers
        self.store = store
        self.health = health
        self.clock = clock
        self.key = CRASHES_PREFIX + box
        self.lease = 0
        self.leased_at = 0.0
        self.kept = CrashNews()
        self.untaken: dict[bytes, Suspect] = {}
        self.pending = False
        self.is_listed = False
        self.read: dict[str, int] = {}
        self.woken = threading.Event()
        self.stopped = threading.Event()
        book.on_update = self.woken.set
        peers.picture.members.listeners.append(self.read_kept)

    def start(self) -> None:
        """Start telling."""
        start_loop(self._run, self.stopped)

    def heard(self, ask: CrashesTold) -> Done:
        """Take over what another gateway saw."""
        self._merge(ask.news, ask.sender)
        return Done()

    def acquit(self, ask: Acquit) -> Believed:
        """Let a request go on, at all gateways, because an operator says so."""
        found = self.book.find(ask.request)
        done = found is not None and self.book.record_success(
            found.fingerprint, self.clock.time_of_day()
        )
        log_state("acquitted_by_operator", fingerprint=ask.request, done=done)
        told = "acquitted" if done else "nothing is held against it"
        return Believed((Fact("request", told, "an operator", None),))

    def claim(self, fingerprint: bytes, trial: int) -> bool:
        """Return whether this process may make a trial; of all processes one is told so.

        Where the store does not tell, nobody may.
        """
        if self.health.is_away:
            return False
        key = f"{TRIALS_PREFIX}{fingerprint.hex()}/{trial}"
        try:
            put = Put(key, encode(self.peers.member.name), self._granted())
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
        else:  # another one has it
            self.book.record_trial(fingerprint, trial, self.clock.time_of_day())
        return False

    def turn(self) -> None:
        """Tell what is new, and keep what has to outlast this process."""
        self.book.expire(self.clock.time_of_day())
        news = self.book.take_updates()
        if news and not self._tell(news):
            self.untaken |= {one.fingerprint: one for one in news.suspects}
        wanted = self.book.records_to_persist()
        if self.untaken or wanted.suspects != self.kept.suspects:
            self._keep(wanted)

    def read_kept(self) -> None:
        """Take over what other gateways, and this box before its last start, kept in the store."""
        items = self.peers.picture.members.snapshot()
        self._check_listed(self.key in items)
        for key, item in items.items():
            if not key.startswith(CRASHES_PREFIX) or self.read.get(key, 0) >= item.revision:
                continue
            self.read[key] = item.revision
            try:
                news = decode_news(item.value)
            except msgspec.DecodeError as error:
                log_state("crashes_unreadable", key=key, revision=item.revision, error=str(error))
                continue
            self._merge(news, key.removeprefix(CRASHES_PREFIX))
            if key == self.key:
                self.book.restore_own(news)

    def _check_listed(self, is_listed: bool) -> None:
        """Write this box's part again where the store has lost it; its lease may be taken away."""
        was_listed, self.is_listed = self.is_listed, is_listed
        if was_listed and not is_listed and self.kept:
            log_state("crashes_not_listed", requests=len(self.kept.suspects))
            self.kept = CrashNews()
            self.lease = 0
            self.woken.set()

    def _run(self) -> None:
        while not self.stopped.is_set():
            self.woken.wait(KEEP_AGAIN_S if self.pending else LOOK_S)
            self.woken.clear()
            self.stopped.wait(GATHER_S)
            self.turn()

    def _merge(self, news: CrashNews, source: str) -> None:
        for fingerprint in self.book.merge(news, self.clock.time_of_day()):
            log_state(
                "refused_from_now", fingerprint=short_fingerprint(fingerprint), told_by=source
            )

    def _tell(self, news: CrashNews) -> bool:
        """Tell the other gateways; true if all of them took it."""
        ask = CrashesTold(*self.peers.myself, news)
        asks = {one.address: ask for one in self.peers.gateways_lately()}
        replies = self.peers.ask_all(asks, TELL_TIMEOUT_S) if asks else {}
        return len(replies) == len(asks)

    def _keep(self, wanted: CrashNews) -> None:
        """Write this box's part to the store, with what a peer did not take."""
        named = {one.fingerprint for one in wanted.suspects}
        rest = [one for key, one in self.untaken.items() if key not in named]
        self.pending = True
        try:
            put = Put(self.key, encode(CrashNews((*wanted.suspects, *rest))), self._granted())
            answer = self.store.transact(Transaction(puts=(put,)), repeatable=True)
        except StoreError as error:
            log_state("crashes_not_kept", requests=len(named) + len(rest), error=str(error))
            return
        if isinstance(answer, LeaseGone):
            self.lease = 0
            return
        self.pending = False
        self.untaken.clear()
        self.kept = wanted
        log_state("crashes_kept", requests=len(named) + len(rest))

    def _granted(self) -> int:
        """Return a lease that lasts for half of the time for which requests are kept, or longer.

        :raises StoreError: if no answer came
        """
        now = self.clock.now()
        if not self.lease or now - self.leased_at > RETENTION_S / 2:
            self.lease = self.store.grant_lease(RETENTION_S)
            self.leased_at = now
        return self.lease


__all__ = ["CrashSharing"]
