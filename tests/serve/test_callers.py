"""Requests of callers, changes of configuration, draining and planned stops over real processes."""

from __future__ import annotations

import http.client
import itertools
import signal
import threading
import time

from urllib3.exceptions import HTTPError

from tests.serve.fleet import CALLS, PORTS, wait_for


def send_request(gateway, target="/x", name="r1", **more):
    return gateway.call("POST", target, host=CALLS, body=b"q", X_Attempt_Id=name, **more)


def test_a_request_is_answered_by_its_endpoint(fleet):
    response = send_request(fleet.gateways[0], "/a/b?c=d%20e")
    assert (response.status, response.data) == (200, b"i-c0 answers r1")
    assert response.headers["X-Server-Stamp"] == "sig-r1"
    assert fleet.callee.runs[-1]["id"] == "r1"


def test_a_caller_that_lists_the_id_in_its_connection_header_gets_its_answers(fleet):
    """The id was dropped, so later requests ran at each endpoint and were answered 502."""
    gateway = fleet.gateways[0]
    for number in range(6):
        response = send_request(gateway, name=f"r{number}", Connection="keep-alive, X-Attempt-Id")
        assert (response.status, response.data) == (200, f"i-c0 answers r{number}".encode())
    assert [run["id"] for run in fleet.callee.runs] == [f"r{number}" for number in range(6)]


def test_a_request_without_a_route_gets_404(fleet):
    assert fleet.gateways[0].call("GET", "/", host="unknown.example").status == 404


def test_a_process_that_knows_no_configuration_responds_503(fleet, tmp_path):
    fleet.store.faults["outage"] = True
    late = fleet._box(tmp_path, "gateway", "front-late")
    late.start()
    wait_for(lambda: late.ready() == 503, "it responds 503")
    response = send_request(late)
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    fleet.store.faults["outage"] = False
    wait_for(lambda: late.ready() == 200, "ready")
    assert send_request(late).status == 200


def test_a_changed_configuration_is_in_force_at_once(fleet):
    fleet.configure(version=4, pathPrefix="/new/")
    for gateway in fleet.gateways:
        wait_for(
            lambda box=gateway: send_request(box, "/x").status == 404,
            "the old route is removed",
            2.0,
        )
        assert send_request(gateway, "/new/x").status == 200


def test_the_timeout_of_the_route_limits_the_request(fleet):
    fleet.configure(version=4, timeoutMs=300)
    fleet.callee.faults["hold_s"] = 3.0
    time.sleep(0.5)
    started = time.monotonic()
    assert send_request(fleet.gateways[0], X_Deadline_Ms="5000").status == 504
    assert time.monotonic() - started < 0.7


def test_full_endpoints_are_reported_at_once(fleet):
    fleet.callee.faults["reject"] = 1000
    started = time.monotonic()
    response = send_request(fleet.gateways[0])
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
    assert time.monotonic() - started < 1.0


def test_a_draining_endpoint_gets_no_new_requests(fleet):
    fleet.register("i-c0", "calls", "127.0.0.1:1", state="draining")
    wait_for(lambda: send_request(fleet.gateways[0]).status == 503, "no endpoint is left", 2.0)
    runs = len(fleet.callee.runs)
    send_request(fleet.gateways[1])
    assert len(fleet.callee.runs) <= runs + 1


def test_a_body_over_the_limit_is_refused(fleet):
    gateway = fleet.gateways[0]
    response = gateway.call("POST", "/x", host=CALLS, body=b"x" * 2_000_001, X_Attempt_Id="big")
    assert response.status == 413
    assert gateway.ready() == 200


def test_changed_limits_of_the_configuration_apply(fleet):
    gateway = fleet.gateways[0]
    padding = "x" * 3_000
    assert send_request(gateway, X_Padding=padding).status == 200
    fleet.configure(version=4, limits={"maxHeaderBytes": 2_000})
    wait_for(lambda: send_request(gateway, X_Padding=padding).status == 431, "refused", 2.0)
    assert send_request(gateway).status == 200
    changes = wait_for(
        lambda: [row for row in gateway.lines("caller_limits") if row["version"] == 4], "logged"
    )
    assert changes[0]["header_bytes"] == 2_000


def test_a_planned_stop_finishes_open_requests(fleet):
    first = fleet.gateways[0]
    fleet.callee.faults["hold_s"] = 1.0
    answers = []
    thread = threading.Thread(target=lambda: answers.append(send_request(first).status))
    thread.start()
    time.sleep(0.3)
    first.process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    assert first.ready() == 503
    # the balancer still sends requests for a while
    assert send_request(first, name="r2").status == 200
    thread.join()
    assert answers == [200]
    first.process.wait(8.0)
    assert first.process.returncode == 0
    assert [row["box"] for row in first.lines("stopped")] == [first.name]


def test_a_planned_stop_runs_no_request_that_it_does_not_answer(fleet):
    """Requests that arrive until the last moment are answered, or not read at all."""
    first = fleet.gateways[0]
    fleet.callee.faults["hold_s"] = 0.05
    unanswered: set[str] = set()
    stopped = threading.Event()

    def keep_sending(caller: int) -> None:
        for number in itertools.count():
            name = f"c{caller}-{number}"
            try:
                send_request(first, name=name)
            except HTTPError:
                unanswered.add(name)
            if stopped.is_set():
                return

    threads = [threading.Thread(target=keep_sending, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    first.process.send_signal(signal.SIGTERM)
    first.process.wait(8.0)
    stopped.set()
    for thread in threads:
        thread.join()
    assert unanswered  # callers kept sending until the process had exited
    assert not unanswered & {run["id"] for run in fleet.callee.runs}


def test_a_planned_stop_hands_the_lots_over(fleet):
    first, second = fleet.gateways
    for engine in fleet.engines:
        engine.faults.update(events=60, gap_s=0.05)
    fleet.hand_in(first, "lot1", samples=4)
    assert first.stop() < 8.0
    assert len(fleet.whole(second, "lot1")) == 4
    assert [row["lot"] for row in second.lines("lot_adopted")] == ["lot1"]


def test_changed_settings_are_read_again_and_invalid_ones_refused(fleet):
    first = fleet.gateways[0]
    first.settings["bounds"]["graceS"] = 9
    first.write()
    wait_for(lambda: first.lines("reload"), "the file is read without a signal", 5.0)
    first.settings["node"] = None
    first.write()
    first.process.send_signal(signal.SIGHUP)
    wait_for(lambda: first.lines("settings_refused"), "the settings are refused", 5.0)
    assert send_request(first).status == 200


def test_the_operators_retire_request_is_answered(fleet):
    fleet.put("op/retire/store-a-1", {"durationS": 8})
    wait_for(lambda: fleet.keys("status/retire/"), "answered", 5.0)
    assert fleet.value("status/retire/store-a-1") == b'{"state":"succeeded"}'


def test_a_member_whose_lease_was_revoked_lists_itself_again(fleet):
    fleet.store.faults["revoke"] = True
    with fleet.store.lock:
        fleet.store.faults_changed()
    assert fleet.keys("member/") == []
    wait_for(lambda: len(fleet.keys("member/")) == 4, "listed again", 10.0)


def test_metrics_are_served_at_the_metrics_address(fleet):
    send_request(fleet.gateways[0])
    text = fleet.gateways[0].metrics()
    assert 'threadramp_events_total{kind="answer",label="answered"}' in text
    assert "threadramp_latency_seconds" in text
    assert PORTS["metrics"] == 9464  # as in the deploy file


def test_a_process_with_invalid_settings_exits_with_findings(fleet, tmp_path):
    bad = fleet._box(tmp_path, "gateway", "front-bad")
    bad.settings["provider"] = {}
    bad.write()
    bad.start()
    assert bad.process.wait(10.0) == 2
    (line,) = bad.lines("settings_refused")
    assert "provider.address" in line["findings"][0]


def test_a_streaming_route_is_forwarded_event_by_event(fleet):
    route = {"kind": "streaming", "resumable": True, "backend": "engines", "timeoutMs": 8000}
    fleet.configure(version=4, **route)  # its events take 1.2 s on an idle box
    for engine in fleet.engines:
        engine.faults.update(events=6, gap_s=0.2, cut=1)
    gateway = fleet.gateways[0]
    wait_for(lambda: 4 in [row["version"] for row in gateway.lines("configuration")], "in force")
    started = time.monotonic()
    connection = http.client.HTTPConnection(gateway.ip, PORTS["front"], timeout=10)
    head = {"Host": CALLS, "X-Attempt-Id": "s1", "X-Model": "m"}
    connection.request("POST", "/talk", b"prompt", head)
    response = connection.getresponse()
    first = b"id: 1\ndata: s1-1\n\n"
    assert response.read(len(first)) == first
    assert time.monotonic() - started < 0.9
    rest = b"".join(f"id: {n}\ndata: s1-{n}\n\n".encode() for n in range(2, 7))
    assert response.read() == rest
    connection.close()
    assert wait_for(lambda: gateway.lines("stream_resumed"), "the stream broke and was resumed")


def test_a_stop_that_took_long_tells_that_its_process_was_paused(fleet):
    """A stop of 8.4 s left no line from which a paused process could be told from a slow one."""
    first = fleet.gateways[0]
    first.process.send_signal(signal.SIGTERM)
    time.sleep(0.5)
    first.process.send_signal(signal.SIGSTOP)
    time.sleep(1.5)
    first.process.send_signal(signal.SIGCONT)
    first.process.wait(8.0)
    stall = max(first.lines("process_stalled"), key=lambda row: row["late_s"])
    assert stall["late_s"] >= 1.0
    assert stall["cpu_s"] < 0.5 * stall["late_s"]
