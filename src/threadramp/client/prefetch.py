"""Ask for the lots of the next steps while the trainer works on this one."""

from __future__ import annotations

from collections import deque
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from threadramp.client.trainer import GroupRequest, Lot, TrainerClient


@dataclass(frozen=True)
class StepPlan:
    """What a step asks for."""

    step: int
    groups: tuple[GroupRequest, ...]


class LotPrefetcher:
    """Yields the lots of steps in their order, with later ones under way.

    :param version: returns the newest weight version that the trainer has
    :param ahead: how many steps are asked for before their turn; a lot may then be that much older,
        so it should be no more than the staleness bound
    """

    def __init__(
        self,
        client: TrainerClient,
        version: Callable[[], int],
        ahead: int = 1,
        deadline_s: float = 1200.0,
    ) -> None:
        self.client = client
        self.version = version
        self.ahead = ahead
        self.deadline_s = deadline_s

    def lots(self, plans: Iterable[StepPlan]) -> Iterator[Lot]:
        """Yield each plan's lot; acknowledge it before taking the next."""
        waiting: deque[tuple[StepPlan, Future[Lot]]] = deque()
        source = iter(plans)
        with ThreadPoolExecutor(self.ahead + 1) as pool:
            while True:
                while len(waiting) <= self.ahead and (plan := next(source, None)) is not None:
                    waiting.append((plan, pool.submit(self._ask, plan)))
                if not waiting:
                    return
                plan, future = waiting.popleft()
                yield self._fresh(plan, future.result())

    def _ask(self, plan: StepPlan) -> Lot:
        return self.client.step(plan.step, self.version(), plan.groups, self.deadline_s)

    def _fresh(self, plan: StepPlan, lot: Lot) -> Lot:
        """Return the lot, or ask again if it has grown too old while it waited here."""
        allowed = self.version() - self.client.staleness_bound
        while min(min(sample.versions) for sample in lot.samples) < allowed:
            lot = self._ask(plan)
            allowed = self.version() - self.client.staleness_bound
        return lot


__all__ = ["LotPrefetcher", "StepPlan"]
