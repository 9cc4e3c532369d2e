"""Samples that a gateway sends to sidecars and the answers to them, without a network."""

from __future__ import annotations

from tests.lots.test_items_after_crashes import Pool
from threadramp.core.lot_tracker import Phase
from threadramp.lots.model import Result, ResultState


# Guards against one sample at two positions of its lot: it was listed or given up between the
# choice of its sidecar and the order, and was run again.
def test_a_sample_that_got_a_result_after_it_was_chosen_is_not_sent(clock, monkeypatch):
    pool = Pool(clock)
    lot = pool.add_lot()
    choose = pool.dispatcher._batches

    def choose_before_the_result() -> dict:
        batches = choose()
        assert batches
        lot.tracker.appended([Result("a", ResultState.DEAD, "", (), "")])
        return batches

    monkeypatch.setattr(pool.dispatcher, "_batches", choose_before_the_result)
    pool.send()
    assert lot.tracker.states["a"].phase is Phase.LISTED
