"""LOST: a step's items wait at no worker: a gateway drops its own lot after an outage of the store."""

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

from threadramp.lots.audit import periodic_scanners  # noqa: E402
from threadramp.platform.standins.endpoint import PlatformEngine  # noqa: E402

HOST, CALLS = "models.example", "calls.example"
GATEWAYS, ENGINES, SLOTS = 8, 2, 6
ITEMS, GROUP = 80, 4
EVENTS, GAP_S = 20, 0.04
STORE_DOWN_S = 2.0
TRAINER_WAITS_S = 12.0  # from the hand-in, as on the sheet; then it ends the lot
CONTACT_S = 3.0  # bound contactMs
LEFT_S = 5.0  # of the rule


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
            "body": text(f"prompt {number // GROUP}".encode()),
            "group": f"{lot}-g{number // GROUP}",
            "scoringEndpoint": {
                "id": f"{lot}-reward{number}", "hostname": CALLS, "path": "/score/1",
                "body": text(b"x"),
            },
        }
        for number in range(ITEMS)
    ]  # fmt: skip
    table = {"step": 0, "model": "m", "minVersion": 1, "desired": ITEMS // GROUP}
    return json.dumps(table | {"requests": items}).encode()


def configure(fleet):
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
            {"name": "engines", "engine": {"slots": SLOTS, "models": [{"name": "m"}]}},
            {"name": "calls"},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 20000},
    })  # fmt: skip
    fleet.put("op/version/m", {"model": "m", "version": 1})


def case(fleet, record):
    gateways = [fleet.add("gateway", f"front-hall-a-{n}") for n in range(1, GATEWAYS + 1)]
    engines = [PlatformEngine({"instance": f"i-e{n}"}) for n in range(ENGINES)]
    for number, engine in enumerate(engines):
        engine.faults |= {"events": EVENTS, "gap_s": GAP_S}
        address = serve(engine)
        fleet.add("sidecar", f"side-hall-a-{number}", address, "engines")
        fleet.register(engine.instance, "engines", address, SLOTS)
    fleet.register("i-c0", "calls", serve(PlatformEngine({"instance": "i-c0"})), 6)
    configure(fleet)
    fleet.start()
    # The balancer chooses the gateway by hashing the client. Here it is one that does not look
    # through the heads of lots each ten seconds.
    scanners = periodic_scanners(box.name for box in gateways)
    taker = next(box for box in gateways if box.name not in scanners)
    reader = next(box for box in gateways if box is not taker)
    time.sleep(3.0)
    up_at = []

    def store_up():
        fleet.proxy.up()
        up_at.append(time.time())
        record("store: up")

    def store_down(keys):
        """Go down when results of the lot are written and not yet answered."""
        if TROUBLE and "lot/job" in keys and any(key.startswith("lot-chunk/") for key in keys):
            fleet.store.on_done = lambda keys: None
            fleet.proxy.down()
            record(f"store: has written {', '.join(keys)}; down, its connections are reset")
            threading.Timer(STORE_DOWN_S, store_up).start()

    fleet.store.on_done = store_down
    handed_in, began_at = time.monotonic(), time.time()
    headers = {"X-Attempt-Id": "job", "X-Deadline-Ms": "12000"}
    status, _, _ = call(
        f"{taker.ip}:8161", "POST", "/lots/job", HOST, headers, lot_body("job"), 12.0
    )
    record(f"trainer: hands job in at {taker.name}, is answered {status}")
    if status != 202:
        raise ValueError(f"the lot was answered {status}")

    results = []

    def read():
        """Read on as a trainer does; returns how many items are listed."""
        target = f"/threadramp/lots/job?after={len(results)}"
        try:
            status, _, body = call(f"{reader.ip}:8161", "GET", target, HOST, {}, b"", 3.0)
        except OSError as error:
            return repr(error)
        if status != 200:
            return f"status {status}"
        results.extend(json.loads(body)["results"])
        return len(results)

    listed = None
    while time.monotonic() < handed_in + TRAINER_WAITS_S:
        found = read()
        if found != listed:
            listed = found
            record(f"trainer: reads job at {reader.name}: listed {listed} of {ITEMS}")
        if listed == ITEMS:
            break
        time.sleep(0.5)
    out_at = time.time()
    runs = [(run["at"], run["id"], engine.instance) for engine in engines for run in engine.runs]
    for at, name, instance in sorted(runs):
        record(f"{instance}: began {name} {out_at - at:.2f} s before this line")
    begun = {name for _, name, _ in runs}
    never = [f"job-item{n}" for n in range(ITEMS) if f"job-item{n}" not in begun]
    if listed == ITEMS:
        return []
    calm_from = up_at[0] + CONTACT_S if up_at else began_at
    steady_s = out_at - calm_from
    late = [at for at, _, _ in runs if at > calm_from]
    running = sum(engine.running for engine in engines)
    record(
        f"trainer: out of time; {len(never)} items never reached a worker, {len(begun)} did; steady "
        f"for {steady_s:.1f} s, {len(late)} runs began in that time, {running} of "
        f"{ENGINES * SLOTS} slots are taken"
    )
    if never and begun and steady_s >= LEFT_S and running < ENGINES * SLOTS / 2:
        return [
            f"LOST: the step ran out of time; {len(never)} of its {ITEMS} items spent "
            f"{steady_s:.1f} s of steady state at no worker, while {running} of "
            f"{ENGINES * SLOTS} slots were taken"
        ]
    return []


if __name__ == "__main__":
    play(FOLDER, case)
