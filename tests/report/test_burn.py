from __future__ import annotations

from threadramp.core.burn import BurnRecorder
from threadramp.report.burn import burn_html, burn_report, burn_text


def test_burn_is_the_spent_share_of_the_error_budget() -> None:
    recorder = BurnRecorder({"interactive": 0.9})
    recorder.record("interactive", good=50, bad=0, now=0.0)
    recorder.record("interactive", good=30, bad=20, now=1000.0)
    other = BurnRecorder({"interactive": 0.9})
    other.record("interactive", good=50, bad=0, now=500.0)
    records = [*recorder.records(1001.0), *other.records(501.0)]
    five_minutes, hour, _ = burn_report(records)[0].windows
    assert (five_minutes.events, round(five_minutes.burn, 6)) == (100, 2.0)
    assert (hour.events, round(hour.good_share, 6)) == (150, round(130 / 150, 6))


def test_old_events_are_removed() -> None:
    recorder = BurnRecorder({"x": 0.9})
    recorder.record("x", 1, 0, now=0.0)
    recorder.record("x", 1, 0, now=30_000.0)
    assert len(recorder.records(30_000.0)[0].points) == 1


def test_report_is_rendered_as_text_and_page() -> None:
    recorder = BurnRecorder({"staleness": 0.9})
    recorder.record("staleness", 9, 1, now=0.0)
    records = recorder.records(1.0)
    assert "staleness            0.900    5 min         10   0.9000    1.00" in burn_text(
        burn_report(records)
    )
    page = burn_html(records)
    assert "<svg" in page
    assert "http://localhost" not in page
    assert "<script src" not in page
