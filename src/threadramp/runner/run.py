"""The run of one sample at a sidecar: its state, which orders it can serve, and its updates."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.model import Incarnation
from threadramp.lots.text_inputs import TextInputs
from threadramp.wire.runner import RunUpdate

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.wire.runner import RunOrder


@dataclass
class Run:
    """The run of one sample at this sidecar.

    :param base: number of events that the gateway had before this run began
    :param lineage: names the chain of events: those before this run and its own
    :param last_polled_at: time at which its gateway last asked for updates of it
    :param due_at: time at which its lot is due
    :param wanted: false once its lot has ended; the run may still finish for a later lot
    :param started: whether it was passed to a thread
    :param cancel: closes its connection to the engine
    :param not_before: time before which it is not started again
    :param rejections: number of times in a row that the engine did not begin it
    :param last_progress_at: time at which it was started or its last event arrived
    :param unconfirmed_ends: number of responses in a row that ended with their connection, without
        another event, behind the last event; see ``Framing.CLOSE``
    :param generation: incremented at each start, so that a thread of an earlier start has no effect
    :param incarnation: incarnation of the engine to which it was last sent
    :param routed_at: revision of the newest configuration by which its gateway sends it here, 0 if
        the gateway does not say
    """

    order: RunOrder
    base: int
    lineage: str
    last_polled_at: float
    due_at: float
    events: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    wanted: bool = True
    started: bool = False
    outcome: RunOutcome = RunOutcome.NONE
    ended_at: float = 0.0
    cancel: Callable[[], None] | None = None
    not_before: float = 0.0
    rejections: int = 0
    last_progress_at: float = 0.0
    unconfirmed_ends: int = 0
    generation: int = 0
    incarnation: Incarnation = Incarnation("")
    routed_at: int = 0

    @property
    def is_open(self) -> bool:
        """Return whether it is running or waiting."""
        return self.outcome is RunOutcome.NONE

    @property
    def latest_start(self) -> float:
        """Return the time by which it must start for its lot to be whole when it is due."""
        return self.due_at - self.order.expected_s

    def is_startable(self, now: float) -> bool:
        """Return whether it is waiting and may be started now."""
        return self.is_open and not self.started and self.not_before <= now

    def is_routed(self, revision: int) -> bool:
        """Return whether its gateway sends it here by a configuration of at least a revision."""
        return not self.routed_at or self.routed_at >= revision

    @property
    def event_count(self) -> int:
        """Return the number of events so far, including those before this run."""
        return self.base + len(self.events)

    def can_serve(self, order: RunOrder) -> bool:
        """Return whether this run's text can be used or resumed for an order.

        The requests are compared as well as the ids, since a caller may reuse an id for another
        request.
        """
        held = TextInputs.of(self.order, self.order.sample)
        if held != TextInputs.of(order, order.sample):
            return False
        if order.after and (order.lineage != self.lineage or self.event_count < order.after):
            return False
        if self.base > order.after:
            return False
        if self.outcome is RunOutcome.COMPLETE and not self.event_count:
            return False  # no text: it is generated once more
        if self.versions and min(self.versions) < order.min_version:
            return False
        return not (order.one_version and len(set(self.versions)) > 1)

    def update_since(self, count: int) -> RunUpdate:
        """Return the update for a gateway that already has ``count`` events."""
        skip = count - self.base
        return RunUpdate(
            sample=self.order.sample.id,
            base=count,
            events=tuple(self.events[skip:]),
            versions=tuple(self.versions[skip:]),
            lineage=self.lineage,
            outcome=self.outcome.value,
            start=self.incarnation,
        )


__all__ = ["Run"]
