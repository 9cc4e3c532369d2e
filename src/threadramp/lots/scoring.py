"""Scores samples whose text is complete: one call each, retried until it is answered.

A sample without its score is still owed, so its call is delayed after crashes and never refused.
"""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import Phase
from threadramp.edge.job import Ending, Job
from threadramp.platform.headers import reward_headers
from threadramp.policy.callers import ANONYMOUS, UNIDENTIFIED
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.edge.forward import Forwarder
    from threadramp.edge.job import Outcome
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Route
    from threadramp.lots.model import Reward
    from threadramp.lots.owned import OwnedLot, OwnedLots

# Concurrent scoring calls. A lot of 200 samples needs two, for calls of 34 ms over 6 s. More in a
# burst take capacity from callers and open connections that no later burst uses.
CALL_THREADS = 8
CALL_TIMEOUT_S = 1.5  # an answer takes 45 ms; an unanswered call is retried after this
RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8
MAX_HOLD_S = 2.0  # occupies a thread of the pool


class Scoring:
    """Makes the scoring calls of the lots that this gateway owns."""

    def __init__(
        self, owned: OwnedLots, fleet_view: FleetView, forwarder: Forwarder, clock: Clock
    ) -> None:
        self.owned = owned
        self.fleet_view = fleet_view
        self.forwarder = forwarder
        self.clock = clock
        self.pool = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="score")

    def begin(self, lot: OwnedLot, sample: str) -> None:
        """Score a sample of a lot in the background."""
        self.pool.submit(self._score_logged, lot, sample)

    def stop(self) -> None:
        """Accept no more work."""
        self.pool.shutdown(wait=False, cancel_futures=True)

    def _score_logged(self, lot: OwnedLot, sample: str) -> None:
        try:
            self._score(lot, sample)
        except Exception as error:  # the thread pool would discard it
            log_state("scoring_failed", lot=lot.lot_id, sample=sample, error=repr(error))

    def _score(self, lot: OwnedLot, sample: str) -> None:
        reward = lot.tracker.states[sample].sample.reward
        pause = RETRY_PAUSE_S
        while self._still_wanted(lot, sample):
            outcome, route = self._call(reward)
            if self._record_outcome(lot, sample, outcome, route):
                self.owned.work_available.set()
                return
            time.sleep(max(pause, _hold_s(outcome)))
            pause = min(MAX_RETRY_PAUSE_S, pause * 2)

    def _still_wanted(self, lot: OwnedLot, sample: str) -> bool:
        with self.owned.lock:
            scoring = lot.tracker.states[sample].phase is Phase.SCORING
            return scoring and not lot.tracker.ended and self.owned.get(lot.lot_id) is lot

    def _call(self, reward: Reward) -> tuple[Outcome | None, Route | None]:
        configuration = self.fleet_view.snapshot.configuration
        route = configuration.route_for(reward.host, reward.path) if configuration else None
        if route is None:
            return None, None
        job = Job(
            request_id=reward.id,
            method="POST",
            target=reward.path,
            headers=reward_headers(reward.id, reward.host),
            body=reward.body,
            route=route,
            deadline=self.clock.now() + CALL_TIMEOUT_S,
            retry_errors=False,  # counted here; the sample is given up after a few
            identity=UNIDENTIFIED if configuration.organisations is None else ANONYMOUS,
            owed=True,
        )
        return self.forwarder.run(job), route

    def _record_outcome(
        self, lot: OwnedLot, sample: str, outcome: Outcome | None, route: Route | None
    ) -> bool:
        """Record the outcome of a call; true if no further one is needed."""
        answer = outcome.response if outcome is not None else None
        now = self.clock.now()
        if answer is not None and outcome.ending is Ending.ANSWERED:
            status = answer.head.status
            if 200 <= status < 300:
                with self.owned.lock:
                    return lot.tracker.scored(sample, answer.head.signature, now) or True
            if status == 500:
                with self.owned.lock:
                    given_up = lot.tracker.score_failed(sample, now, route.max_attempts)
                log_state("score_refused", lot=lot.lot_id, sample=sample, given_up=given_up)
                return given_up
        ending = outcome.ending.value if outcome is not None else "no route"
        log_state("score_unanswered", lot=lot.lot_id, sample=sample, ending=ending)
        return False


def _hold_s(outcome: Outcome | None) -> float:
    """Return how long to wait if a call was held back because endpoints crashed under it."""
    not_run = outcome is not None and outcome.ending is Ending.NOT_RUN
    return min(MAX_HOLD_S, outcome.retry_after_s) if not_run else 0.0


__all__ = ["Scoring"]
