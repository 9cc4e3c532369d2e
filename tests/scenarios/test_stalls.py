"""Processes of the own interface that are paused, as on an overloaded or suspended box."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

import pytest
from tools.fleet import wait_for

if TYPE_CHECKING:
    from tests.scenarios.world import World

PAUSED_S = 1.5


@pytest.mark.parametrize("name", ["gateway-0", "sidecar-bank-0"])
def test_a_process_that_was_paused_logs_it(world: World, name):
    """A gap in the log of a process told nothing about its cause."""
    world.start(1, services=1)
    process = world.fleet.processes[name]
    process.freeze()
    time.sleep(PAUSED_S)
    process.wake()

    def stalls() -> list[dict]:
        lines = process.log.read_text(encoding="utf-8").splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row for row in rows if row["message_type"] == "threadramp:process_stalled"]

    wait_for(lambda: any(row["late_s"] > PAUSED_S / 2 for row in stalls()), "the stall is logged")
