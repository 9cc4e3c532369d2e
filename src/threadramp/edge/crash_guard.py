"""Holds back requests under which endpoints ended, and notes under which they do.

What is known of a request is worked out only while any request is suspected, so that it costs
nothing on a calm day. Whether an endpoint ended is looked at where its connection broke: a
connection that was cut while its endpoint lives on is held against nobody, and neither is the end
of an endpoint that had said it leaves.

Where the port goes on taking connections, what is seen may be an end or not. It is held against the
request at once, else a request ends all endpoints before the first is back, and settled after.
"""

from __future__ import annotations

import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from threadramp.edge.connection_breaks import Breaking, Look, timed_probe
from threadramp.edge.end_watch import EndWatch
from threadramp.edge.endpoint_probe import EndpointState, probe_endpoint
from threadramp.policy.crash_book import FREE, Ruling, Verdict
from threadramp.policy.fingerprint import shown
from threadramp.policy.hidden_ends import Break, may_have_ended
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.connection_breaks import Signs
    from threadramp.edge.job import Job
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import Endpoint, Start
    from threadramp.fleet.picture import Picture
    from threadramp.policy.crash_book import CrashBook

LOOKED_S = 0.2  # all requests of an endpoint break at once; one look serves them


class CrashGuard:
    """One for all threads of a process.

    :param claim: asks for the right to one trial of a refused request; of all boxes one gets it
    :param count: counts by kind and label
    :param look: tells whether a process listens at an address
    """

    def __init__(
        self,
        book: CrashBook,
        clock: Clock,
        picture: Picture,
        claim: Callable[[bytes, int], bool] = lambda fingerprint, trial: False,
        count: Callable[[str, str], None] = lambda kind, label: None,
        look: Callable[[str], EndpointState] = probe_endpoint,
    ) -> None:
        self.book = book
        self.clock = clock
        self.picture = picture
        self.claim = claim
        self.count = count
        self.look = look
        self.ends = EndWatch(book, clock, is_replaced=self._is_replaced)
        self.breaking = Breaking()
        self.looked: dict[Start, tuple[Look, float]] = {}
        self.apart: set[Start] = set()
        self.lock = threading.Lock()

    def assess(self, fingerprint: Callable[[], bytes]) -> Ruling:
        """Return what holds for a request.

        :param fingerprint: works out what stands for it
        """
        if self.book.is_empty:
            return FREE
        return self.book.ruling(fingerprint(), self.clock.time_of_day())

    def admit(self, name: str, fingerprint: Callable[[], bytes]) -> Ruling:
        """Return what holds for a request that is to be sent; a refused one may get a trial.

        :param name: the request's id or the sample's
        """
        ruling = self.assess(fingerprint)
        if ruling.verdict is not Verdict.REFUSED:
            return ruling
        key = fingerprint()
        now = self.clock.time_of_day()
        if ruling.trial and self.claim(key, ruling.trial):
            self.book.tried(key, ruling.trial, now)
            self.count("crash", "trial")
            log_state(
                "trial_of_refused",
                request=name,
                fingerprint=shown(key),
                trial=ruling.trial,
                crashes=ruling.crashes,
            )
            return Ruling(Verdict.APART, ruling.crashes, ruling.trial)
        self.book.came_again(key, now)
        self.count("crash", "refused")
        log_state(
            "refused_after_crashes",
            request=name,
            fingerprint=shown(key),
            crashes=ruling.crashes,
            again_s=round(ruling.again_s, 1),
        )
        return ruling

    def broke(self, job: Job, endpoint: Endpoint, signs: Signs) -> bool:
        """Note that an endpoint broke a connection while it owed an answer.

        :returns: whether the endpoint has ended, as far as can be seen now
        """
        start = self.book.current(endpoint.start)
        beside = signs.open_there() - signs.own
        with self.breaking.looked_at(endpoint.start, signs):
            look = self._look_at(endpoint)
            listens = look.state is EndpointState.BREAKS
            held = listens and may_have_ended(self._break_of(endpoint, signs, look))
        log_state(
            "connection_broken",
            request=job.request_id,
            fingerprint=shown(job.fingerprint),
            instance=endpoint.instance,
            endpoint=look.state.value,
            beside=beside,
            held=held,
        )
        if look.state is not EndpointState.ENDED and not held:
            return False
        if not self._left(endpoint):
            self.record_crash(job.request_id, job.fingerprint, start, listens)
            if listens:
                self.ends.watch(start, endpoint.address, job.fingerprint)
        return True

    def record_crash(
        self, name: str, fingerprint: bytes, start: Start, listens: bool = False
    ) -> None:
        """Note that a start of an endpoint ended while a request was open there.

        :param listens: whether its port goes on taking connections, so that it only may have ended
        """
        ruling = self.book.crashed(fingerprint, start, self.clock.time_of_day(), listens)
        self.count("crash", "seen")
        log_state(
            "endpoint_ended",
            request=name,
            fingerprint=shown(fingerprint),
            instance=start.instance,
            crashes=ruling.crashes,
            verdict=ruling.verdict.value,
            listens=listens,
        )

    def record_response(self, fingerprint: Callable[[], bytes], start: Start) -> None:
        """Note an answer: the endpoint lives, and the request ran there without ending it."""
        self.breaking.note_answer(start)
        if self.book.is_empty:
            return
        now = self.clock.time_of_day()
        if self.book.lives(self.book.current(start), now):
            log_state("endpoint_lives", instance=start.instance)
        key = fingerprint()
        if self.book.ran_well(key, now):
            self.count("crash", "acquitted")
            log_state("acquitted", fingerprint=shown(key), instance=start.instance)

    def taken(self) -> set[Start]:
        """Return the endpoints that have a request which goes apart from other suspects."""
        with self.lock:
            return set(self.apart)

    def take_place(self, start: Start) -> bool:
        """Reserve an endpoint for a request that goes apart from other suspects."""
        with self.lock:
            if start in self.apart:
                return False
            self.apart.add(start)
            return True

    def leave_place(self, start: Start) -> None:
        """Let others apart go to an endpoint again."""
        with self.lock:
            self.apart.discard(start)

    def _break_of(self, endpoint: Endpoint, signs: Signs, look: Look) -> Break:
        """Return what tells whether an endpoint may have ended that breaks new connections."""
        sent_at = self.clock.time_of_day() - signs.lived_s - look.took_s
        return Break(
            signs.lived_s,
            look.took_s,
            signs.kept,
            self.breaking.others_go_on(endpoint.start, signs),
            self.book.ended_before(self.book.current(endpoint.start), sent_at),
        )

    def _look_at(self, endpoint: Endpoint) -> Look:
        now = self.clock.now()
        with self.lock:
            look, at = self.looked.get(endpoint.start, (None, float("-inf")))
        if look is not None and now - at <= LOOKED_S:
            return look
        look = timed_probe(endpoint.address, self.look)
        with self.lock:
            self.looked = {
                start: row for start, row in self.looked.items() if now - row[1] <= LOOKED_S
            }
            self.looked[endpoint.start] = (look, now)
        return look

    def _is_replaced(self, start: Start, address: str) -> bool:
        """Return whether a start of another id is listed where this one was."""
        listed = self.picture.belief.endpoints.values()
        return any(one.address == address and one.instance != start.instance for one in listed)

    def _left(self, endpoint: Endpoint) -> bool:
        """Return whether it had said that it leaves."""
        current = endpoint
        with suppress(KeyError):
            current = self.picture.belief.endpoints[endpoint.instance]
        return current.leaving


__all__ = ["CrashGuard"]
