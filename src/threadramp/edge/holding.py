"""What holds for one request on its way, since endpoints may have ended under it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.policy.crash_book import FREE, Ruling, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from threadramp.edge.crash_guard import CrashGuard
    from threadramp.edge.job import Job
    from threadramp.fleet.model import Endpoint, Start


class Holding:
    """Admits one request, and keeps it apart from other suspects."""

    def __init__(self, guard: CrashGuard, job: Job) -> None:
        self.guard = guard
        self.job = job
        self.admitted = FREE
        self.place: Start | None = None
        self.waits = False

    def fingerprint(self) -> bytes:
        """Return what stands for the request, whatever its id."""
        return self.job.fingerprint

    def admit(self) -> Ruling:
        """Return whether the request may be sent at all; a refused one may get a trial."""
        self.admitted = self.guard.admit(self.job.request_id, self.fingerprint)
        return self.admitted

    def ruling(self, has_run: bool) -> Ruling:
        """Return what holds now; endpoints may have ended under it meanwhile.

        :param has_run: whether it was begun since it was admitted; a trial is begun once
        """
        if self.admitted.trial and not has_run:
            return self.admitted
        return self.guard.assess(self.fingerprint)

    def answered(self, start: Start) -> None:
        """Note an answer after which its endpoint lives on."""
        self.guard.record_response(self.fingerprint, start)

    def choose(
        self, pick: Callable[[Set[Start]], Endpoint | None], ruling: Ruling, is_last: bool
    ) -> Endpoint | None:
        """Return where the request goes, none if others have to leave first.

        An endpoint that ends with one suspect alone tells which of them it was. That is worth a
        short wait, not a refusal.

        :param pick: returns an endpoint that is not one of those it is given
        :param is_last: whether it goes beside other suspects rather than nowhere
        """
        self.leave()
        self.waits = False
        if ruling.verdict is not Verdict.APART or is_last:
            return pick(frozenset())
        taken = self.guard.taken()
        while (chosen := pick(taken)) is not None:
            if self.guard.take_place(chosen.start):
                self.place = chosen.start
                return chosen
            taken.add(chosen.start)
        self.waits = bool(taken)
        return None

    def leave(self) -> None:
        """Let other suspects go to the endpoint that this one had."""
        if self.place is not None:
            self.guard.leave_place(self.place)
            self.place = None


__all__ = ["Holding"]
