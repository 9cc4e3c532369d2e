"""The whole path on one machine: ``make demo``."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from threadramp.client.trainer import GroupRequest  # noqa: E402
from tools.fleet import EndpointPlan, Fleet, wait_for  # noqa: E402

MODEL = "assistant"
GROUPS = 8
GROUP_SIZE = 8


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


def start(fleet: Fleet) -> None:
    """Start all processes and declare them."""
    fleet.platform()
    fleet.gateways(2)
    for number in range(3):
        fleet.endpoint(EndpointPlan(f"engine-{number}", "llm"))
    fleet.endpoint(EndpointPlan("bank-0", "bank", kind="service"))
    fleet.wait_ready()
    say(f"started {len(fleet.processes)} processes: {', '.join(fleet.processes)}")
    trainers = {"assistant-trainer": {"model": MODEL, "pool": "llm", "staleness_bound": 1}}
    path = fleet.document(trainers, {MODEL: 1})
    say(fleet.cli("config", "check", str(path)).stdout.strip())
    applied = fleet.cli("apply", str(path)).stdout.strip().splitlines()
    say(f"operator applied {len(applied)} resources; last: {applied[-1]}")
    fleet.wait_in_service({MODEL: 1})
    say("all endpoints in service, weights verified")


def take_lot(fleet: Fleet, step: int, version: int) -> None:
    """Have a trainer receive and acknowledge a lot."""
    trainer = fleet.trainer("assistant-trainer", 1)
    groups = [
        GroupRequest(f"g{index}", f"prompt {index}", GROUP_SIZE, 64) for index in range(GROUPS)
    ]
    lot = trainer.step(step, version, groups, deadline_s=60)
    labels = Counter(sample.versions for sample in lot.samples)
    trainer.acknowledge(lot)
    say(
        f"trainer got lot {lot.lot[:8]} of step {step}: {len(lot.samples)} samples, "
        f"versions {dict(labels)}; acknowledged"
    )


def main() -> int:
    """Run the demo; return 0 if everything held."""
    with Fleet() as fleet:
        start(fleet)
        take_lot(fleet, 0, 1)
        caller = fleet.caller()
        pieces = list(caller.chat("llm", MODEL, "how do I pay a bill?", max_tokens=24))
        say(f"caller got a streamed answer of {len(pieces)} pieces")
        result = caller.call_once("bank", "/transfers", {"id": "transfer-1", "amount": 25})
        runs = fleet.record("bank-0")["runs"]["transfer-1"]
        say(f"caller's transfer answered {result.json()}; it ran {runs} time(s)")
        revision = fleet.trainer("assistant-trainer", 1).publish(MODEL, 2)
        say(f"trainer published version 2 at revision {revision}")
        fleet.wait_in_service({MODEL: 2})
        wait_for(lambda: fleet.record("engine-0")["weights"][MODEL] == 2, "engine serves 2")
        take_lot(fleet, 1, 2)
        say(fleet.cli("status").stdout.rstrip())
        return 0 if runs == 1 else 1


if __name__ == "__main__":
    sys.exit(main())
