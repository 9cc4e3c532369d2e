"""Processor time and memory of real gateways and sidecars by request and by streamed piece.

``python -m bench.requests``
"""

from __future__ import annotations

import os
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tools.fleet import EndpointPlan, Fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MS = 1000
KB_PER_MB = 1024
CALLERS = 16
REQUESTS = (400, 800, 1600)
STREAMS = (20, 40, 80)
STREAM_TOKENS = 400
MODEL = "assistant"


def processor_s(fleet: Fleet, name: str) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{fleet.processes[name].popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def memory_mb(fleet: Fleet, name: str) -> float:
    """Return a process's resident memory in MB."""
    status = Path(f"/proc/{fleet.processes[name].popen.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / KB_PER_MB


def measure(fleet: Fleet, sidecar: str, work, count: int, unit: str) -> None:
    """Run ``work`` many times and print the processor time for each unit."""
    names = ("gateway-0", sidecar)
    before = {name: processor_s(fleet, name) for name in names}
    with ThreadPoolExecutor(CALLERS) as pool:
        units = sum(pool.map(work, range(count)))
    for name in names:
        spent = (processor_s(fleet, name) - before[name]) / units * MS
        print(f"{name:22} {units:7d} {unit:8} {spent:8.4f} ms each", flush=True)


def main() -> None:
    """Measure calls to a service and streamed calls to an engine."""
    with Fleet() as fleet:
        fleet.platform()
        fleet.gateways(1)
        fleet.endpoint(EndpointPlan("bank-0", "bank", "service", slots=16))
        options = {"token_s": 0.0, "prefill_s": 0.0}
        fleet.endpoint(EndpointPlan("engine-0", "llm", options=options, slots=16))
        fleet.wait_ready()
        fleet.cli("apply", str(fleet.document({}, {MODEL: 1})))
        fleet.wait_in_service({MODEL: 1})
        fleet.fault("bank-0", work_s=0.0)
        for name in ("gateway-0", "sidecar-bank-0", "sidecar-engine-0"):
            print(f"{name:22} {memory_mb(fleet, name):7.1f} MB at the start")
        caller = fleet.caller()

        def call(number: int) -> int:
            caller.call("bank", "/balance", {"id": str(number)}, deadline_s=30)
            return 1

        def once(number: int) -> int:
            caller.call_once("bank", "/transfers", {"id": f"t{number}"}, deadline_s=30)
            return 1

        def stream(number: int) -> int:
            return sum(1 for _ in caller.chat("llm", MODEL, f"q {number}", STREAM_TOKENS))

        for count in REQUESTS:
            measure(fleet, "sidecar-bank-0", call, count, "calls")
        for count in REQUESTS:
            measure(fleet, "sidecar-bank-0", once, count, "tickets")
        for count in STREAMS:
            measure(fleet, "sidecar-engine-0", stream, count, "pieces")
        for name in ("gateway-0", "sidecar-bank-0", "sidecar-engine-0"):
            print(f"{name:22} {memory_mb(fleet, name):7.1f} MB at the end")


if __name__ == "__main__":
    main()
