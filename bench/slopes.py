"""Slopes behind ``docs/CAPACITY.md``: what one more peer, change, endpoint or sample costs.

``python -m bench.slopes`` prints one table; each slope is measured at three sizes at least.
"""

from __future__ import annotations

import resource
import time
import tracemalloc
from typing import TYPE_CHECKING

import msgspec
from tools.fleet import free_address

from threadramp.config.settings import SidecarSettings
from threadramp.core.chain import ConfigurationChain
from threadramp.core.head import Head, encode_snapshot
from threadramp.core.keys import Binding, KeyTable
from threadramp.core.membership import Membership
from threadramp.core.progress import SampleProgress
from threadramp.core.sidecar import SidecarCore
from threadramp.core.step import StepAssembly
from threadramp.fleet.facts import facts_for, serves_any
from threadramp.fleet.fleet_view import FleetSnapshot, Member
from threadramp.fleet.model import Configuration, Endpoint, Incarnation, Pool, WeightTarget
from threadramp.fleet.organisations import Organisation, Organisations, digest
from threadramp.platform.documents import read_configuration
from threadramp.policy.crash_tracker import MAX_SUSPECTS, CrashTracker
from threadramp.policy.fingerprint import fingerprint
from threadramp.policy.placement import LeastLoaded
from threadramp.policy.subset import gateway_subset
from threadramp.policy.tail import TAILS
from threadramp.policy.usage_windows import UsageTotals, UsageWindows
from threadramp.wire.fleet import UsageCounts
from threadramp.wire.messages import (
    CallStamp,
    Change,
    Piece,
    RunningStatus,
    SamplePayload,
    SampleSpec,
    StepKey,
    StepPollReply,
    SyncRequest,
)
from threadramp.wire.seal import TAG_BYTES, Seal
from threadramp.wire.sync import SyncClient, SyncServer

if TYPE_CHECKING:
    from collections.abc import Callable

TARGET_ENDPOINTS = 2700
TARGET_GATEWAYS = 350
COVERAGE = 3
MODELS = ("a", "b", "c")
TRAINERS = 9
BEATS = 20
CRASHED_AT = 1_700_000_000.0
MS = 1000
KB = 1024
KEYS_EACH = 10  # of an organisation


def report(name: str, size: int, value: float, unit: str) -> None:
    """Print one figure."""
    print(f"{name:46} {size:7d} {value:12.4f} {unit}", flush=True)


def processor_ms(work: Callable[[], object], times: int) -> float:
    """Return the processor time of one run of ``work`` in milliseconds."""
    begun = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - begun) / times * MS


def allocated_kb(build: Callable[[], object]) -> float:
    """Return the memory that ``build`` leaves allocated, in KB."""
    tracemalloc.start()
    kept = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / KB


def endpoint_change(index: int, revision: int) -> Change:
    """Return the change that declares an endpoint."""
    spec = {
        "pool": "models",
        "data_centre": f"dc-{index % 16}",
        "address": f"10.{index // 250}.{index % 250}.10:8000",
        "sidecar_http": f"10.{index // 250}.{index % 250}.10:7001",
        "sidecar_sync": f"10.{index // 250}.{index % 250}.10:7002",
        "slots": 16,
        "checks_orders": False,
        "names_versions": True,
        "drain": False,
    }
    return Change(revision, f"change-{revision:012d}", "endpoint", f"models-{index}", spec)


def fleet_chain(endpoints: int) -> ConfigurationChain:
    """Return the configuration of a fleet."""
    chain = ConfigurationChain()
    pool = {"type": "model", "models": list(MODELS), "repeatable": False, "echoes_request_id": True}
    changes = [Change(1, "change-pool", "pool", "models", pool)]
    for number, model in enumerate(MODELS):
        changes.append(Change(2 + number, f"w{number}", "weights", model, {"version": 1}))
    first = len(changes) + 1
    changes += [endpoint_change(index, first + index) for index in range(endpoints)]
    chain.apply(changes)
    return chain


def sidecar_core(chain: ConfigurationChain | None = None) -> SidecarCore:
    """Return a sidecar's core, with a fleet's configuration if one is given."""
    settings = SidecarSettings(
        "models-0", "10.0.0.10:8000", "10.0.0.10:7001", "10.0.0.10:7002", "d"
    )
    core = SidecarCore(settings, "incarnation0", 1, 0.0)
    if chain is not None:
        core.chain.restore(chain.snapshot())
        core.served_versions.record_versions("boot", dict.fromkeys(MODELS, 1), 0.0)
    return core


def message_bytes(message: object) -> int:
    """Return a message's length on the wire, its tag included."""
    return len(msgspec.msgpack.encode(message)) + TAG_BYTES


def measure_beats() -> None:
    """A beat between a gateway and its sidecars, over sockets, both ends in this process."""
    core = sidecar_core(fleet_chain(100))
    request = SyncRequest("gateway-123", core.chain.revision, marks_seen=0)
    reply = core.handle(request, 1.0)
    report("beat: request", 1, message_bytes(request), "bytes")
    report("beat: reply", 1, message_bytes(reply), "bytes")
    seal = Seal("key")
    for peers in (8, 32, 128):
        client = SyncClient(seal)
        servers = {free_address(): sidecar_core() for _ in range(peers)}
        sockets = [
            SyncServer(address, seal, lambda message, at=server: at.handle(message, 1.0), 1)
            for address, server in servers.items()
        ]
        requests = dict.fromkeys(servers, request)
        client.exchange(requests, 5.0)
        spent = processor_ms(lambda at=client, sent=requests: at.exchange(sent, 5.0), BEATS)
        report("beat: processor time of both ends, a peer", peers, spent / peers, "ms")
        for socket in sockets:
            socket.close()
        client.close()


def measure_changes() -> None:
    """A change of configuration at a gateway and at a sidecar."""
    for endpoints in (300, 900, TARGET_ENDPOINTS):
        chain = fleet_chain(endpoints)
        membership = Membership()

        def apply_one(at: ConfigurationChain = chain, members: Membership = membership) -> None:
            at.apply([endpoint_change(at.revision % 100, at.revision + 1)])
            specs = at.of_kind("endpoint")
            mine = gateway_subset(list(specs), 7, TARGET_GATEWAYS, COVERAGE)
            members.declare({name: specs[name] for name in mine})

        report("change: processor time at a gateway", endpoints, processor_ms(apply_one, 20), "ms")

        def apply_only(at: ConfigurationChain = chain) -> None:
            at.apply([endpoint_change(at.revision % 100, at.revision + 1)])

        report("change: processor time at a sidecar", endpoints, processor_ms(apply_only, 50), "ms")
        report("change: on the wire", endpoints, message_bytes(endpoint_change(7, 9999)), "bytes")
        kept = allocated_kb(lambda at=endpoints: fleet_chain(at))
        report("configuration: memory", endpoints, kept / KB, "MB")
        snapshot = len(encode_snapshot(chain.snapshot())) / KB
        report("configuration: snapshot in the service", endpoints, snapshot, "KB")
    changes = tuple(endpoint_change(index, index) for index in range(64))
    report("configuration: longest head", 64, len(Head(64, 0, changes).to_bytes()) / KB, "KB")


def step_assembly(samples: int, shard: int) -> StepAssembly:
    """Return a step's assembly over a shard."""
    made = {
        f"trainer/run-1/17/g{index // 8}/{index % 8}": SampleProgress(
            SampleSpec(f"trainer/run-1/17/g{index // 8}/{index % 8}", "p" * 200, 256, index, 0),
            f"g{index // 8}",
            index % 8,
        )
        for index in range(samples)
    }
    endpoints = {f"models-{index}": 16 for index in range(shard)}
    stamp = CallStamp(1, 0, "nonce")
    key = StepKey("trainer", "run-1", 17)
    return StepAssembly(
        key, stamp, "a", made, endpoints, LeastLoaded(), TAILS["wait"](), 1, polls_per_s=1e9
    )


def measure_steps() -> None:
    """A step at its gateway: one exchange with every endpoint of the shard that has samples."""
    for samples, shard in ((256, 56), (1024, 225), (2048, 450)):
        step = step_assembly(samples, shard)
        held: dict[str, list[str]] = {}
        sizes = []

        def exchange(at: StepAssembly = step, given: dict = held, seen: list = sizes) -> None:
            for name, poll in at.next_polls(9, time.monotonic()).items():
                given.setdefault(name, []).extend(spec.sample for spec in poll.submit)
                statuses = [RunningStatus(sample, 1, 55, 1) for sample in given[name]]
                reply = StepPollReply(running=tuple(statuses))
                seen.append(message_bytes(poll) + message_bytes(reply))
                at.handle_reply(name, reply, 0.0)

        exchange()
        exchange()
        sizes.clear()
        spent = processor_ms(exchange, 5)
        polls = max(1, len(sizes) // 5)
        report("step: processor time, a question", samples, spent / polls, "ms")
        report("step: on the wire, a question", samples, sum(sizes) / len(sizes), "bytes")
        kept = allocated_kb(lambda count=samples, at=shard: step_assembly(count, at))
        report("step: memory at its gateway", samples, kept / KB, "MB")


def measure_held() -> None:
    """Finished samples and used keys held at a sidecar."""
    for samples in (100, 1000, 4000):

        def build(count: int = samples) -> list:
            piece = Piece(1, 256)
            texts = [f"{index:04d}" * 256 for index in range(count)]
            return [
                SamplePayload(f"trainer/run-1/17/g/{index}", 1, text, (piece,))
                for index, text in enumerate(texts)
            ]

        report("held sample of 1 KB of text: memory", samples, allocated_kb(build) / samples, "KB")
    for keys in (1000, 10_000, 50_000):

        def fill(count: int = keys) -> KeyTable:
            table = KeyTable("e", "i", 86_400.0, 200_000, 4096, 0.0)
            for index in range(count):
                table.begin(Binding(f"key-{index:012d}", "p", "e", "i", 0), "d" * 32, 0, 1.0)
                table.finish(f"key-{index:012d}", None, keep=False)
            return table

        report("used key: memory", keys, allocated_kb(fill) / keys, "KB")


def platform_belief(engines: int) -> FleetSnapshot:
    """Return what a gateway believes of a pool of engines with a sidecar each."""
    addresses = [f"10.0.{n // 250}.{n % 250}:80" for n in range(engines)]
    endpoints = {f"i-{n}": Endpoint(f"i-{n}", "p", one, "a", 8) for n, one in enumerate(addresses)}
    members = {
        f"s{n}": Member(f"s{n}", "sidecar", "1", f"s{n}:1", "a", one)
        for n, one in enumerate(addresses)
    }
    models = tuple(f"m{n}" for n in range(TRAINERS))
    configuration = Configuration(pools={"p": Pool("p", models=models)})
    targets = tuple(WeightTarget(model, 2, 5) for model in models)
    return FleetSnapshot(configuration, endpoints, members, targets)


def measure_facts() -> None:
    """Measure what a gateway on the platform works out for each question to a sidecar."""
    for engines in (300, 900, TARGET_ENDPOINTS):
        belief = platform_belief(engines)
        sidecars = belief.sidecars()
        facts_for(sidecars[0], belief)
        cost = processor_ms(lambda: [facts_for(one, belief) for one in sidecars], 1)  # noqa: B023
        report("facts for one sidecar, processor", engines, cost / engines, "ms")
        asked = sum(serves_any(one, {"m0"}, belief) for one in sidecars)
        report("engines asked for one lot", engines, asked, "")


def measure_crashes() -> None:
    """Measure what requests cost under which endpoints ended, and what one costs that is not."""
    for size in (600, 60_000, 1_000_000):
        body = bytes(size)
        cost = processor_ms(lambda: fingerprint("h", "POST", "/a", "c", body), 20)  # noqa: B023
        report("fingerprint of a body, processor", size, cost, "ms")
    for suspects in (0, 250, 1000, MAX_SUSPECTS):
        book = crash_book(suspects)

        def rule(at: CrashTracker = book) -> None:
            at.assess(b"another-request0", CRASHED_AT)

        def end(at: CrashTracker = book) -> None:
            at.record_crash(b"another-request0", Incarnation("i"), CRASHED_AT)

        def build(count: int = suspects) -> CrashTracker:
            return crash_book(count)

        report("ruling on a request, processor", suspects, processor_ms(rule, 2000), "ms")
        report("one more end, processor", suspects, processor_ms(end, 20), "ms")
        report("suspects in memory", suspects, allocated_kb(build), "KB")
        report(
            "part in the store",
            suspects,
            len(msgspec.msgpack.encode(book.records_to_persist())),
            "bytes",
        )


def crash_book(suspects: int) -> CrashTracker:
    """Return a book with requests under which two endpoints ended each."""
    book = CrashTracker()
    for number in range(suspects):
        for start in (f"i-{number % 50}", f"i-{number % 50 + 50}"):
            book.record_crash(number.to_bytes(16, "big"), Incarnation(start, 1), CRASHED_AT)
    return book


def measure_organisations() -> None:
    """Measure what keys cost: one look-up, one key changed, memory."""
    for keys in (10, 1000, 100_000):
        rows = organisation_rows(keys)
        known = Organisations.from_rows(rows)
        (first, organisation), *others = rows
        spare = digest(b"another key")
        changed = Organisation(organisation.name, (*organisation.keys[1:], spare))
        version = [(spare, changed), *others]

        def look_up(at: Organisations = known) -> None:
            at.holder(b"key-0-0")

        def change(to: list = version, at: Organisations = known) -> None:
            Organisations.from_rows(to, at)

        report("look-up of a key, processor", keys, processor_ms(look_up, 20_000) * MS, "us")
        report("one key changed, processor", keys, processor_ms(change, 5), "ms")

        def build(count: int = keys) -> Organisations:
            return Organisations.from_rows(organisation_rows(count))

        report("keys in memory", keys, allocated_kb(build), "KB")
        encoded = configuration_with(rows)
        read = processor_ms(lambda: read_configuration(encoded), 2)  # noqa: B023
        before = read_configuration(encoded)
        again = processor_ms(lambda: read_configuration(encoded, before), 2)  # noqa: B023
        report("configuration read anew, processor", keys, read, "ms")
        report("configuration read behind another, processor", keys, again, "ms")


def organisation_rows(keys: int) -> list[tuple[bytes, Organisation]]:
    """Return organisations of ten keys each."""
    rows = []
    for number in range(keys // KEYS_EACH):
        own = tuple(digest(f"key-{number}-{one}".encode()) for one in range(KEYS_EACH))
        rows.append((digest(f"row-{number}".encode()), Organisation(f"org-{number}", own)))
    return rows


def configuration_with(rows: list[tuple[bytes, Organisation]]) -> bytes:
    """Return a configuration that names as many organisations and keys."""
    tenants = [
        {"name": row.name, "apiKeys": [key.hex()[:24] for key in row.keys]} for _, row in rows
    ]
    return msgspec.json.encode({"version": 1, "tenants": tenants})


def measure_usage() -> None:
    """Measure what the counts of one gateway cost, by the organisations that called in a window."""
    for organisations in (10, 100, 1000):
        book, table = UsageWindows(5.0), UsageTotals(5.0)

        def call(at: UsageWindows = book, of: int = organisations) -> None:
            for number in range(of):
                at.record_start(f"org-{number}", 1.0)

        def take(of: UsageWindows = book, at: UsageTotals = table) -> None:
            at.merge("box", "i", *of.changed_since(0), 1.0)

        cost = processor_ms(call, 5) / organisations * MS
        report("count of a request, processor", organisations, cost, "us")
        changes, windows = book.changed_since(0)
        told = UsageCounts("gateway-123", "incarnation0", changes, windows, 1.0)
        report("counts of a window on the wire", organisations, message_bytes(told), "bytes")
        report("counts taken, processor", organisations, processor_ms(take, 20), "ms")
        for number in range(TARGET_GATEWAYS):
            table.merge(f"gateway-{number}", "i", changes, windows, 1.0)
        cost = processor_ms(lambda: table.total(0), 1)  # noqa: B023
        report("sum over 350 gateways, processor", organisations, cost, "ms")


def main() -> None:
    """Measure all slopes."""
    print(f"{'slope':46} {'size':>7} {'figure':>12}")
    measure_beats()
    measure_changes()
    measure_steps()
    measure_held()
    measure_facts()
    measure_crashes()
    measure_organisations()
    measure_usage()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB
    report("peak memory of this program", 1, peak, "MB")


if __name__ == "__main__":
    main()
