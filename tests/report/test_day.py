"""Reading the objectives' events from a day's logs."""

from __future__ import annotations

import json

import pytest

from threadramp.report.burn import burn_html, burn_report, burn_text
from threadramp.report.day import DayLog


def line(kind: str, at: float, box: str = "", **fields) -> str:
    row = {"message_type": f"threadramp:{kind}", "timestamp": 1_000.0 + at, **fields}
    return f"{box}{json.dumps(row)}"


def answered(at: float, ms: float, status: int = 200, route: str = "r", **more) -> str:
    return line("answered", at, route=route, status=status, ms=ms, target_ms=200, **more)


@pytest.fixture
def log() -> DayLog:
    return DayLog()


def burn_of(log: DayLog, target: float = 0.9) -> dict[str, tuple[float, float]]:
    report = burn_report(log.records(target), [log.span_s + 1.0])
    return {one.name: (one.windows[0].events, one.windows[0].good_share) for one in report}


def test_an_answer_is_good_if_it_succeeded_within_its_routes_target(log):
    log.read([answered(0, 50), answered(1, 250), answered(2, 50, 503), answered(3, 199)])
    assert burn_of(log) == {"route r": (4, 0.5)}


def test_samples_are_good_if_they_were_listed_by_the_time_their_lot_was_due(log):
    log.read(
        [
            line("listed", 9.0, lot="a", samples=["s4"]),
            line("lot_taken", 0.0, lot="a", due_s=7.5, samples=4),
            line("listed", 5.0, lot="a", samples=["s1", "s2", "s3"]),
        ]
    )
    assert burn_of(log) == {"samples in time": (4, 0.75)}


def test_a_lot_that_is_taken_over_keeps_its_due_time(log):
    log.read([line("lot_taken", 0.0, lot="a", due_s=7.5, samples=1)])
    log.read([line("lot_adopted", 6.0, lot="a"), line("listed", 8.0, lot="a", samples=["s"])])
    assert burn_of(log) == {"samples in time": (1, 0.0)}


def test_lines_of_other_kinds_and_prefixes_are_ignored(log):
    log.read(["  3.1 front-1 " + answered(0, 5), "no line of ours", line("start", 1), "{broken"])
    assert burn_of(log) == {"route r": (1, 1.0)}
    assert log.unreadable == 1


def test_store_outages_are_collected(log):
    log.read([line("store_regained", 5.0, away_s=4.2)])
    assert [outage.duration_s for outage in log.store_outages] == [4.2]


def test_the_report_is_rendered_as_text_and_page(log):
    log.read([answered(0, 50), answered(40, 500)])
    records = log.records(0.9)
    assert "route r              0.900      4 s          1   0.0000   10.00" in burn_text(
        burn_report(records, [4.0])
    )
    page = burn_html(records, [4.0], log.span_s)
    assert "seconds ago" in page


def test_an_empty_log_has_no_events(log):
    assert log.records(0.9) == []
    assert log.span_s == 0.0
