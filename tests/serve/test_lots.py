"""Lots over real processes, with killed processes, an unreachable store and lost responses."""

from __future__ import annotations

import signal
import threading
import time

import pytest

from tests.serve.fleet import wait_for
from tests.serve.texts import result_errors


def test_a_lot_is_run_scored_and_read_at_every_gateway(fleet):
    first, second = fleet.gateways
    assert fleet.hand_in(first, "lot1") == 202
    results = fleet.whole(first, "lot1")
    assert len({row["id"] for row in results}) == 6
    for row in results:
        name = row["id"]
        assert row["state"] == "succeeded"
        assert row["text"] == "\n".join(f"{name}-{n}" for n in range(1, 6))
        assert row["versions"] == [1]
        assert row["score"] == "sig-" + name.replace("-s", "-r")
    assert fleet.results(second, "lot1")["results"] == results
    assert fleet.results(second, "lot1", after=4)["results"] == results[4:]
    assert 'threadramp_events_total{kind="listed",label="succeeded"} 6.0' in first.metrics()
    metrics = [sidecar.metrics() for sidecar in fleet.sidecars]
    assert any('kind="sample_ended",label="whole"' in text for text in metrics)


def test_a_lot_that_is_submitted_again_is_accepted_once(fleet):
    first, second = fleet.gateways
    assert fleet.hand_in(first, "lot1") == 202
    assert fleet.hand_in(second, "lot1") == 202
    assert fleet.hand_in(first, "lot1") == 202
    assert len(fleet.whole(second, "lot1")) == 6


def test_a_lost_response_of_the_store_loses_no_lot(fleet):
    fleet.store.faults["lose_answers"] = 3
    assert fleet.hand_in(fleet.gateways[0], "lot1") == 202
    assert len(fleet.whole(fleet.gateways[0], "lot1")) == 6


def test_the_lot_of_a_killed_gateway_continues_elsewhere_with_the_same_positions(fleet):
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=30, gap_s=0.05, marked=True)
    assert fleet.hand_in(first, "lot1", samples=16) == 202
    wait_for(lambda: fleet.results(second, "lot1")["results"], "a first result")
    before = fleet.results(second, "lot1")["results"]
    first.kill()
    results = fleet.whole(second, "lot1")
    assert results[: len(before)] == before
    assert len({row["id"] for row in results}) == 16
    for row in results:
        assert result_errors(row, fleet.engines, 30) == []


def test_samples_of_a_killed_sidecar_are_resumed_after_their_events(fleet):
    first = fleet.gateways[0]
    for engine in fleet.engines:
        engine.faults.update(events=40, gap_s=0.05, marked=True)
    assert fleet.hand_in(first, "lot1") == 202
    wait_for(lambda: any(engine.runs for engine in fleet.engines), "samples at an engine")
    time.sleep(1.0)
    # either sidecar may be ready first and get all samples
    number = 0 if fleet.engines[0].runs else 1
    fleet.sidecars[number].kill()
    results = fleet.whole(first, "lot1")
    for row in results:
        assert result_errors(row, fleet.engines, 40) == []
    resumed = [run for run in fleet.engines[1 - number].runs if run["after"]]
    assert resumed, "no sample was resumed"


def test_all_processes_killed_lose_nothing_that_was_acknowledged(fleet):
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=20, gap_s=0.05, marked=True)
    assert fleet.hand_in(first, "lot1", samples=12) == 202
    wait_for(lambda: fleet.results(first, "lot1")["results"], "a first result")
    before = fleet.results(first, "lot1")["results"]
    for box in fleet.boxes:
        box.kill()
    for box in fleet.boxes:
        box.start()
    results = fleet.whole(second, "lot1")
    assert results[: len(before)] == before
    assert len({row["id"] for row in results}) == len(results) == 12
    for row in results:
        assert result_errors(row, fleet.engines, 20) == []


def test_an_outage_of_the_store_is_reported_at_once_and_survived(fleet):
    first = fleet.gateways[0]
    fleet.hand_in(first, "lot1")
    results = fleet.whole(first, "lot1")
    fleet.store.faults["outage"] = True
    started = time.monotonic()
    body = fleet.lot("lot2")
    response = first.call("POST", "/lots/lot2", body=body, X_Attempt_Id="lot2")
    assert response.status in (503, 504)
    assert response.status == 504 or float(response.headers["Retry-After"]) > 0
    assert time.monotonic() - started < 4.0
    assert fleet.results(first, "lot1")["results"] == results
    assert first.call("GET", "/threadramp/lots/never").status == 503
    fleet.store.faults["outage"] = False
    wait_for(lambda: fleet.hand_in(first, "lot3") == 202, "lots are accepted again")
    assert len(fleet.whole(first, "lot3")) == 6


def test_a_lot_submitted_during_a_short_outage_is_accepted_after_it(fleet):
    first = fleet.gateways[0]
    fleet.store.faults["outage"] = True
    threading.Timer(2.5, fleet.store.faults.update, ({"outage": False},)).start()
    response = first.call(
        "POST", "/lots/lot1", body=fleet.lot("lot1"), X_Attempt_Id="lot1", X_Deadline_Ms="12000"
    )
    assert response.status == 202
    assert len(fleet.whole(first, "lot1")) == 6


def test_an_ended_lot_is_not_run_further_and_stays_readable(fleet):
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=400, gap_s=0.05)
    assert fleet.hand_in(first, "lot1", samples=30) == 202
    wait_for(lambda: len(fleet.engines[0].runs) >= 6, "samples began")
    assert second.call("DELETE", "/threadramp/lots/lot1").status == 200
    assert second.call("DELETE", "/threadramp/lots/lot1").status == 200
    time.sleep(0.5)
    began = len(fleet.engines[0].runs) + len(fleet.engines[1].runs)
    time.sleep(1.0)
    assert len(fleet.engines[0].runs) + len(fleet.engines[1].runs) == began
    assert fleet.results(first, "lot1")["total"] == 30


def test_an_end_while_the_lots_gateway_is_suspended_reaches_it_when_it_resumes(fleet):
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=400, gap_s=0.05)
    assert fleet.hand_in(first, "lot1", samples=30) == 202
    wait_for(lambda: fleet.results(second, "lot1") is not None, "second knows the lot")
    wait_for(lambda: all(engine.runs for engine in fleet.engines), "samples began at both")
    first.process.send_signal(signal.SIGSTOP)
    try:
        assert second.call("DELETE", "/threadramp/lots/lot1").status == 200
    finally:
        first.process.send_signal(signal.SIGCONT)
    time.sleep(1.5)
    began = [len(engine.runs) for engine in fleet.engines]
    time.sleep(1.5)
    assert [len(engine.runs) for engine in fleet.engines] == began


def test_an_end_at_a_gateway_that_does_not_list_the_lots_gateway_stops_its_samples(fleet):
    first, second = fleet.gateways
    fleet.engines[0].faults.update(events=400, gap_s=0.05)
    fleet.engines[1].faults["reject"] = 1_000_000  # its sidecar keeps samples that have not begun
    assert fleet.hand_in(first, "lot1", samples=30) == 202
    wait_for(lambda: len(fleet.engines[0].runs) >= 6, "samples began")
    wait_for(lambda: fleet.engines[1].faults["reject"] < 1_000_000, "samples are attempted")
    wait_for(lambda: fleet.results(second, "lot1") is not None, "second knows the lot")
    wait_for(
        lambda: any(row["member"] == "front-0" for row in second.lines("member")),
        "second lists the first",
    )
    fleet.remove("member/front-0")
    wait_for(
        lambda: any(row["member"] == "front-0" for row in second.lines("member_removed")),
        "second no longer lists the first",
    )
    assert second.call("DELETE", "/threadramp/lots/lot1").status == 200
    time.sleep(3.0)  # after an end samples may still begin for this time
    fleet.engines[1].faults["reject"] = 0
    time.sleep(1.5)
    assert fleet.engines[1].runs == []


def test_the_body_of_a_sample_can_be_read_at_every_gateway(fleet):
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=200, gap_s=0.05)
    fleet.hand_in(first, "lot1")
    for gateway in (first, second):
        response = gateway.call("GET", "/threadramp/items/lot1?id=lot1-s3")
        assert (response.status, response.data) == (200, b"prompt 3")
        assert gateway.call("GET", "/threadramp/items/lot1?id=other").status == 404


def test_failing_samples_are_given_up_after_as_many_runs_as_allowed(fleet):
    first = fleet.gateways[0]
    for engine in fleet.engines:
        engine.faults["fail"] = 1000
    fleet.hand_in(first, "lot1", samples=2)
    results = fleet.whole(first, "lot1")
    assert {row["state"] for row in results} == {"dead"}
    runs = [run["id"] for engine in fleet.engines for run in engine.runs]
    assert all(runs.count(f"lot1-s{n}") == 3 for n in range(2))


def test_an_impossible_sample_is_given_up_at_once(fleet):
    fleet.engines[0].faults["impossible"] = fleet.engines[1].faults["impossible"] = 1000
    fleet.hand_in(fleet.gateways[0], "lot1", samples=2)
    results = fleet.whole(fleet.gateways[0], "lot1")
    assert {row["state"] for row in results} == {"dead"}


def test_interrupted_streams_are_resumed(fleet):
    for engine in fleet.engines:
        engine.faults["cut"] = 5
    fleet.hand_in(fleet.gateways[0], "lot1")
    for row in fleet.whole(fleet.gateways[0], "lot1"):
        assert row["text"] == "\n".join(f"{row['id']}-{n}" for n in range(1, 6))


def test_a_published_version_is_loaded_once_and_labels_its_results(fleet):
    fleet.publish_version(2)
    wait_for(lambda: all(one.versions["m"] == 2 for one in fleet.engines), "version 2 loaded")
    assert [len(engine.orders) for engine in fleet.engines] == [1, 1]
    fleet.hand_in(fleet.gateways[0], "lot1", min_version=2)
    assert all(row["versions"] == [2] for row in fleet.whole(fleet.gateways[0], "lot1"))


@pytest.mark.parametrize(
    "body", [b"", b"no lot", b"[]", b'{"requests":[]}', b'{"requests":[{"id":"x"}]}']
)
def test_an_invalid_lot_is_refused_and_nothing_runs(fleet, body):
    response = fleet.gateways[0].call("POST", "/lots/x", body=body, X_Attempt_Id="x")
    assert response.status == 400
    assert response.data
    assert fleet.gateways[0].ready() == 200
    assert fleet.keys("lot/") == []


def test_long_samples_resume_after_their_stored_text_if_all_processes_are_killed(fleet):
    first = fleet.gateways[0]
    for engine in fleet.engines:
        engine.faults.update(events=80, gap_s=0.05)
    assert fleet.hand_in(first, "lot1", samples=2) == 202
    wait_for(
        lambda: any(row["samples"] == 2 for row in first.lines("texts_saved")),
        "the text of both samples is stored",
    )
    for box in fleet.boxes:
        box.kill()
    for box in fleet.boxes:
        box.start()
    for row in fleet.whole(first, "lot1"):
        assert row["text"] == "\n".join(f"{row['id']}-{n}" for n in range(1, 81))
    runs = [run for engine in fleet.engines for run in engine.runs if "-s" in run["id"]]
    started_from_scratch = [run["id"] for run in runs if run["after"] == 0]
    # once each, before the processes were killed
    assert sorted(started_from_scratch) == ["lot1-s0", "lot1-s1"]
    assert all(run["after"] >= 25 for run in runs if run["after"])


class OutageAfterWrite:
    """Takes the store away right after a write was done, before it is answered.

    :param is_last: told the keys of each write that was done; true for the one to leave unanswered
    """

    def __init__(self, fleet, is_last) -> None:
        self.store = fleet.store
        self.is_last = is_last
        self.commit = self.store._commit
        self.store._commit = self._commit

    def _commit(self, asked):
        answer = self.commit(asked)
        if answer.status == 200 and self.is_last([put["key"] for put in asked.get("puts", [])]):
            self.store._commit = self.commit
            self.store.faults.update(lose_answers=1, outage=True)
        return answer

    def end(self) -> None:
        self.store.faults["outage"] = False


def test_a_gateway_keeps_its_lot_if_an_append_was_not_answered_during_an_outage(fleet):
    """It took its own write for another gateway's and dropped the lot: review/2."""
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=10, gap_s=0.05)
    outage = OutageAfterWrite(fleet, lambda keys: "lot-chunk/lot1/0" in keys)
    assert fleet.hand_in(first, "lot1", samples=30) == 202
    wait_for(lambda: first.lines("append_failed"), "the gateway gives an append up")
    outage.end()
    results = fleet.whole(second, "lot1")
    assert len({row["id"] for row in results}) == len(results) == 30
    assert first.lines("lot_owner_changed") == []
    assert second.lines("lot_adopted") == []


def test_a_lot_whose_hand_in_ended_unknown_runs_soon_after_the_outage(fleet):
    """Its head named a live gateway that did not run it, until the next scan of the heads."""
    first, second = fleet.gateways
    outage = OutageAfterWrite(fleet, lambda keys: "lot/lot1" in keys)
    answer = first.call(
        "POST", "/lots/lot1", body=fleet.lot("lot1"), X_Attempt_Id="lot1", X_Deadline_Ms="2000"
    )
    assert answer.status == 504
    outage.end()
    wait_for(lambda: any(one.runs for one in fleet.engines), "a sample runs", 4.0)
    assert len(fleet.whole(second, "lot1")) == 6
    assert second.lines("lot_adopted") == []


def test_an_end_that_was_not_answered_is_reported_as_unknown_and_takes_effect(fleet):
    """It was answered 503, which promises that the lot does not end."""
    first = fleet.gateways[0]
    for engine in fleet.engines:
        engine.faults.update(events=400, gap_s=0.05)
    assert fleet.hand_in(first, "lot1", samples=30) == 202
    wait_for(lambda: any(engine.runs for engine in fleet.engines), "samples began")
    outage = OutageAfterWrite(fleet, lambda keys: "lot/lot1" in keys)
    assert first.call("DELETE", "/threadramp/lots/lot1").status == 504
    outage.end()
    wait_for(lambda: first.lines("lot_ended"), "the lot ends", 4.0)


def test_an_end_that_the_store_refused_is_reported_as_not_done(fleet):
    first = fleet.gateways[0]
    for engine in fleet.engines:
        engine.faults.update(events=400, gap_s=0.05)
    assert fleet.hand_in(first, "lot1") == 202
    fleet.store.faults["calls_per_s"] = 0.001
    fleet.store.faults_changed()
    answer = first.call("DELETE", "/threadramp/lots/lot1")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    fleet.store.faults["calls_per_s"] = 0
    fleet.store.faults_changed()
    assert first.call("DELETE", "/threadramp/lots/lot1").status == 200
