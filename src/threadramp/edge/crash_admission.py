"""Admission of one request that may have crashed endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.crash_tracker import NO_SUSPICION, Assessment, SuspicionLevel

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from threadramp.edge.crash_guard import CrashGuard
    from threadramp.edge.job import Job
    from threadramp.fleet.model import Endpoint, Incarnation


class CrashAdmission:
    """Admits one request, and isolates it from other suspect requests."""

    def __init__(self, guard: CrashGuard, job: Job) -> None:
        self.guard = guard
        self.job = job
        self.admitted = NO_SUSPICION
        self.reserved: Incarnation | None = None
        self.must_wait = False

    def fingerprint(self) -> bytes:
        """Return the fingerprint of the request, which does not depend on its id."""
        return self.job.fingerprint

    def admit(self) -> Assessment:
        """Return the assessment before the first attempt; a refused request may get a trial."""
        self.admitted = self.guard.admit(self.job.request_id, self.fingerprint)
        return self.admitted

    def assess(self, has_run: bool) -> Assessment:
        """Return the current assessment; endpoints may have crashed since the admission.

        :param has_run: whether it was started since it was admitted; a trial is started once
        """
        if self.admitted.trial and not has_run:
            return self.admitted
        return self.guard.assess(self.fingerprint)

    def record_response(self, incarnation: Incarnation) -> None:
        """Record a response, which shows that the endpoint did not crash."""
        self.guard.record_response(self.fingerprint, incarnation)

    def choose(
        self,
        pick: Callable[[Set[Incarnation]], Endpoint | None],
        assessment: Assessment,
        is_last: bool,
    ) -> Endpoint | None:
        """Return the endpoint for the request, none if it has to wait for other suspects.

        A crash with only one suspect at the endpoint identifies the cause. That is worth a short
        wait, but not a refusal.

        :param pick: returns an endpoint that is not in the given set
        :param is_last: whether to share an endpoint with other suspects rather than get none
        """
        self.release()
        self.must_wait = False
        if assessment.level is not SuspicionLevel.ISOLATED or is_last:
            return pick(frozenset())
        excluded = self.guard.isolated_endpoints()
        while (chosen := pick(excluded)) is not None:
            if self.guard.isolate(chosen.incarnation):
                self.reserved = chosen.incarnation
                return chosen
            excluded.add(chosen.incarnation)
        self.must_wait = bool(excluded)
        return None

    def release(self) -> None:
        """Release the endpoint that was reserved for this request."""
        if self.reserved is not None:
            self.guard.end_isolation(self.reserved)
            self.reserved = None


__all__ = ["CrashAdmission"]
