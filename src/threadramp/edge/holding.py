"""What holds for one request on its way, since endpoints may have ended under it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.crash_tracker import NO_SUSPICION, Assessment, SuspicionLevel

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from threadramp.edge.crash_guard import CrashGuard
    from threadramp.edge.job import Job
    from threadramp.fleet.model import Endpoint, Incarnation


class Holding:
    """Admits one request, and keeps it apart from other suspects."""

    def __init__(self, guard: CrashGuard, job: Job) -> None:
        self.guard = guard
        self.job = job
        self.admitted = NO_SUSPICION
        self.place: Incarnation | None = None
        self.waits = False

    def fingerprint(self) -> bytes:
        """Return what stands for the request, whatever its id."""
        return self.job.fingerprint

    def admit(self) -> Assessment:
        """Return whether the request may be sent at all; a refused one may get a trial."""
        self.admitted = self.guard.admit(self.job.request_id, self.fingerprint)
        return self.admitted

    def ruling(self, has_run: bool) -> Assessment:
        """Return what holds now; endpoints may have ended under it meanwhile.

        :param has_run: whether it was begun since it was admitted; a trial is begun once
        """
        if self.admitted.trial and not has_run:
            return self.admitted
        return self.guard.ruling(self.fingerprint)

    def answered(self, start: Incarnation) -> None:
        """Note an answer after which its endpoint lives on."""
        self.guard.answered(self.fingerprint, start)

    def choose(
        self, pick: Callable[[Set[Incarnation]], Endpoint | None], ruling: Assessment, is_last: bool
    ) -> Endpoint | None:
        """Return where the request goes, none if others have to leave first.

        An endpoint that ends with one suspect alone tells which of them it was. That is worth a
        short wait, not a refusal.

        :param pick: returns an endpoint that is not one of those it is given
        :param is_last: whether it goes beside other suspects rather than nowhere
        """
        self.leave()
        self.waits = False
        if ruling.level is not SuspicionLevel.ISOLATED or is_last:
            return pick(frozenset())
        taken = self.guard.taken()
        while (chosen := pick(taken)) is not None:
            if self.guard.take_place(chosen.incarnation):
                self.place = chosen.incarnation
                return chosen
            taken.add(chosen.incarnation)
        self.waits = bool(taken)
        return None

    def leave(self) -> None:
        """Let other suspects go to the endpoint that this one had."""
        if self.place is not None:
            self.guard.leave_place(self.place)
            self.place = None


__all__ = ["Holding"]
