"""One sample at a sidecar: what runs, what it serves and what is new about it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.core.lot_book import RunOutcome
from threadramp.fleet.model import Incarnation
from threadramp.wire.runner import RunUpdate

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.wire.runner import RunOrder


@dataclass
class Run:
    """One sample here.

    :param base: events that the gateway had before this run began
    :param lineage: names the chain of events: those before and those of this run
    :param heard: time at which its gateway last asked for it
    :param due: time at which its lot is due
    :param wanted: false once its lot has ended; it may still finish for a later one
    :param started: whether it was handed to a thread
    :param cancel: closes its connection to the engine
    :param not_before: it is not started again before this time
    :param rejections: times in a row that the engine did not begin it
    :param sign_at: time at which it was started or brought its last event
    :param life: counts its starts, so that a thread of an earlier one changes nothing
    :param start: of the engine that it was sent to last
    """

    order: RunOrder
    base: int
    lineage: str
    heard: float
    due: float
    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    wanted: bool = True
    started: bool = False
    outcome: RunOutcome = RunOutcome.NONE
    ended_at: float = 0.0
    cancel: Callable[[], None] | None = None
    not_before: float = 0.0
    rejections: int = 0
    sign_at: float = 0.0
    life: int = 0
    start: Incarnation = Incarnation("")

    @property
    def is_open(self) -> bool:
        """Return whether it runs or waits."""
        return self.outcome is RunOutcome.NONE

    def may_start(self, now: float) -> bool:
        """Return whether it waits for a start."""
        return self.is_open and not self.started and self.not_before <= now

    @property
    def count(self) -> int:
        """Return the events so far, those before this run included."""
        return self.base + len(self.events)

    def serves(self, order: RunOrder) -> bool:
        """Return whether its text can go on as what ``order`` asks for.

        Text belongs to a request, which an id alone does not tell: a caller may use one again.
        """
        if _asked(self.order) != _asked(order):
            return False
        if order.after and (order.lineage != self.lineage or self.count < order.after):
            return False
        if self.base > order.after:
            return False
        if self.versions and min(self.versions) < order.min_version:
            return False
        return not (order.one_version and len(set(self.versions)) > 1)

    def news(self, count: int) -> RunUpdate:
        """Return what is new to an asker that has ``count`` events."""
        skip = count - self.base
        return RunUpdate(
            sample=self.order.sample.id,
            base=count,
            events=tuple(self.events[skip:]),
            versions=tuple(self.versions[skip:]),
            lineage=self.lineage,
            outcome=self.outcome.value,
            start=self.start,
        )


def _asked(order: RunOrder) -> tuple[str, str, bytes]:
    """Return what makes the text of an order's sample: model, path and body."""
    return order.model, order.sample.path, order.sample.body


__all__ = ["Run"]
