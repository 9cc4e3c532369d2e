"""What the runner of an engine tells an operator of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.fleet import Fact

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.runner.sidecar import Sidecar


class RunnerBeliefs:
    """What the runner of an engine believes of it."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar

    def endpoint(self, name: str) -> Iterable[Fact]:
        """Tell of the engine by its id or its address, nothing of another one."""
        engine = self.sidecar.engine
        if name not in (engine.address, engine.start.instance):
            return
        start = engine.start
        yield Fact("engine", f"{start.instance}, born {start.born or 'not told'}", "both", None)
        revision = engine.facts.endpoints_revision
        yield Fact("listed at revision", str(revision), "gateways", None)
        report = engine.report
        told = "none" if report is None else f"{report.versions}, {report.orders} orders"
        yield Fact("report", told, "the engine", None)
        yield Fact(
            "taken", f"{self.sidecar.table.taken} of {self.sidecar.table.slots}", "own", None
        )
        yield Fact("order number", str(self.sidecar.weights.right.fencing_token), "the store", None)


__all__ = ["RunnerBeliefs"]
