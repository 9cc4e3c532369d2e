"""An engine's report and orders, decoded."""

from __future__ import annotations

import pytest

from threadramp.platform.engine import EngineReport, OrderOutcome, read_order_answer, read_report


def test_a_report_is_decoded():
    body = (
        b'{"stage":"both","models":[{"name":"m","version":3,"adapters":[]}],"busy":true,"seq":2,'
        b'"state":"ready"}'
    )
    assert read_report(body) == EngineReport({"m": 3}, busy=True, orders=2, leaving=False)


def test_an_engine_that_leaves_says_so():
    assert read_report(b'{"models":[],"busy":false,"seq":0,"state":"draining"}').leaving


@pytest.mark.parametrize("body", [b"", b"[]", b'{"models":3}'])
def test_what_is_no_report_is_an_error(body):
    with pytest.raises(ValueError):
        read_report(body)


def test_answers_to_orders_are_told_apart():
    assert read_order_answer(421) is OrderOutcome.OTHER_INSTANCE
    assert read_order_answer(500) is OrderOutcome.UNKNOWN
