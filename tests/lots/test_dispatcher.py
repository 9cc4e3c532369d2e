"""Samples that a gateway sends to sidecars and the answers to them, without a network."""

from __future__ import annotations

from tests.core.test_lot_tracker import make_book, make_sample, start
from tests.lots.test_items_after_crashes import Pool
from threadramp.core.lot_tracker import Phase, RunOutcome
from threadramp.lots.model import Result, ResultState
from threadramp.lots.owned import OwnedLot
from threadramp.wire.fleet import Accepted, Updates
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


# Guards against the text of another request: a trainer that did not wait for the end of a lot used
# an id again, both samples went to one sidecar in one message, and one answer was taken for both.
def test_two_samples_with_one_id_are_not_sent_in_one_message(clock, monkeypatch):
    pool = Pool(clock)
    lots = [pool.add_lot("earlier"), pool.add_lot("later")]
    pool.dispatcher.eligible = frozenset({"s0"})
    messages = []

    def ask(address: str, ask, timeout_s: float) -> Accepted:
        messages.append([order.sample.id for order in ask.orders])
        return Accepted(pool.peers.status(address), {order.sample.id: "L1" for order in ask.orders})

    monkeypatch.setattr(pool.peers, "ask", ask)
    pool.send()
    assert messages == [["a"]]
    waiting = [lot.lot_id for lot in lots if lot.tracker.is_waiting("a")]
    assert len(waiting) == 1


# Guards against a sample that gets no event while its id runs elsewhere for another lot.
def test_events_go_to_the_lot_whose_sample_runs_at_that_sidecar(clock):
    pool = Pool(clock)
    earlier, later = pool.add_lot("earlier"), pool.add_lot("later")
    start(earlier.tracker, "a", "s0")
    start(later.tracker, "a", "s1")
    update = RunUpdate("a", 0, ("one",), (3,), "L1", "")
    reply = Updates(pool.peers.status("s0:1"), (update,), ())
    pool.dispatcher.updates.apply_updates(pool.dispatcher.views["s0"], [earlier, later], reply)
    assert earlier.tracker.states["a"].events == ["one"]
    assert later.tracker.states["a"].events == []


# Guards against a whole text that waits for ever: it needs no run, and nothing asked for its score.
def test_a_new_lot_scores_the_text_that_was_whole_before(clock, monkeypatch):
    pool = Pool(clock)
    scored = []
    monkeypatch.setattr(
        pool.dispatcher.updates, "on_text_complete", lambda lot, sample: scored.append(sample)
    )
    monkeypatch.setattr(pool.peers, "ask_members", lambda asks, timeout_s: {}, raising=False)
    lot = pool.add_lot()
    lot.tracker = make_book(make_sample("a", "g"))
    lot.tracker.prefill("a", ["one"], [3], "L1", is_whole=True)
    pool.dispatcher._find_partial_texts()
    pool.dispatcher._find_partial_texts()
    assert scored == ["a"]
    assert lot.tracker.states["a"].phase is Phase.SCORING
