"""Reading the times of lots and the calls to the store from a day's logs."""

from __future__ import annotations

from collections import Counter

from cleo.testers.command_tester import CommandTester

from tests.report.test_day import line
from threadramp.cli.report import ReportDayCommand
from threadramp.report.day import DayLog
from threadramp.report.lot_times import MAX_CAUSES, call_text, lot_text

DAY = [
    line("lot_taken", 0.0, lot="a", due_s=7.5, samples=2, model="m", step=3),
    line("samples_sent", 0.1, sidecar="s1", taken=["short"], refused=1),
    line("samples_sent", 2.1, sidecar="s2", taken=["long"], refused=0),
    line("samples_sent", 4.0, sidecar="s3", taken=["long"], refused=0),
    line("run_ended", 0.9, sample="short", lot="a", outcome="whole", events=20),
    line("run_ended", 3.9, sample="long", lot="a", outcome="cut", events=50),
    line("run_ended", 9.0, sample="long", lot="a", outcome="whole", events=180),
    line("listed", 1.0, lot="a", samples=["short"]),
    line("listed", 9.25, lot="a", samples=["long"]),
    line("store_calls", 5.0, role="gateway", calls={"write lot": 3, "watch op": 1}),
    line("store_calls", 10.0, role="gateway", calls={"write lot": 2}),
    line("store_calls", 10.0, role="sidecar", calls={"renew lease": 6}),
]


def test_lot_times_have_the_wait_of_the_longest_sample_and_the_last_listing():
    log = DayLog()
    log.read(DAY)
    (lot,) = log.lot_times()
    assert (lot.model, lot.step, lot.due_s) == ("m", 3, 7.5)
    assert round(lot.wait_s, 2) == 2.1  # not the short sample's wait, nor the second run's
    assert round(lot.listed_s, 2) == 9.25


def test_unknown_times_are_shown_as_dashes():
    log = DayLog()
    log.read([line("lot_taken", 0.0, lot="a", due_s=7.5, samples=2)])
    assert lot_text(log.lot_times()).splitlines()[1].split() == ["a", "0", "-", "-", "7.5"]


def test_calls_to_the_store_are_summed_by_cause_and_role():
    log = DayLog()
    log.read(DAY)
    rows = [row.split() for row in call_text(log.store_calls).splitlines()[1:]]
    assert rows[:2] == [["renew", "lease", "sidecar", "6"], ["write", "lot", "gateway", "5"]]


def test_rare_causes_are_summed():
    calls = Counter({(f"read k{n}", "gateway"): 1 for n in range(MAX_CAUSES + 3)})
    assert call_text(calls).splitlines()[-1].split() == ["others", "3"]


def test_names_from_a_trainer_are_escaped_on_the_page(tmp_path):
    log = tmp_path / "day.log"
    log.write_text(line("lot_taken", 0.0, lot="<b>a", due_s=7.5, samples=1, model="<script>"))
    page = tmp_path / "day.html"
    assert CommandTester(ReportDayCommand()).execute(f"{log} --html {page}") == 0
    assert "<script>" not in page.read_text()
    assert "&lt;script&gt;" in page.read_text()


def test_the_report_shows_lots_and_calls_and_its_page_has_the_plot(tmp_path):
    log = tmp_path / "day.log"
    log.write_text("\n".join(DAY))
    page = tmp_path / "day.html"
    tester = CommandTester(ReportDayCommand())
    assert tester.execute(f"{log} --html {page}") == 0
    assert "write lot" in tester.io.fetch_output()
    assert "wait of the longest sample" in page.read_text()
