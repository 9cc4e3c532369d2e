"""The share of its calls that each organisation had served, from a day's logs."""

from __future__ import annotations

from tests.report.test_day import answered
from threadramp.report.day import DayLog
from threadramp.report.organisation_shares import shares_text


def test_shares_are_shown_and_starved_organisations_are_named():
    log = DayLog()
    log.read([answered(n, 50, organisation="acme") for n in range(20)])
    log.read([answered(n, 50, 503, organisation="rival") for n in range(4)])
    log.read([answered(n, 250, organisation="late") for n in range(4)])
    log.read([answered(9, 50)])
    lines = [line.split() for line in shares_text(log.organisations).splitlines()]
    assert lines[1:4] == [
        ["rival", "4", "0.000", "0.000"],
        ["acme", "20", "1.000", "1.000"],
        ["late", "4", "1.000", "0.000"],
    ]
    assert log.organisations.starved() == ["rival"]


def test_logs_without_organisations_have_no_table():
    log = DayLog()
    log.read([answered(1, 50)])
    assert shares_text(log.organisations) == ""


def test_an_organisation_with_few_calls_does_not_count_as_starved():
    log = DayLog()
    log.read([answered(n, 50, organisation="acme") for n in range(20)])
    log.read([answered(n, 50, 503, organisation="rival") for n in range(3)])
    assert log.organisations.starved() == []
