"""Seeded open-loop load on real processes before stand-ins; paired runs of two policies.

A change is ``NAME=VALUE`` of the table ``policy`` of the settings, or ``ahead=N`` for trainers that
ask for N steps before their turn.

``python -m bench.load --deployment banking --change tail=second_attempt --pairs 5``
"""

from __future__ import annotations

import argparse
import json
import math
import os
import statistics
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram
from tools.fleet import EndpointPlan, Fleet
from urllib3.exceptions import HTTPError

from threadramp.client.errors import ClientError, RequestRefusedError
from threadramp.client.prefetch import LotPrefetcher, StepPlan
from threadramp.client.trainer import GroupRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

MODEL_POOL = "models"
APP_POOL = "app"
GROUP_SIZE = 8
CALL_DEADLINE_S = 2.0
CHAT_TOKENS = 48
CALLERS = 96
US = 1_000_000
BASELINE = {
    "routing": "round_robin",
    "placement": "least_loaded",
    "tail": "wait",
    "reserve": "none",
    "lookahead": 0.0,
}
NUMBERS = ("lookahead", "ahead")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Deployment:
    """The sizes of one user's deployment.

    Engine counts and step durations were not legible in the users' page and wait to be confirmed,
    so slots, step sizes and rates are settings.
    """

    data_centres: tuple[str, ...]
    models: int
    apps: int
    trainers: tuple[str, ...]
    samples: int = 96
    max_tokens: int = 200
    slots: int = 8
    train_s: float = 0.7
    calls_per_s: float = 50.0


DEPLOYMENTS = {
    "banking": Deployment(
        ("bne-north", "bne-south", "gc-hall", "tsv-hall"), 6, 4, ("help-assistant",)
    ),
    "provider": Deployment(
        ("hall-a", "hall-b", "hall-c"), 5, 3, ("label-reader", "specimen-describer"), samples=48
    ),
}


@dataclass
class Tally:
    """What one run has seen."""

    wait_s: float = 0.0
    train_s: float = 0.0
    steps: int = 0
    step_waits: list[float] = field(default_factory=list)
    behind: list[int] = field(default_factory=list)
    latencies: dict[str, HdrHistogram] = field(default_factory=dict)
    on_time: dict[str, int] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def call(self, label: str, seconds: float, refusal: str) -> None:
        """Note a call that has ended."""
        with self.lock:
            self.calls[label] = self.calls.get(label, 0) + 1
            if refusal:
                self.refusals[refusal] = self.refusals.get(refusal, 0) + 1
                return
            histogram = self.latencies.setdefault(label, HdrHistogram(1, 60 * US, 2))
            histogram.record_value(max(1, int(seconds * US)))
            if seconds <= CALL_DEADLINE_S:
                self.on_time[label] = self.on_time.get(label, 0) + 1


class Run:
    """One run of a load on a fresh fleet."""

    def __init__(
        self, deployment: Deployment, policy: dict[str, Any], seed: int, seconds: float, fault: str
    ) -> None:
        self.deployment = deployment
        self.ahead = int(policy.get("ahead", 0))
        self.policy = {name: value for name, value in policy.items() if name != "ahead"}
        self.random = Random(seed)
        self.seconds = seconds
        self.fault = fault
        self.tally = Tally()
        self.versions = dict.fromkeys(deployment.trainers, 1)

    def measure(self) -> dict[str, float]:
        """Run the load and return the figures."""
        with Fleet(policy=self.policy) as fleet:
            self._start(fleet)
            self.until = time.monotonic() + self.seconds
            threads = [
                threading.Thread(target=self._train, args=(fleet, name))
                for name in self.deployment.trainers
            ]
            threads.append(threading.Thread(target=self._call_all, args=(fleet,)))
            threads.append(threading.Thread(target=self._inflict, args=(fleet,)))
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            return self._figures(fleet)

    def _start(self, fleet: Fleet) -> None:
        plan = self.deployment
        fleet.platform()
        fleet.gateways(2)
        for index in range(plan.models):
            options = {"token_s": 0.01, "prefill_s": 0.1, "cache": 16}
            place = plan.data_centres[index % len(plan.data_centres)]
            fleet.endpoint(
                EndpointPlan(f"model-{index}", MODEL_POOL, "engine", place, plan.slots, options)
            )
        for index in range(plan.apps):
            place = plan.data_centres[index % len(plan.data_centres)]
            fleet.endpoint(EndpointPlan(f"app-{index}", APP_POOL, "service", place))
        fleet.wait_ready()
        trainers = {
            name: {"model": name, "pool": MODEL_POOL, "staleness_bound": 1}
            for name in plan.trainers
        }
        fleet.cli("apply", str(fleet.document(trainers, self.versions)))
        fleet.wait_in_service(self.versions)

    def _train(self, fleet: Fleet, name: str) -> None:
        """Take step after step; new weights after every second one."""
        plan = self.deployment
        client = fleet.trainer(name, 1)
        prefetcher = LotPrefetcher(client, lambda: self.versions[name], self.ahead, 120)
        begun = time.monotonic()
        for lot in prefetcher.lots(self._plans(name)):
            waited = time.monotonic() - begun
            client.acknowledge(lot)
            with self.tally.lock:
                self.tally.wait_s += waited
                self.tally.step_waits.append(waited)
                self.tally.train_s += plan.train_s
                self.tally.steps += 1
                self.tally.behind += [
                    self.versions[name] - min(sample.versions) for sample in lot.samples
                ]
            time.sleep(plan.train_s)
            if lot.step % 2:
                self.versions[name] += 1
                client.publish(name, self.versions[name])
            begun = time.monotonic()

    def _plans(self, name: str) -> Iterator[StepPlan]:
        plan = self.deployment
        step = 0
        while time.monotonic() < self.until:
            groups = [
                GroupRequest(f"g{index}", f"{name} {step} {index}", GROUP_SIZE, plan.max_tokens)
                for index in range(plan.samples // GROUP_SIZE)
            ]
            yield StepPlan(step, tuple(groups))
            step += 1

    def _call_all(self, fleet: Fleet) -> None:
        """Send calls by a day's shape, whether or not earlier ones have ended."""
        caller = fleet.caller()
        begun = time.monotonic()
        with ThreadPoolExecutor(CALLERS) as pool:
            while (moment := time.monotonic()) < self.until:
                day = (moment - begun) / self.seconds
                rate = self.deployment.calls_per_s * (1 + 0.8 * math.sin(2 * math.pi * day))
                time.sleep(self.random.expovariate(rate))
                kind = self.random.choice(["chat", "chat", "balance", "lookup"])
                pool.submit(self._call, caller, kind, self.random.randrange(1_000_000))

    def _call(self, caller: Any, kind: str, number: int) -> None:
        begun = time.monotonic()
        refusal = ""
        try:
            if kind == "chat":
                model = self.deployment.trainers[number % len(self.deployment.trainers)]
                prompt = f"question {number % 20}"
                for _ in caller.chat(MODEL_POOL, model, prompt, CHAT_TOKENS, CALL_DEADLINE_S):
                    pass
            else:
                priority = "interactive" if kind == "balance" else "internal"
                caller.call(APP_POOL, f"/{kind}", {"id": str(number)}, CALL_DEADLINE_S, priority)
        except RequestRefusedError as error:
            refusal = f"{error.refusal.reason.value}:{error.refusal.outcome.value}"
        except (ClientError, HTTPError) as error:
            refusal = type(error).__name__
        self.tally.call(kind, time.monotonic() - begun, refusal)

    def _inflict(self, fleet: Fleet) -> None:
        """Bring about the run's fault a third of the way in."""
        time.sleep(self.seconds / 3)
        if self.fault == "engine lost":
            fleet.fault("model-0", crash=True)
        elif self.fault == "sidecar frozen":
            fleet.processes["sidecar-model-0"].freeze()
            time.sleep(self.seconds / 4)
            fleet.processes["sidecar-model-0"].wake()
        elif self.fault == "kv out":
            fleet.fault("kv", outage=True)
        elif self.fault == "engine slow":
            fleet.fault("model-0", token_s=0.05)

    def _figures(self, fleet: Fleet) -> dict[str, float]:
        tally = self.tally
        produced = 0
        hits = 0
        runs = 0
        for index in range(self.deployment.models):
            if not fleet.processes[f"model-{index}"].is_running:
                continue
            record = fleet.record(f"model-{index}")
            produced += record["tokens"]
            hits += record["cache_hits"]
            runs += record["runs"]
        behind = sorted(tally.behind)
        figures = {
            "trainer idle share": tally.wait_s / (tally.wait_s + tally.train_s),
            "steps": tally.steps,
            "step wait p50 s": statistics.median(tally.step_waits),
            "step wait max s": max(tally.step_waits),
            "versions behind mean": statistics.fmean(behind),
            "versions behind p99": behind[int(len(behind) * 0.99)],
            "share at the bound": sum(item >= 1 for item in behind) / len(behind),
            "cache hit share": hits / max(1, runs),
            "kv calls": sum(fleet.record("kv").values()) if self.fault != "kv out" else -1,
            "refused": sum(tally.refusals.values()),
            "wasted tokens": _counter(fleet, "wasted_tokens"),
        }
        for label, histogram in sorted(tally.latencies.items()):
            figures[f"{label} p50 s"] = histogram.get_value_at_percentile(50) / US
            figures[f"{label} p99 s"] = histogram.get_value_at_percentile(99) / US
            figures[f"{label} on time"] = tally.on_time.get(label, 0) / tally.calls[label]
        for role in ("gateway", "sidecar"):
            figures[f"{role} cpu share"] = _cpu_share(fleet, role, self.seconds)
        return figures


def _counter(fleet: Fleet, kind: str) -> float:
    total = 0.0
    for name, address in fleet.addresses.items():
        if not name.startswith("sidecar-model") or not fleet.processes[name].is_running:
            continue
        text = fleet.http.request("GET", f"http://{address}/metrics").data.decode()
        for line in text.splitlines():
            if line.startswith("threadramp_sidecar_events_total") and f'kind="{kind}"' in line:
                total += float(line.rsplit(" ", 1)[1])
    return total


def _cpu_share(fleet: Fleet, role: str, seconds: float) -> float:
    """Return the mean processor share of a role's processes, their data path included."""
    shares = []
    for name, process in fleet.processes.items():
        if name.startswith(role) and process.is_running:
            fields = Path(f"/proc/{process.popen.pid}/stat").read_text().split()
            shares.append((int(fields[13]) + int(fields[14])) / TICKS_PER_S / seconds)
    return statistics.fmean(shares)


def parse_policy(texts: list[str]) -> dict[str, Any]:
    """Return the baseline with ``NAME=VALUE`` changes."""
    policy = dict(BASELINE)
    for text in texts:
        name, _, value = text.partition("=")
        policy[name] = float(value) if name in NUMBERS else value
    return policy


def show(rows: list[tuple[dict[str, float], dict[str, float]]]) -> dict[str, list[float]]:
    """Print medians of both sides and the spread of the ratios, pair by pair."""
    print(f"{'figure':24} {'base':>9} {'change':>9}   ratio (min median max)")
    table = {}
    for name in rows[0][0]:
        base = [row[0].get(name, 0.0) for row in rows]
        change = [row[1].get(name, 0.0) for row in rows]
        ratios = [b / a for a, b in zip(base, change, strict=True) if a]
        spread = (
            f"{min(ratios):.2f} {statistics.median(ratios):.2f} {max(ratios):.2f}"
            if ratios
            else "-"
        )
        left = statistics.median(base)
        right = statistics.median(change)
        print(f"{name:24} {left:9.3f} {right:9.3f}   {spread}", flush=True)
        table[name] = [left, right, *ratios]
    return table


def main() -> None:
    """Run pairs of baseline and change, in turn, on the same seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="provider")
    parser.add_argument("--base", nargs="*", default=[], help="NAME=VALUE of the baseline")
    parser.add_argument("--change", nargs="*", default=[], help="NAME=VALUE of the change")
    parser.add_argument("--pairs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--fault", default="", help="engine lost, engine slow, kv out, ...")
    parser.add_argument("--base-fault", default=None, help="the baseline's fault, if another")
    parser.add_argument("--json", default="", help="file for the figures")
    args = parser.parse_args()
    deployment = DEPLOYMENTS[args.deployment]
    base = parse_policy(args.base)
    change = parse_policy(args.base + args.change)
    base_fault = args.fault if args.base_fault is None else args.base_fault
    rows = []
    for seed in range(args.pairs):
        left = Run(deployment, base, seed, args.seconds, base_fault).measure()
        right = Run(deployment, change, seed, args.seconds, args.fault).measure()
        rows.append((left, right))
    print(f"{args.deployment}, {args.pairs} pairs of {args.seconds} s, fault: {args.fault or '-'}")
    table = show(rows)
    if args.json:
        Path(args.json).write_text(json.dumps(table, indent=1))


if __name__ == "__main__":
    main()
