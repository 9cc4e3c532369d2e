"""Samples that a gateway sends to sidecars and the answers to them, without a network."""

from __future__ import annotations

from tests.lots.test_items_after_crashes import Pool
from threadramp.core.lot_tracker import Phase, RunOutcome
from threadramp.lots.model import Result, ResultState
from threadramp.lots.owned import OwnedLot
from threadramp.wire.fleet import Updates
from threadramp.wire.runner import RunUpdate


def report(pool: Pool, lot: OwnedLot, base: int, events: tuple[str, ...], outcome: str) -> None:
    """Report the events of the only sample from the sidecar that runs it."""
    view = pool.dispatcher.views[lot.tracker.states["a"].runner]
    update = RunUpdate("a", base, events, (3,) * len(events), "L1", outcome)
    reply = Updates(pool.peers.status(view.member.address), (update,), ())
    pool.dispatcher.updates.apply_updates(view, [lot], reply)


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


# Guards against a listed text whose number of events is not that of the complete run.
def test_a_complete_run_with_fewer_events_than_known_is_not_listed(clock):
    pool = Pool(clock)
    lot = pool.add_lot()
    pool.send()
    report(pool, lot, 0, ("one", "two"), "")
    report(pool, lot, 0, ("one",), RunOutcome.COMPLETE.value)
    assert lot.tracker.states["a"].phase is Phase.WAITING
    pool.send()
    report(pool, lot, 0, ("one", "two", "three"), RunOutcome.COMPLETE.value)
    assert lot.tracker.states["a"].result.text == "one\ntwo\nthree"
