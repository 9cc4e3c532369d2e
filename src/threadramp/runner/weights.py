"""Brings the engine to the versions that were named, while this process holds the right to order.

Level-triggered: what the engine reports is compared with what was named, again and again. So a
lost answer, an order that is carried out late or a restart needs no special case.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from threadramp.platform.engine import OrderOutcome
from threadramp.policy.model_share import NamedVersion, next_load
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.fenced_lock import FencedLock
    from threadramp.fleet.model import WeightTarget
    from threadramp.runner.engine import Engine

TAKEN_TIMEOUT_S = 4.0  # an order that was taken but shows no effect for so long is given again
HURRY_S = 0.6  # a gateway asks again while it has to; the engine is looked at each 0.2 s
ORDER_PAUSE_S = 0.5  # between two orders that were not taken
# An engine that stood still may have an order of the holder before in its buffers; one that has
# answered for so long has come to it.
ANSWERS_S = 1.0


@dataclass
class SeenVersion:
    """The newest version of a model that this sidecar knows of.

    :param since: time at which it heard of it
    :param held_up: whether it was its engine's turn but the engine might not be ordered
    """

    version: int
    since: float
    held_up: bool = False


class Weights:
    """Decides when the engine is ordered to load what.

    :param right: gives the numbers that fence the orders
    :param versions_apart: 1 if the engine loads each version, 2 if every second one
    """

    def __init__(
        self, engine: Engine, clock: Clock, right: FencedLock, versions_apart: int = 1
    ) -> None:
        self.right = right
        self.versions_apart = versions_apart
        self.engine = engine
        self.clock = clock
        self.seen: dict[str, SeenVersion] = {}
        self.ordered_at = 0.0
        self.hurried_model = ""
        self.hurried_at = 0.0
        self.not_before = 0.0

    def turn(self) -> None:
        """Compare and, if it is time, order; to be called after each report."""
        report = self.engine.report
        if report is None:
            return
        self._check_ordered()
        if self.engine.is_loading or not self.engine.is_known:
            return
        if self.clock.now() < self.not_before:
            return
        target = self._next_target()
        if target is not None:
            self._order(target)

    def _check_ordered(self) -> None:
        """See whether the order that was taken has been carried out."""
        ordered = self.engine.ordered
        if ordered is None:
            return
        report = self.engine.report
        age = self.clock.now() - self.ordered_at
        if report.versions.get(ordered.model, 0) >= ordered.version and not report.busy:
            log_state(
                "weights_loaded", model=ordered.model, version=ordered.version, s=round(age, 2)
            )
            self.engine.ordered = None
        elif age > TAKEN_TIMEOUT_S and not report.busy:
            log_state("order_without_effect", model=ordered.model, version=ordered.version)
            self.engine.ordered = None

    def _next_target(self) -> WeightTarget | None:
        """Return the version to load now, none if it is not time for any."""
        facts = self.engine.facts
        named = {self._named(one): one for one in facts.targets if one.model in facts.share.shifts}
        seconds = self.clock.time_of_day()
        apart = self.versions_apart
        chosen = next_load(list(named), facts.share, seconds, apart, self._hurried())
        return named[chosen] if chosen is not None else None

    def _named(self, target: WeightTarget) -> NamedVersion:
        """Return a named version beside what the engine has of it."""
        now = self.clock.now()
        seen = self.seen.get(target.model)
        if seen is None or seen.version != target.version:
            seen = SeenVersion(target.version, now)
            self.seen[target.model] = seen
        return NamedVersion(
            model=target.model,
            version=target.version,
            held=self.engine.report.versions.get(target.model, 0),
            # While the right to order is waited for, 5 s after a take-over, it does not get old.
            known_s=0.0 if seen.held_up else now - seen.since,
        )

    def hurry(self, model: str) -> None:
        """Take note that no engine can run what waits for a model."""
        self.hurried_model = model
        self.hurried_at = self.clock.now()

    def _hurried(self) -> str:
        """Return the model that a gateway wants at once, empty if none is."""
        return self.hurried_model if self.clock.now() - self.hurried_at < HURRY_S else ""

    def _may_be_overtaken(self) -> bool:
        """Return whether the engine may come to an order of another holder only later."""
        answers_s = self.clock.now() - self.engine.answers_since
        return self.right.had_previous_holder and answers_s < ANSWERS_S

    def _order(self, target: WeightTarget) -> None:
        report = self.engine.report
        start = self.engine.start
        # What others say of this process is no proof: they may not know of the next holder.
        fence = self.right.verified_token()
        if self._may_be_overtaken():
            fence = 0
        self.seen[target.model].held_up = not fence
        if not fence:
            self.not_before = self.clock.now() + ORDER_PAUSE_S
            return
        self.engine.ordered = target
        self.engine.ordered_model = target.model
        self.ordered_at = self.clock.now()
        outcome = self.engine.order(target, fence, report.orders, self.right.is_verified)
        log_state(
            "order",
            model=target.model,
            version=target.version,
            holds=report.versions.get(target.model, 0),
            instance=start.instance,
            fence=fence,
            right_shown_ago_s=round(self.right.verified_ago_s(), 2),
            after=report.orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.TAKEN:
            return
        self.seen[target.model].held_up = outcome is OrderOutcome.NOT_SENT
        if outcome is OrderOutcome.OTHER_INSTANCE:
            self.engine.is_another(start)
        self.engine.ordered = None
        self.not_before = self.clock.now() + ORDER_PAUSE_S


__all__ = ["Weights"]
