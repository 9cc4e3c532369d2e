"""Facts about an engine and its runner, for an operator's ``Inspect`` request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.fleet import Fact

if TYPE_CHECKING:
    from collections.abc import Iterable

    from threadramp.runner.sidecar import Sidecar


class RunnerInspector:
    """Reports what the runner of an engine currently knows about it."""

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar

    def endpoint(self, name: str) -> Iterable[Fact]:
        """Yield facts if ``name`` is the id or the address of the engine, else nothing."""
        engine = self.sidecar.engine
        if name not in (engine.address, engine.incarnation.instance):
            return
        incarnation = engine.incarnation
        yield Fact(
            "engine", f"{incarnation.instance}, born {incarnation.born or 'not told'}", "both", None
        )
        revision = engine.facts.endpoints_revision
        yield Fact("listed at revision", str(revision), "gateways", None)
        report = engine.report
        summary = "none" if report is None else f"{report.versions}, {report.orders} orders"
        yield Fact("report", summary, "the engine", None)
        yield Fact(
            "taken", f"{self.sidecar.table.taken} of {self.sidecar.table.slots}", "own", None
        )
        yield Fact("order number", str(self.sidecar.weights.lock.fencing_token), "the store", None)


__all__ = ["RunnerInspector"]
