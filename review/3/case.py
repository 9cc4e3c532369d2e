"""ROUTE: items of a batch job run at a service that no configuration allows for their route."""

from __future__ import annotations

import base64
import json
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import TROUBLE, call, new_ip, play, wait_for  # noqa: E402

from threadramp.platform.standins.endpoint import PlatformEngine  # noqa: E402

HOST, CALLS = "models.example", "calls.example"
GATEWAYS, TRAINING, CHAT = 2, 2, 2  # boxes, workers of lm-train, workers of lm-chat
ITEMS = 96
MODEL = {"slots": 6, "models": [{"name": "m"}]}
APPLIED_S = 5.0  # after a change; configApplyMs is 2,000


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
        for number in range(ITEMS)
    ]  # fmt: skip
    return json.dumps(
        {"step": 0, "model": "m", "minVersion": 1, "desired": ITEMS // 4, "requests": items}
    ).encode()


def configuration(version, with_chat):
    """Return a configuration; lots go to lm-train in each of them."""
    routes = [
        {"name": "calls", "hostname": CALLS, "pathPrefix": "/", "kind": "safe",
         "timeoutMs": 1500, "targetLatencyMs": 400, "backend": "calls", "maxAttempts": 4},
        {"name": "lots", "hostname": HOST, "pathPrefix": "/lots/", "kind": "rollout",
         "timeoutMs": 10000, "targetLatencyMs": 400, "runTargetMs": 7500, "queueTtlS": 40,
         "backend": "lm-train", "maxAttempts": 3},
    ]  # fmt: skip
    backends = [{"name": "lm-train", "engine": MODEL}, {"name": "calls"}]
    if with_chat:
        routes.append(
            {"name": "chat", "hostname": "chat.example", "pathPrefix": "/", "kind": "streaming",
             "timeoutMs": 10000, "targetLatencyMs": 400, "backend": "lm-chat", "maxAttempts": 2,
             "resumable": True}
        )  # fmt: skip
        backends.append({"name": "lm-chat", "engine": MODEL})
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 5000,
              "idleTimeoutMs": 20000}  # fmt: skip
    return {"version": version, "routes": routes, "backends": backends, "limits": limits}


def case(fleet, record):
    gateways = [fleet.add("gateway", f"front-hall-a-{n}") for n in range(1, GATEWAYS + 1)]
    training = [PlatformEngine({"instance": f"i-train{n}"}) for n in range(TRAINING)]
    chat = [PlatformEngine({"instance": f"i-chat{n}"}) for n in range(CHAT)]
    for number, engine in enumerate(training):
        address = serve(engine)
        fleet.add("sidecar", f"side-hall-a-{number}", address, "lm-train")
        fleet.register(engine.instance, "lm-train", address, 6)
    for engine in chat:
        fleet.register(engine.instance, "lm-chat", serve(engine), 6)
    for engine in (*training, *chat):
        engine.faults |= {"events": 20, "gap_s": 0.04}
    fleet.register("i-c0", "calls", serve(PlatformEngine({"instance": "i-c0"})), 6)
    fleet.put("op/config", configuration(3, False))
    fleet.put("op/version/m", {"model": "m", "version": 1})
    fleet.start()

    def run_lot(lot):
        """Hand a lot in, wait until it is whole and end it."""
        address = f"{gateways[0].ip}:8161"
        headers = {"X-Attempt-Id": lot, "X-Deadline-Ms": "12000"}
        status, _, _ = call(address, "POST", f"/lots/{lot}", HOST, headers, lot_body(lot), 12.0)
        record(f"trainer: {lot} handed in, answered {status}")
        if status != 202:
            raise ValueError(f"{lot} was answered {status}")

        def is_whole():
            target = f"/threadramp/lots/{lot}?after=0"
            status, _, body = call(address, "GET", target, HOST, {}, b"", 3.0)
            found = json.loads(body) if status == 200 else {"results": [], "total": 1}
            return len(found["results"]) == found["total"]

        wait_for(is_whole, f"{lot} whole", 25)
        status, _, _ = call(address, "DELETE", f"/threadramp/lots/{lot}", HOST, {}, b"", 5.0)
        record(f"trainer: {lot} whole and ended, answered {status}")

    run_lot("before")
    if TROUBLE:
        fleet.put("op/config", configuration(7, True))
        record(
            "operator: configuration 7 acknowledged: adds the route chat and its service lm-chat"
        )
    time.sleep(APPLIED_S)
    run_lot("after")
    for engine in (*training, *chat):
        for run in engine.runs:
            record(f"{engine.instance}: ran {run['id']} path /{run['target']}")
    return [
        f"ROUTE: {len(engine.runs)} items of the route lots, which every configuration sends to "
        f"lm-train, ran at {engine.instance} of lm-chat"
        for engine in chat
        if engine.runs
    ]


if __name__ == "__main__":
    play(FOLDER, case)
