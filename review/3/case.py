"""REFUSED: a batch job that every attempt was refused for, since the store went down, runs later."""

from __future__ import annotations

import base64
import json
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import TROUBLE, call, new_ip, play, wait_for  # noqa: E402

from threadramp.platform.standins.endpoint import PlatformEngine  # noqa: E402

HOST, CALLS = "models.example", "calls.example"
ENGINES, GATEWAYS = 2, 2
STORE_DOWN_S = 4.5
TRAINER_WAITS_S = 4.0  # its deadline for the hand-in
LOOKED_AFTER_S = 20.0  # how long after that runs are looked for


def serve(standin):
    """Serve a stand-in at a free address."""
    ip = new_ip()
    with socket.socket() as probe:
        probe.bind((ip, 0))
        address = f"{ip}:{probe.getsockname()[1]}"
    standin.start(address)
    return address


def text(data):
    return base64.b64encode(data).decode()


def lot_body(lot):
    items = [
        {
            "id": f"{lot}-item{number}", "path": f"/lots/{number}", "tokens": 100,
            "headers": {"X-Model": "m", "X-Token-Count": "50,50"},
            "body": text(f"prompt {number // 4}".encode()), "group": f"{lot}-g{number // 4}",
            "scoringEndpoint": {
                "id": f"{lot}-reward{number}", "hostname": CALLS, "path": "/score/1",
                "body": text(b"x"),
            },
        }
        for number in range(8)
    ]  # fmt: skip
    return json.dumps(
        {"step": 0, "model": "m", "minVersion": 1, "desired": 2, "requests": items}
    ).encode()


def case(fleet, record):
    gateways = [fleet.add("gateway", f"front-hall-a-{n}") for n in range(1, GATEWAYS + 1)]
    engines = [PlatformEngine({"instance": f"i-e{n}"}) for n in range(ENGINES)]
    for number, engine in enumerate(engines):
        address = serve(engine)
        fleet.add("sidecar", f"side-hall-a-{number}", address, "engines")
        fleet.register(engine.instance, "engines", address, 6)
    fleet.register("i-c0", "calls", serve(PlatformEngine({"instance": "i-c0"})), 6)
    fleet.put("op/config", {
        "version": 3,
        "routes": [
            {"name": "calls", "hostname": CALLS, "pathPrefix": "/", "kind": "safe",
             "timeoutMs": 1500, "targetLatencyMs": 400, "backend": "calls", "maxAttempts": 4},
            {"name": "lots", "hostname": HOST, "pathPrefix": "/lots/", "kind": "rollout",
             "timeoutMs": 10000, "targetLatencyMs": 400, "runTargetMs": 7500, "queueTtlS": 40,
             "backend": "engines", "maxAttempts": 3},
        ],
        "backends": [
            {"name": "engines", "engine": {"slots": 6, "models": [{"name": "m"}]}},
            {"name": "calls"},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 20000},
    })  # fmt: skip
    fleet.put("op/version/m", {"model": "m", "version": 1})
    fleet.start()

    def runs_of(lot):
        return [
            f"{run['id']} at {engine.instance}"
            for engine in engines
            for run in list(engine.runs)
            if run["id"].startswith(lot)
        ]

    def hand_in(lot):
        """Hand a lot in as a trainer does; returns the statuses of its attempts."""
        until = time.monotonic() + TRAINER_WAITS_S
        statuses = []
        while (left := until - time.monotonic()) > 0.2:
            gateway = gateways[len(statuses) % GATEWAYS]
            headers = {"X-Attempt-Id": lot, "X-Deadline-Ms": str(int(left * 1000))}
            headers["Content-Type"] = "application/json"
            record(f"trainer: hands {lot} in at {gateway.name}")
            address = f"{gateway.ip}:8161"
            retry_after = 0.0
            try:
                status, head, _ = call(
                    address, "POST", f"/lots/{lot}", HOST, headers, lot_body(lot), left
                )
                retry_after = float(head.get("retry-after", "0"))
            except OSError as error:
                status = repr(error)
            record(f"trainer: {lot} is answered {status}, to come back after {retry_after} s")
            statuses.append(status)
            if status == 202:
                break
            time.sleep(min(retry_after, max(0.0, until - time.monotonic()) / 3))
        return statuses

    # One lot in calm times shows that lots run, and gives every process its kept connections.
    if hand_in("calm") != [202]:
        raise ValueError("the lot of calm times was not taken")
    wait_for(lambda: len(set(runs_of("calm"))) >= 8, "the lot of calm times runs", 15)
    call(f"{gateways[0].ip}:8161", "DELETE", "/threadramp/lots/calm", HOST, {}, b"", 5.0)
    time.sleep(2.0)

    def store_up():
        fleet.proxy.up()
        record("store: up")

    def store_down(keys):
        """Go down when the hand-in is written and not yet answered."""
        if TROUBLE and "lot/job" in keys and fleet.proxy.listener is not None:
            fleet.store.on_done = lambda keys: None
            fleet.proxy.down()
            record(f"store: has written {', '.join(keys)}; down, its connections are reset")
            threading.Timer(STORE_DOWN_S, store_up).start()

    fleet.store.on_done = store_down
    statuses = hand_in("job")
    refused = all(status in (408, 421, 429, 503) for status in statuses)
    until = time.monotonic() + LOOKED_AFTER_S
    while time.monotonic() < until and not (refused and runs_of("job")):
        time.sleep(0.1)
    time.sleep(1.0)
    ran = runs_of("job")
    for run in ran:
        record(f"engine: ran {run}")
    if refused and ran:
        return [
            f"REFUSED: all {len(statuses)} attempts were answered {statuses}, "
            f"and {len(ran)} runs of its items began"
        ]
    return []


if __name__ == "__main__":
    play(FOLDER, case)
