"""A sample id that a later lot reuses for another request."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

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


# Guards against text of another host, organisation or length: only model, path and body were
# compared.
@pytest.mark.parametrize(
    "changes",
    [
        {"host": "others.example"},
        {"organisation": "o"},
        {"sample": replace(sample(), headers=(("X-Model", "m"), ("X-Token-Count", "540,400")))},
        {"sample": replace(sample(), headers=(("X-Model", "m"), ("X-Prompt-Prefix", "5d:8")))},
    ],
)
def test_a_sample_does_not_get_the_text_of_a_request_with_other_inputs(changes):
    table = RunTable(Clock().now)
    table.slots, table.accepting = 1, True
    first = order("a", sample=sample(), model="m")
    table.submit((first,))
    run = table.next_start()
    table.add_event(run, run.generation, "text", 1)
    table.finish(run, run.generation, RunOutcome.COMPLETE)
    assert not run.can_serve(replace(first, **changes))
    assert run.can_serve(first)
