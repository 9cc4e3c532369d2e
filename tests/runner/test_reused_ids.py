"""A sample id that a later lot reuses for another request."""

from __future__ import annotations

import pytest

from tests.runner.test_runs import order
from threadramp.core.lot_tracker import RunOutcome
from threadramp.fleet.clock import Clock
from threadramp.lots.model import Sample
from threadramp.runner.runs import RunTable


def sample(path: str = "/p", model: str = "m", body: bytes = b"q") -> Sample:
    return Sample("a", path, (("X-Model", model),), body, 100, "g", None, 10)


@pytest.mark.parametrize(
    "other", [sample(body=b"another prompt"), sample(model="n"), sample(path="/another")]
)
def test_a_sample_of_the_same_id_but_another_request_does_not_get_its_text(other):
    """Kept text was returned for any sample of the same id, without comparing prompt and model."""
    table = RunTable(Clock().now)
    table.slots, table.accepting = 1, True
    table.submit((order("a", sample=sample(), model="m"),))
    run = table.next_start()
    for number in range(3):
        table.add_event(run, run.generation, f"text-{number}", 1)
    table.finish(run, run.generation, RunOutcome.COMPLETE)
    model = dict(other.headers)["X-Model"]
    table.submit((order("a", sample=other, model=model),))
    updates, _ = table.collect({"a": 0}, 0.0, lambda: None)
    assert [update.events for update in updates if update.events] == []
