"""Callers of several organisations at real gateways: authentication and the forwarded tenant."""

from __future__ import annotations

import socket

import pytest
from cleo.testers.application_tester import ApplicationTester

from tests.serve.fleet import CALLS, PORTS, bearer, wait_for
from threadramp.cli.main import build_application

KEYS = {"acme": ("acme-key-0123456789", "acme-second-0123456"), "rival": ("rival-key-987654321",)}
ACME, SECOND, RIVAL = *KEYS["acme"], *KEYS["rival"]


@pytest.fixture
def fleet_with_keys(fleet):
    """Configure the fleet with two organisations and wait until keys are required."""
    fleet.configure(version=4, organisations=KEYS)
    for gateway in fleet.gateways:
        wait_for(
            lambda box=gateway: send_request(box, "probe", {}) == 401,
            f"{gateway.name} requires keys",
        )
    fleet.callee.runs.clear()
    return fleet


def send_request(gateway, request_id: str, headers: dict[str, str]) -> int:
    """Send a call and return the status of the response."""
    return gateway.call("POST", "/x/", host=CALLS, X_Attempt_Id=request_id, **headers).status


def test_a_valid_key_is_accepted_and_its_organisation_forwarded(fleet_with_keys):
    for number, gateway in enumerate(fleet_with_keys.gateways):
        headers = bearer(ACME) | {"X_Tenant": "rival", "x_tenant": "rival", "Cookie": ACME}
        assert send_request(gateway, f"a{number}", headers) == 200
        assert send_request(gateway, f"r{number}", bearer(RIVAL)) == 200
    tenants = {run["id"]: run["tenant"] for run in fleet_with_keys.callee.runs}
    assert tenants == {"a0": "acme", "r0": "rival", "a1": "acme", "r1": "rival"}
    assert not any(key in repr(fleet_with_keys.callee.runs) for key in (ACME, SECOND, RIVAL))


@pytest.mark.parametrize("gateway", [0, 1])
def test_no_other_credentials_are_accepted(fleet_with_keys, gateway):
    credentials = [
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
    for number, headers in enumerate(credentials):
        assert (
            send_request(fleet_with_keys.gateways[gateway], f"n{number}", headers) == 401
        ), headers
    assert fleet_with_keys.callee.runs == []


def test_two_different_keys_in_one_request_are_refused(fleet_with_keys):
    """The HTTP library keeps the last of two headers; a proxy in front may use the first."""
    gateway = fleet_with_keys.gateways[0]
    lines = [
        "POST /x/ HTTP/1.1", f"Host: {CALLS}", "X-Attempt-Id: two", "Content-Length: 0",
        f"Authorization: Bearer {RIVAL}", f"Authorization: Bearer {ACME}", "", "",
    ]  # fmt: skip
    with socket.create_connection((gateway.ip, 8161), 2.0) as sock:
        sock.sendall("\r\n".join(lines).encode())
        assert sock.recv(4096).startswith(b"HTTP/1.1 401 ")
    assert fleet_with_keys.callee.runs == []


def test_a_public_route_needs_no_key_and_forwards_none(fleet_with_keys):
    fleet_with_keys.configure(version=5, organisations=KEYS, public=True)
    first, second = fleet_with_keys.gateways
    wait_for(lambda: send_request(first, "p0", {}) == 200, "public")
    wait_for(lambda: send_request(second, "p1", {}) == 200, "public")
    assert send_request(first, "p2", bearer("unknown-key-012345") | {"X_Tenant": "acme"}) == 200
    assert send_request(first, "p3", bearer(ACME)) == 200
    tenants = {run["id"]: run["tenant"] for run in fleet_with_keys.callee.runs}
    assert tenants == {"p0": None, "p1": None, "p2": None, "p3": "acme"}
    assert "unknown-key" not in repr(fleet_with_keys.callee.runs)


def test_a_lot_belongs_to_the_organisation_that_submitted_it(fleet_with_keys):
    first, second = fleet_with_keys.gateways
    assert fleet_with_keys.hand_in(first, "lot1") == 401
    assert fleet_with_keys.hand_in(first, "lot1", key=ACME) == 202
    assert len(fleet_with_keys.whole(second, "lot1", key=SECOND)) == 6
    for gateway in fleet_with_keys.gateways:
        for method, target in (
            ("GET", "/threadramp/lots/lot1?after=0"),
            ("GET", "/threadramp/items/lot1?id=lot1-s0"),
            ("DELETE", "/threadramp/lots/lot1"),
            ("GET", "/threadramp/lots/acme%7Clot1"),
        ):
            assert gateway.call(method, target).status == 401
            assert gateway.call(method, target, **bearer(RIVAL)).status == 404
    assert first.call("DELETE", "/threadramp/lots/lot1", **bearer(SECOND)).status == 200
    runs = [run for engine in fleet_with_keys.engines for run in engine.runs]
    assert {run["tenant"] for run in runs} == {"acme"}
    assert {run["id"] for run in runs} == {f"lot1-s{n}" for n in range(6)}
    scored = [run for run in fleet_with_keys.callee.runs if run["id"].startswith("lot1-r")]
    assert {run["tenant"] for run in scored} == {None}
    assert not any(key in repr(runs + scored) for key in (ACME, SECOND, RIVAL))


def test_the_same_ids_of_two_organisations_are_two_lots(fleet_with_keys):
    first, second = fleet_with_keys.gateways
    assert fleet_with_keys.hand_in(first, "same", key=ACME) == 202
    assert fleet_with_keys.hand_in(second, "same", samples=4, key=RIVAL) == 202
    assert len(fleet_with_keys.whole(second, "same", key=ACME)) == 6
    assert len(fleet_with_keys.whole(first, "same", key=RIVAL)) == 4
    runs = [run for engine in fleet_with_keys.engines for run in engine.runs]
    begun = {tenant: {run["id"] for run in runs if run["tenant"] == tenant} for tenant in KEYS}
    assert begun["rival"] == {f"same-s{n}" for n in range(4)}  # neither got the text of the other
    assert begun["acme"] == {f"same-s{n}" for n in range(6)}


def test_revoking_keys_ends_no_lot_and_its_samples_keep_their_organisation(fleet_with_keys):
    for engine in fleet_with_keys.engines:
        engine.faults.update(gap_s=0.2, events=12)
    first, second = fleet_with_keys.gateways
    assert fleet_with_keys.hand_in(first, "lot2", samples=12, key=ACME) == 202
    wait_for(lambda: any(engine.runs for engine in fleet_with_keys.engines), "begun")
    fleet_with_keys.configure(
        version=6, organisations={"acme": ("acme-third-0123456",), "rival": [RIVAL]}
    )
    for gateway in fleet_with_keys.gateways:
        wait_for(
            lambda box=gateway: send_request(box, "away", bearer(ACME)) == 401,
            "the key is revoked",
            3.0,
        )
    assert second.call("GET", "/threadramp/lots/lot2?after=0", **bearer(ACME)).status == 401
    assert len(fleet_with_keys.whole(second, "lot2", key="acme-third-0123456")) == 12
    runs = [run for engine in fleet_with_keys.engines for run in engine.runs]
    assert {run["tenant"] for run in runs} == {"acme"}


def test_a_lot_still_belongs_to_its_organisation_after_a_takeover(fleet_with_keys):
    for engine in fleet_with_keys.engines:
        engine.faults.update(gap_s=0.2, events=12)
    first, second = fleet_with_keys.gateways
    assert fleet_with_keys.hand_in(first, "lot3", key=ACME) == 202
    wait_for(lambda: any(engine.runs for engine in fleet_with_keys.engines), "begun")
    first.kill()
    assert len(fleet_with_keys.whole(second, "lot3", key=ACME)) == 6
    assert fleet_with_keys.results(second, "lot3", key=RIVAL) is None
    runs = [run for engine in fleet_with_keys.engines for run in engine.runs]
    assert {run["tenant"] for run in runs} == {"acme"}


def test_inspect_shows_the_version_the_organisations_and_no_key(fleet_with_keys):
    application = ApplicationTester(build_application())
    addresses = " ".join(f"{one.ip}:{PORTS['peer']}" for one in fleet_with_keys.gateways)
    output = ""
    for query in ("configuration -", "organisation acme", "organisation nobody", "duty -"):
        assert application.execute(f"inspect {query} {addresses}") == 0
        output += application.io.fetch_output()
    for text in ("version", "nothing newer stood", "2, 2 of them its alone", "is not named"):
        assert text in output
    assert not any(key in output for key in (ACME, SECOND, RIVAL))


def test_no_key_appears_in_a_log_or_a_metric(fleet_with_keys):
    first = fleet_with_keys.gateways[0]
    send_request(first, "l1", bearer(ACME))
    send_request(first, "l2", bearer("unknown-key-012345"))
    fleet_with_keys.hand_in(first, "lot4", key=ACME)
    fleet_with_keys.configure(
        version=7, organisations={"acme": (ACME, RIVAL), "rival": (RIVAL, "bad key")}
    )
    wait_for(lambda: first.lines("organisations_invalid"), "the invalid organisations are logged")
    text = (
        "".join(box.log.read_text(encoding="utf-8") for box in fleet_with_keys.boxes)
        + first.metrics()
    )
    assert not any(key in text for key in (ACME, SECOND, RIVAL, "unknown-key", "bad key"))
    assert "caller_unknown" in text
