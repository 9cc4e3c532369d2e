"""Brings the engine to the versions that were named; this sidecar alone gives it orders.

Level-triggered: what the engine reports is compared with what was named, again and again. So a
lost answer, an order that is carried out late or a restart needs no special case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.platform.engine import OrderOutcome
from threadramp.policy.model_share import takes_version
from threadramp.report.log import log_state

if TYPE_CHECKING:
    from threadramp.fleet.clock import Clock
    from threadramp.fleet.model import WeightTarget
    from threadramp.runner.engine import Engine

LOAD_S = 1.0  # a turn; a load takes 0.9 s
TAKEN_TIMEOUT_S = 4.0  # an order that was taken but shows no effect for so long is given again
ORDER_PAUSE_S = 0.5  # between two orders that were not taken


class Weights:
    """Decides when the engine is ordered to load what.

    :param versions_apart: 1 if the engine loads each version, 2 if every second one
    """

    def __init__(self, engine: Engine, clock: Clock, versions_apart: int = 1) -> None:
        self.versions_apart = versions_apart
        self.engine = engine
        self.clock = clock
        self.first_seen: dict[tuple[str, int], float] = {}
        self.ordered_at = 0.0
        self.not_before = 0.0

    def turn(self) -> None:
        """Compare and, if it is time, order; to be called after each report."""
        report = self.engine.report
        if report is None:
            return
        self._check_ordered()
        if self.engine.is_loading or not self.engine.is_known:
            return
        target = self._next_target()
        if target is not None and self.clock.now() >= self._start_at(target):
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
        """Return the named version that the engine lacks, the one named first before others."""
        report = self.engine.report
        missing = [
            target
            for target in self.engine.facts.targets
            if self._is_wanted(target, report.versions.get(target.model, 0))
        ]
        for target in missing:
            self.first_seen.setdefault((target.model, target.version), self.clock.now())
        return min(missing, key=lambda target: target.revision) if missing else None

    def _is_wanted(self, target: WeightTarget, held: int) -> bool:
        """Return whether the engine is to load a version; it holds 0 of a model that it lacks."""
        rank = self.engine.facts.rank
        is_newer = 0 < held < target.version
        return is_newer and takes_version(rank, target.version, held, self.versions_apart)

    def _start_at(self, target: WeightTarget) -> float:
        """Return when this engine's turn comes; few load at once."""
        seen = self.first_seen[(target.model, target.version)]
        return max(self.not_before, seen + self.engine.facts.load_turn * LOAD_S)

    def _order(self, target: WeightTarget) -> None:
        report = self.engine.report
        instance = self.engine.facts.instance
        fence = self.engine.facts.targets_revision  # of all models, so that it never falls
        self.engine.ordered = target
        self.ordered_at = self.clock.now()
        outcome = self.engine.order(target, fence, report.orders)
        log_state(
            "order",
            model=target.model,
            version=target.version,
            holds=report.versions.get(target.model, 0),
            fence=fence,
            after=report.orders,
            outcome=outcome.value,
        )
        if outcome is OrderOutcome.TAKEN:
            return
        if outcome is OrderOutcome.OTHER_INSTANCE:
            self.engine.is_another(instance)
        self.engine.ordered = None
        self.not_before = self.clock.now() + ORDER_PAUSE_S


__all__ = ["Weights"]
