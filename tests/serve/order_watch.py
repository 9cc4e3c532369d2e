"""Checks the orders that arrive at engines during a soak test."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from tests.serve.orders import order_violations

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from threadramp.platform.standins.endpoint import PlatformEngine

# Orders that arrive this soon after their holder resumed or their path healed are ignored.
RESUME_GRACE_S = 0.3


class OrderWatch:
    """Checks the orders of all engines repeatedly and collects the violations.

    :param resumed_at: returns when the suspended process of a box resumed, by the monotonic clock
    :param healed_at: returns when partitions on the path to an engine healed
    :param min_alternation_s: time within which a holder may not order again after another holder
    """

    def __init__(
        self,
        engines: Sequence[PlatformEngine],
        resumed_at: Callable[[str], Iterable[float]],
        healed_at: Callable[[str], Iterable[float]],
        min_alternation_s: float,
    ) -> None:
        self.engines = engines
        self.resumed_at = resumed_at
        self.healed_at = healed_at
        self.min_alternation_s = min_alternation_s
        self.violations: dict[str, None] = {}

    def check(self) -> list[str]:
        """Return all violations found up to now, each once."""
        for engine in self.engines:
            with engine.lock:
                arrived = list(engine.arrived)
            counted = [order for order in arrived if self._counts(engine.instance, order)]
            found = [
                f"{engine.instance}: {each}"
                for each in order_violations(counted, self.min_alternation_s)
            ]
            self.violations |= dict.fromkeys(found)
        return list(self.violations)

    def _counts(self, engine: str, order: dict[str, Any]) -> bool:
        resumptions = [*self.resumed_at(order["holder"]), *self.healed_at(engine)]
        return not any(0.0 <= order["at"] - at < RESUME_GRACE_S for at in resumptions)


__all__ = ["RESUME_GRACE_S", "OrderWatch"]
