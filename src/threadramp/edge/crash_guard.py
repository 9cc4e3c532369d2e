"""Holds back requests that crash endpoints, and records which requests do.

A request is looked up only while any request is suspect, so there is no cost in normal operation.
When a connection breaks, its endpoint is probed. No crash is attributed if the endpoint is still
alive, nor if it had announced that it was leaving.

If its port still accepts connections, the endpoint may or may not have crashed. The crash is
attributed to the request at once and confirmed or retracted later: otherwise one request could
crash all endpoints before the first of them is back.
"""

from __future__ import annotations

import threading
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING

from threadramp.edge.connection_breaks import PendingBreaks, ProbeResult, timed_probe
from threadramp.edge.crash_resolver import CrashResolver
from threadramp.edge.endpoint_probe import EndpointState, probe_endpoint
from threadramp.policy.crash_tracker import NO_SUSPICION, Assessment, SuspicionLevel
from threadramp.policy.fingerprint import short_fingerprint
from threadramp.policy.owed_holds import OwedHolds
from threadramp.policy.proxied_crashes import ConnectionBreak, may_have_crashed
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.edge.connection_breaks import BrokenExchange
    from threadramp.edge.job import Job
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fleet_view import FleetView
    from threadramp.fleet.model import Endpoint, Incarnation
    from threadramp.policy.crash_tracker import CrashTracker

PROBE_REUSE_S = 0.2  # all requests at an endpoint break at once and share one probe


class CrashGuard:
    """Decides which requests may be sent; shared by all threads of a process.

    :param claim: claims a numbered trial of a refused request; only one box gets it
    :param count: increments a counter by kind and label
    :param probe: returns whether a process listens at an address
    """

    def __init__(
        self,
        tracker: CrashTracker,
        clock: Clock,
        fleet_view: FleetView,
        claim: Callable[[bytes, int], bool] = lambda fingerprint, trial: False,
        count: Callable[[str, str], None] = lambda kind, label: None,
        probe: Callable[[str], EndpointState] = probe_endpoint,
    ) -> None:
        self.tracker = tracker
        self.clock = clock
        self.fleet_view = fleet_view
        self.claim = claim
        self.count = count
        self.probe = probe
        self.resolver = CrashResolver(tracker, clock, is_replaced=self._is_replaced)
        self.pending_breaks = PendingBreaks()
        self.recent_probes: dict[Incarnation, tuple[ProbeResult, float]] = {}
        self.isolated: set[Incarnation] = set()
        self.owed_holds = OwedHolds()
        self.lock = threading.Lock()

    def assess(self, fingerprint: Callable[[], bytes]) -> Assessment:
        """Return the assessment of a request.

        :param fingerprint: computes its fingerprint
        """
        if self.tracker.is_empty:
            return NO_SUSPICION
        return self.tracker.assess(fingerprint(), self.clock.time_of_day())

    def admit(self, name: str, fingerprint: Callable[[], bytes]) -> Assessment:
        """Return the assessment of a request before it is sent; a refused one may get a trial.

        Owed work is delayed instead of refused.

        :param name: the id of the request or of the sample
        """
        assessment = self.assess(fingerprint)
        if assessment.last_crash_at:
            return self._admit_owed(name, fingerprint(), assessment)
        if assessment.level is not SuspicionLevel.REFUSED:
            return assessment
        key = fingerprint()
        now = self.clock.time_of_day()
        if assessment.trial and self.claim(key, assessment.trial):
            self.tracker.record_trial(key, assessment.trial, now)
            self.count("crash", "trial")
            log_state(
                "trial_of_refused",
                request=name,
                fingerprint=short_fingerprint(key),
                trial=assessment.trial,
                crashes=assessment.crashes,
            )
            return Assessment(SuspicionLevel.ISOLATED, assessment.crashes, assessment.trial)
        self.tracker.record_repeat(key, now)
        self.count("crash", "refused")
        log_state(
            "refused_after_crashes",
            request=name,
            fingerprint=short_fingerprint(key),
            crashes=assessment.crashes,
            again_s=round(assessment.retry_after_s, 1),
        )
        return assessment

    def _admit_owed(self, name: str, key: bytes, assessment: Assessment) -> Assessment:
        """Return how long owed work is held back after its last crash."""
        with self.lock:
            held_s = self.owed_holds.remaining_s(key, assessment, self.clock.now())
        if held_s:
            self.count("crash", "held")
            log_state(
                "held_after_crashes",
                request=name,
                fingerprint=short_fingerprint(key),
                crashes=assessment.crashes,
                held_s=round(held_s, 2),
                until=round(self.clock.time_of_day() + held_s, 2),
            )
        return replace(assessment, retry_after_s=held_s)

    def record_broken_connection(
        self, job: Job, endpoint: Endpoint, broken: BrokenExchange
    ) -> bool:
        """Record that an endpoint broke a connection before its response was complete.

        :returns: whether the endpoint has crashed, as far as is known now
        """
        incarnation = self.tracker.current_incarnation(endpoint.incarnation)
        other_open = broken.count_open() - broken.own_open
        with self.pending_breaks.probing(endpoint.incarnation, broken):
            probe = self._probe(endpoint)
            listens = probe.state is EndpointState.BREAKS
            attributed = listens and may_have_crashed(self._describe_break(endpoint, broken, probe))
        log_state(
            "connection_broken",
            request=job.request_id,
            fingerprint=short_fingerprint(job.fingerprint),
            instance=endpoint.instance,
            endpoint=probe.state.value,
            other_open=other_open,
            attributed=attributed,
        )
        if probe.state is not EndpointState.ENDED and not attributed:
            return False
        if not self._was_leaving(endpoint):
            self.record_crash(job.request_id, job.fingerprint, incarnation, listens, job.owed)
            if listens:
                self.resolver.resolve(incarnation, endpoint.address, job.fingerprint)
        return True

    def record_crash(
        self,
        name: str,
        fingerprint: bytes,
        incarnation: Incarnation,
        listens: bool = False,
        owed: bool = False,
    ) -> None:
        """Record that an incarnation of an endpoint crashed while a request was open there.

        :param listens: whether its port still accepts connections, so that the crash is unconfirmed
        :param owed: whether the request is work of an accepted lot
        """
        assessment = self.tracker.record_crash(
            fingerprint, incarnation, self.clock.time_of_day(), listens, owed
        )
        self.count("crash", "seen")
        log_state(
            "endpoint_ended",
            request=name,
            fingerprint=short_fingerprint(fingerprint),
            instance=incarnation.instance,
            crashes=assessment.crashes,
            verdict=assessment.level.value,
            listens=listens,
        )

    def record_response(self, fingerprint: Callable[[], bytes], incarnation: Incarnation) -> None:
        """Record a response: the endpoint is alive, and the request ran without crashing it."""
        self.pending_breaks.record_response(incarnation)
        if self.tracker.is_empty:
            return
        now = self.clock.time_of_day()
        if self.tracker.record_answer(self.tracker.current_incarnation(incarnation), now):
            log_state("endpoint_alive", instance=incarnation.instance)
        key = fingerprint()
        if self.tracker.record_success(key, now):
            self.count("crash", "acquitted")
            log_state(
                "acquitted", fingerprint=short_fingerprint(key), instance=incarnation.instance
            )

    def isolated_endpoints(self) -> set[Incarnation]:
        """Return the endpoints that are reserved for one isolated request."""
        with self.lock:
            return set(self.isolated)

    def isolate(self, incarnation: Incarnation) -> bool:
        """Reserve an endpoint for one isolated request; false if it is reserved already."""
        with self.lock:
            if incarnation in self.isolated:
                return False
            self.isolated.add(incarnation)
            return True

    def end_isolation(self, incarnation: Incarnation) -> None:
        """Release an endpoint that was reserved for an isolated request."""
        with self.lock:
            self.isolated.discard(incarnation)

    def _describe_break(
        self, endpoint: Endpoint, broken: BrokenExchange, probe: ProbeResult
    ) -> ConnectionBreak:
        """Describe the break at an endpoint that also breaks new connections."""
        sent_at = self.clock.time_of_day() - broken.sent_ago_s - probe.took_s
        return ConnectionBreak(
            broken.sent_ago_s,
            probe.took_s,
            broken.reused,
            self.pending_breaks.others_still_active(endpoint.incarnation, broken),
            self.tracker.is_reported_crashed(
                self.tracker.current_incarnation(endpoint.incarnation), sent_at
            ),
        )

    def _probe(self, endpoint: Endpoint) -> ProbeResult:
        now = self.clock.now()
        with self.lock:
            probe, at = self.recent_probes.get(endpoint.incarnation, (None, float("-inf")))
        if probe is not None and now - at <= PROBE_REUSE_S:
            return probe
        probe = timed_probe(endpoint.address, self.probe)
        with self.lock:
            self.recent_probes = {
                incarnation: entry
                for incarnation, entry in self.recent_probes.items()
                if now - entry[1] <= PROBE_REUSE_S
            }
            self.recent_probes[endpoint.incarnation] = (probe, now)
        return probe

    def _is_replaced(self, incarnation: Incarnation, address: str) -> bool:
        """Return whether an endpoint with another id is listed at the same address."""
        listed = self.fleet_view.snapshot.endpoints.values()
        return any(
            one.address == address and one.instance != incarnation.instance for one in listed
        )

    def _was_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint had announced that it was leaving."""
        listed = endpoint
        with suppress(KeyError):
            listed = self.fleet_view.snapshot.endpoints[endpoint.instance]
        return listed.leaving


__all__ = ["CrashGuard"]
