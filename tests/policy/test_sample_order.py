"""Which waiting sample goes first when lots of several trainers share a pool."""

from __future__ import annotations

import pytest

from threadramp.policy.sample_order import MAX_QUEUED_URGENT, ORDERS, URGENT_S, WaitingSample

NOW = 100.0


def sample(name: str, due: float, run_s: float) -> WaitingSample:
    return WaitingSample(None, name, "", due, run_s)


def names(order: str, *rows: WaitingSample) -> list[str]:
    return [one.sample for one in ORDERS[order]().sorted(rows)]


EARLIER_LOT = (sample("a-long", NOW + 6.0, 5.0), sample("a-short", NOW + 6.0, 0.5))
LATER_LOT = (sample("b-long", NOW + 7.0, 6.5), sample("b-short", NOW + 7.0, 0.5))


def test_by_due_time_a_lot_goes_with_all_its_samples():
    found = names("due", *LATER_LOT, *EARLIER_LOT)
    assert found == ["a-long", "a-short", "b-long", "b-short"]


def test_a_long_sample_of_a_later_lot_goes_before_a_short_one_of_an_earlier_lot():
    """The short samples of one trainer's lot made another trainer's lot late."""
    found = names("latest_start", *EARLIER_LOT, *LATER_LOT)
    assert found == ["b-long", "a-long", "a-short", "b-short"]


def test_only_urgent_samples_wait_at_a_sidecar():
    order = ORDERS["latest_start"]()
    assert order.queued(NOW + URGENT_S / 2, NOW) == MAX_QUEUED_URGENT
    assert order.queued(NOW + URGENT_S * 2, NOW) == 0


@pytest.mark.parametrize(("order", "run_s"), [("due", 0.0), ("latest_start", 2.5)])
def test_sidecars_go_by_the_time_of_the_run_only_if_the_order_does(order, run_s):
    """Absent from an order to a sidecar, nothing changes there."""
    assert ORDERS[order]().expected_s(2.5) == run_s
