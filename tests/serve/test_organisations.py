"""Callers of several organisations at real gateways: who is let in, and as whom it is passed on."""

from __future__ import annotations

import socket

import pytest
from cleo.testers.application_tester import ApplicationTester

from tests.serve.fleet import CALLS, PORTS, bearer, wait_for
from threadramp.cli.main import build_application

KEYS = {"acme": ("acme-key-0123456789", "acme-second-0123456"), "rival": ("rival-key-987654321",)}
ACME, SECOND, RIVAL = *KEYS["acme"], *KEYS["rival"]


@pytest.fixture
def guarded(fleet):
    """A fleet whose configuration names two organisations."""
    fleet.configure(version=4, organisations=KEYS)
    for gateway in fleet.gateways:
        wait_for(lambda box=gateway: ask(box, "probe", {}) == 401, f"{gateway.name} asks for keys")
    fleet.callee.runs.clear()
    return fleet


def ask(gateway, request_id: str, headers: dict[str, str]) -> int:
    """Send a call and return the status."""
    return gateway.call("POST", "/x/", host=CALLS, X_Attempt_Id=request_id, **headers).status


def test_the_right_key_is_let_in_under_its_organisations_name(guarded):
    for number, gateway in enumerate(guarded.gateways):
        headers = bearer(ACME) | {"X_Tenant": "rival", "x_tenant": "rival", "Cookie": ACME}
        assert ask(gateway, f"a{number}", headers) == 200
        assert ask(gateway, f"r{number}", bearer(RIVAL)) == 200
    told = {run["id"]: run["tenant"] for run in guarded.callee.runs}
    assert told == {"a0": "acme", "r0": "rival", "a1": "acme", "r1": "rival"}
    assert not any(key in repr(guarded.callee.runs) for key in (ACME, SECOND, RIVAL))


@pytest.mark.parametrize("gateway", [0, 1])
def test_nobody_else_is_let_in(guarded, gateway):
    tries = [
        {},
        {"Authorization": ""},
        {"Authorization": "Bearer"},
        {"Authorization": "Bearer "},
        bearer("unknown-key"),
        bearer(ACME[:-1]),
        bearer(ACME + "x"),
        bearer(ACME.upper()),
        {"Authorization": ACME},
        {"Authorization": f"Basic {ACME}"},
        {"Authorization": f"Bearer {ACME} {RIVAL}"},
        {"Authorization": f"Bearer {ACME}, Bearer {RIVAL}"},
        {"X_Tenant": "acme"},
        {"X_Api_Key": ACME},
    ]
    for number, headers in enumerate(tries):
        assert ask(guarded.gateways[gateway], f"n{number}", headers) == 401, headers
    assert guarded.callee.runs == []


def test_two_different_keys_in_one_head_are_none(guarded):
    """The HTTP library keeps the last of two: a proxy before us might go by the first."""
    gateway = guarded.gateways[0]
    lines = [
        "POST /x/ HTTP/1.1", f"Host: {CALLS}", "X-Attempt-Id: two", "Content-Length: 0",
        f"Authorization: Bearer {RIVAL}", f"Authorization: Bearer {ACME}", "", "",
    ]  # fmt: skip
    with socket.create_connection((gateway.ip, 8161), 2.0) as sock:
        sock.sendall("\r\n".join(lines).encode())
        assert sock.recv(4096).startswith(b"HTTP/1.1 401 ")
    assert guarded.callee.runs == []


def test_a_public_route_needs_no_key_and_passes_none_on(guarded):
    guarded.configure(version=5, organisations=KEYS, public=True)
    first, second = guarded.gateways
    wait_for(lambda: ask(first, "p0", {}) == 200, "public")
    wait_for(lambda: ask(second, "p1", {}) == 200, "public")
    assert ask(first, "p2", bearer("unknown-key-012345") | {"X_Tenant": "acme"}) == 200
    assert ask(first, "p3", bearer(ACME)) == 200
    told = {run["id"]: run["tenant"] for run in guarded.callee.runs}
    assert told == {"p0": None, "p1": None, "p2": None, "p3": "acme"}
    assert "unknown-key" not in repr(guarded.callee.runs)


def test_a_lot_belongs_to_the_organisation_that_handed_it_in(guarded):
    first, second = guarded.gateways
    assert guarded.hand_in(first, "lot1") == 401
    assert guarded.hand_in(first, "lot1", key=ACME) == 202
    assert len(guarded.whole(second, "lot1", key=SECOND)) == 6
    for gateway in guarded.gateways:
        for method, target in (
            ("GET", "/threadramp/lots/lot1?after=0"),
            ("GET", "/threadramp/items/lot1?id=lot1-s0"),
            ("DELETE", "/threadramp/lots/lot1"),
            ("GET", "/threadramp/lots/acme%7Clot1"),
        ):
            assert gateway.call(method, target).status == 401
            assert gateway.call(method, target, **bearer(RIVAL)).status == 404
    assert first.call("DELETE", "/threadramp/lots/lot1", **bearer(SECOND)).status == 200
    runs = [run for engine in guarded.engines for run in engine.runs]
    assert {run["tenant"] for run in runs} == {"acme"}
    assert {run["id"] for run in runs} == {f"lot1-s{n}" for n in range(6)}
    scored = [run for run in guarded.callee.runs if run["id"].startswith("lot1-r")]
    assert {run["tenant"] for run in scored} == {None}
    assert not any(key in repr(runs + scored) for key in (ACME, SECOND, RIVAL))


def test_the_same_ids_of_two_organisations_are_two_lots(guarded):
    first, second = guarded.gateways
    assert guarded.hand_in(first, "same", key=ACME) == 202
    assert guarded.hand_in(second, "same", samples=4, key=RIVAL) == 202
    assert len(guarded.whole(second, "same", key=ACME)) == 6
    assert len(guarded.whole(first, "same", key=RIVAL)) == 4
    runs = [run for engine in guarded.engines for run in engine.runs]
    begun = {tenant: {run["id"] for run in runs if run["tenant"] == tenant} for tenant in KEYS}
    assert begun["rival"] == {f"same-s{n}" for n in range(4)}  # none took the other one's text
    assert begun["acme"] == {f"same-s{n}" for n in range(6)}


def test_taking_keys_away_ends_no_lot_and_its_samples_keep_the_name(guarded):
    for engine in guarded.engines:
        engine.faults.update(gap_s=0.2, events=12)
    first, second = guarded.gateways
    assert guarded.hand_in(first, "lot2", samples=12, key=ACME) == 202
    wait_for(lambda: any(engine.runs for engine in guarded.engines), "begun")
    guarded.configure(version=6, organisations={"acme": ("acme-third-0123456",), "rival": [RIVAL]})
    for gateway in guarded.gateways:
        wait_for(lambda box=gateway: ask(box, "away", bearer(ACME)) == 401, "taken away", 3.0)
    assert second.call("GET", "/threadramp/lots/lot2?after=0", **bearer(ACME)).status == 401
    assert len(guarded.whole(second, "lot2", key="acme-third-0123456")) == 12
    runs = [run for engine in guarded.engines for run in engine.runs]
    assert {run["tenant"] for run in runs} == {"acme"}


def test_a_lot_is_its_organisations_also_after_it_was_taken_over(guarded):
    for engine in guarded.engines:
        engine.faults.update(gap_s=0.2, events=12)
    first, second = guarded.gateways
    assert guarded.hand_in(first, "lot3", key=ACME) == 202
    wait_for(lambda: any(engine.runs for engine in guarded.engines), "begun")
    first.kill()
    assert len(guarded.whole(second, "lot3", key=ACME)) == 6
    assert guarded.results(second, "lot3", key=RIVAL) is None
    runs = [run for engine in guarded.engines for run in engine.runs]
    assert {run["tenant"] for run in runs} == {"acme"}


def test_inspect_shows_the_version_the_organisations_and_no_key(guarded):
    application = ApplicationTester(build_application())
    places = " ".join(f"{one.ip}:{PORTS['peer']}" for one in guarded.gateways)
    shown = ""
    for asked in ("configuration -", "organisation acme", "organisation nobody", "duty -"):
        assert application.execute(f"inspect {asked} {places}") == 0
        shown += application.io.fetch_output()
    for text in ("version", "nothing newer stood", "2, 2 of them its alone", "is not named"):
        assert text in shown
    assert not any(key in shown for key in (ACME, SECOND, RIVAL))


def test_no_key_stands_in_a_log_or_a_metric(guarded):
    first = guarded.gateways[0]
    ask(first, "l1", bearer(ACME))
    ask(first, "l2", bearer("unknown-key-012345"))
    guarded.hand_in(first, "lot4", key=ACME)
    guarded.configure(version=7, organisations={"acme": (ACME, RIVAL), "rival": (RIVAL, "bad key")})
    wait_for(lambda: first.lines("organisations_invalid"), "the fault is logged")
    text = "".join(box.log.read_text(encoding="utf-8") for box in guarded.boxes) + first.metrics()
    assert not any(key in text for key in (ACME, SECOND, RIVAL, "unknown-key", "bad key"))
    assert "caller_unknown" in text
