"""Holds back requests under which endpoints ended, and notes under which they do.

What is known of a request is worked out only while any request is suspected, so that it costs
nothing on a calm day. Whether an endpoint ended is looked at where its connection broke: a
connection that was cut while its endpoint lives on is held against nobody, and neither is the end
of an endpoint that had said it leaves.
"""

from __future__ import annotations

import threading
from contextlib import suppress
from typing import TYPE_CHECKING

from threadramp.edge.endpoint_probe import EndpointState, look_at
from threadramp.policy.crash_book import FREE, Ruling, Verdict
from threadramp.policy.fingerprint import shown
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

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
        look: Callable[[str], EndpointState] = look_at,
    ) -> None:
        self.book = book
        self.clock = clock
        self.picture = picture
        self.claim = claim
        self.count = count
        self.look = look
        self.looked: dict[Start, tuple[EndpointState, float]] = {}
        self.apart: set[Start] = set()
        self.lock = threading.Lock()

    def ruling(self, fingerprint: Callable[[], bytes]) -> Ruling:
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
        ruling = self.ruling(fingerprint)
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

    def broke(self, job: Job, endpoint: Endpoint, beside: int) -> EndpointState:
        """Note that an endpoint broke a connection while it owed an answer.

        :param beside: other requests of this process that were open there
        :returns: whether the endpoint has ended
        """
        state = self._state_of(endpoint)
        log_state(
            "connection_broken",
            request=job.request_id,
            fingerprint=shown(job.fingerprint),
            instance=endpoint.instance,
            endpoint=state.value,
            beside=beside,
        )
        if state is EndpointState.ENDED and not self._left(endpoint):
            self.ended_under(job.request_id, job.fingerprint, endpoint.start)
        return state

    def ended_under(self, name: str, fingerprint: bytes, start: Start) -> None:
        """Note that a start of an endpoint ended while a request was open there."""
        ruling = self.book.crashed(fingerprint, start, self.clock.time_of_day())
        self.count("crash", "seen")
        log_state(
            "endpoint_ended",
            request=name,
            fingerprint=shown(fingerprint),
            instance=start.instance,
            crashes=ruling.crashes,
            verdict=ruling.verdict.value,
        )

    def answered(self, fingerprint: Callable[[], bytes], start: Start) -> None:
        """Note an answer: the endpoint lives, and the request ran there without ending it."""
        if self.book.is_empty:
            return
        now = self.clock.time_of_day()
        if self.book.lives(start, now):
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

    def _state_of(self, endpoint: Endpoint) -> EndpointState:
        now = self.clock.now()
        with self.lock:
            state, at = self.looked.get(endpoint.start, (EndpointState.UNKNOWN, float("-inf")))
        if now - at <= LOOKED_S:
            return state
        state = self.look(endpoint.address)
        with self.lock:
            self.looked = {
                start: row for start, row in self.looked.items() if now - row[1] <= LOOKED_S
            }
            self.looked[endpoint.start] = (state, now)
        return state

    def _left(self, endpoint: Endpoint) -> bool:
        """Return whether it had said that it leaves."""
        current = endpoint
        with suppress(KeyError):
            current = self.picture.belief.endpoints[endpoint.instance]
        return current.leaving


__all__ = ["CrashGuard"]
