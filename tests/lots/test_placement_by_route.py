"""Samples that a gateway sends while the configuration changes, without a network."""

from __future__ import annotations

from tests.lots.routed import POOL, reconfigure, route, set_engines
from tests.lots.test_items_after_crashes import RUNNERS, Pool
from threadramp.core.lot_tracker import Phase
from threadramp.wire.fleet import Accepted


def engines_of(pool: Pool, name: str) -> None:
    set_engines(pool.peers.fleet_view, {f"{runner}:80": name for runner in RUNNERS})


# Guards against an order that names a newer configuration than the one that chose its engine.
def test_a_change_between_the_choice_and_the_order_leaves_the_sample_waiting(clock, monkeypatch):
    pool = Pool(clock)
    lot = pool.add_lot()
    choose = pool.dispatcher._batches

    def choose_before_a_change() -> dict:
        batches = choose()
        assert batches
        reconfigure(pool.peers.fleet_view, route("others"), revision=9)
        return batches

    monkeypatch.setattr(pool.dispatcher, "_batches", choose_before_a_change)
    pool.send()
    assert lot.tracker.states["a"].phase is Phase.WAITING


def test_an_order_names_the_pool_and_the_configuration_that_allows_it(clock, monkeypatch):
    pool = Pool(clock)
    pool.add_lot()
    sent = []

    def ask(address: str, ask, timeout_s: float) -> Accepted:
        sent.extend(ask.orders)
        return Accepted(pool.peers.status(address), {order.sample.id: "L1" for order in ask.orders})

    monkeypatch.setattr(pool.peers, "ask", ask)
    reconfigure(pool.peers.fleet_view, route(POOL), revision=12)
    pool.send()
    assert [(order.pool, order.configuration_revision) for order in sent] == [(POOL, 12)]


# Guards against samples sent to an engine whose entry names another pool by now.
def test_an_engine_whose_address_another_pool_reuses_gets_no_sample(clock):
    pool = Pool(clock)
    lot = pool.add_lot()
    engines_of(pool, "others")
    pool.send()
    assert lot.tracker.states["a"].phase is Phase.WAITING
