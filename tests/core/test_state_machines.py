"""Properties of the pure state machines under any order of messages, losses and restarts."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from threadramp.core.chain import Chain
from threadramp.core.keys import Answer, Binding, KeyTable, Replay, Run
from threadramp.core.marks import StepMarks
from threadramp.core.samples import SampleBuffer
from threadramp.core.step import SampleProgress, StepAssembly
from threadramp.core.swap import Order, ReadVersions, SwapRecord
from threadramp.policy.placement import LeastLoaded
from threadramp.policy.tail import TAILS
from threadramp.wire.messages import (
    CallStamp,
    Change,
    CloseStep,
    SampleSpec,
    StepKey,
    StepMark,
    StepPollReply,
)
from threadramp.wire.outcomes import Outcome, Reason, Refusal

EXAMPLES = 150
ANSWER = Answer(200, "text/plain", b"done")
KEYS = st.sampled_from(["a", "b", "c", "d"])

key_events = st.lists(
    st.tuples(
        st.sampled_from(["send", "late send", "finish", "lose", "refuse", "withdraw", "restart"]),
        KEYS,
        st.floats(0, 15),
    ),
    max_size=60,
)


@given(key_events)
@settings(max_examples=EXAMPLES, deadline=None)
def test_a_key_runs_at_most_once_and_not_run_stays_true(events) -> None:
    now = 0.0
    incarnation = 0
    table = KeyTable("e", "0", 80.0, max_keys=3, max_answers=1, now=now)
    bindings: dict[str, Binding] = {}
    runs: dict[str, int] = {}
    running: set[str] = set()
    shown: dict[str, int] = {}
    for kind, key, step in events:
        now += step
        binding = bindings.setdefault(
            key, Binding(key, "p", "e", str(incarnation), table.epoch(now))
        )
        if kind == "restart":
            incarnation += 1
            table = KeyTable("e", str(incarnation), 80.0, max_keys=3, max_answers=1, now=now)
            running.clear()
        elif kind in ("send", "late send"):
            number = shown.get(key, 0) if kind == "send" else 0
            decision = table.begin(binding, "d", number, now)
            if isinstance(decision, Run):
                assert kind == "send" or key not in shown  # sent before the refusal, never runs
                runs[key] = runs.get(key, 0) + 1
                running.add(key)
                shown.pop(key, None)
            elif isinstance(decision, Replay):
                assert runs[key] == 1
            elif isinstance(decision, Refusal) and decision.outcome is Outcome.NOT_RUN:
                assert runs.get(key, 0) == 0
                shown[key] = decision.number
        elif kind == "finish" and key in running:
            table.finish(key, ANSWER, keep=True)
            running.discard(key)
        elif kind == "lose" and key in running:
            table.finish(key, None, keep=False)
            running.discard(key)
        elif kind == "withdraw" and key in running:
            refusal = table.withdraw(binding, Reason.DEADLINE, "late", now)
            runs[key] -= 1  # no byte of it has left
            running.discard(key)
            shown[key] = refusal.number
        elif kind == "refuse" and binding.incarnation == str(incarnation):
            refusal = table.refuse(binding, Reason.OVERLOADED, "full", now)
            if refusal.outcome is Outcome.NOT_RUN:
                assert runs.get(key, 0) == 0 or now >= 80.0
                shown[key] = refusal.number
        assert max(runs.values(), default=0) <= 1
        assert len(table.entries) <= 3


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.booleans()), max_size=60))
@settings(max_examples=EXAMPLES, deadline=None)
def test_no_copy_of_the_chain_ever_falls_or_differs(exchanges) -> None:
    writer = Chain()
    copies = [Chain() for _ in range(3)]
    for index, upto, by_snapshot in exchanges:
        if upto > writer.revision:
            change = Change(
                writer.revision + 1, f"c{writer.revision}", "priority", "p", {"rank": 1}
            )
            writer.apply([change])
        copy = copies[index]
        source = copies[(index + 1) % 3] if upto % 2 else writer
        before = copy.revision
        if by_snapshot:
            copy.restore(source.snapshot())
        else:
            late = [change for change in source.log if change.revision <= max(upto, before + 1)]
            copy.apply(reversed(late))
            copy.apply(late)
        assert before <= copy.revision <= writer.revision
        known = {change.revision: change.change_id for change in writer.log}
        for change in copy.log:
            assert known[change.revision] == change.change_id


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 40), st.integers(0, 2)), max_size=60))
@settings(max_examples=EXAMPLES, deadline=None)
def test_a_closed_step_never_opens(events) -> None:
    peers = [StepMarks() for _ in range(3)]
    closed: list[set[int]] = [set(), set(), set()]
    for index, step, other in events:
        peers[index].close(StepKey("t", "r", step))
        closed[index].add(step)
        if other != index:
            peers[index].merge(peers[other].since(-1))
            closed[index] |= closed[other]
        for done in closed[index]:
            assert peers[index].is_closed(StepKey("t", "r", done))
    assert not peers[0].merge([StepMark("t", "r", -1)])


swap_events = st.lists(
    st.tuples(
        st.sampled_from(["tick", "loaded", "failed", "restart", "frozen", "publish"]),
        st.floats(0.05, 3),
    ),
    max_size=60,
)


@given(swap_events)
@settings(max_examples=EXAMPLES, deadline=None)
def test_what_is_called_verified_was_served_when_it_was_read(events) -> None:
    """An engine that swaps, fails and restarts at any moment; the record follows it."""
    record = SwapRecord(started_ms=1)
    engine: int | None = None
    boot = "b0"
    read: int | None = None
    declared = 1
    now = 0.0
    highest_fence = 0
    for kind, step in events:
        now += step
        if kind == "publish":
            declared += 1
        if kind == "restart":
            engine = 0
            boot += "x"
        if kind == "frozen":
            record.lost_time(now)
            assert record.verified() == {}
        for action in record.due({"m": declared}, declared, now):
            if isinstance(action, ReadVersions):
                record.versions_read(boot, {"m": engine}, now)
                read = engine
            if isinstance(action, Order):
                assert action.fence >= highest_fence
                highest_fence = action.fence
                record.order_sent(action, now)
                assert not record.may_start("m", names_versions=False)
                engine = None if kind == "failed" else action.version
                record.order_ended("m", kind != "failed", now)
                assert record.verified() == {}  # only a read-back verifies
        if record.verified():
            assert record.verified() == {"m": read}


@st.composite
def step_events(draw):
    return draw(
        st.lists(
            st.tuples(
                st.sampled_from(["exchange", "lost reply", "finish", "restart", "publish"]),
                st.integers(0, 2),
                st.integers(0, 5),
            ),
            max_size=80,
        )
    )


def make_assembly(key: StepKey, call: int, names: list[str]) -> StepAssembly:
    samples = {
        name: SampleProgress(SampleSpec(name, "p", 8, 0, 0), "g", index)
        for index, name in enumerate(names)
    }
    shard = {f"e{index}": 2 for index in range(3)}
    stamp = CallStamp(call, 0, str(call))
    return StepAssembly(key, stamp, "m", samples, shard, LeastLoaded(), TAILS["wait"](), 1)


@given(step_events())
@settings(max_examples=EXAMPLES, deadline=None)
def test_each_sample_enters_the_lot_once_and_a_closed_step_stays_closed(events) -> None:
    key = StepKey("t", "r", 0)
    names = [f"s{index}" for index in range(5)]
    assembly = make_assembly(key, 1, names)
    buffers = [SampleBuffer(StepMarks()) for _ in range(3)]
    tasks: list[list] = [[], [], []]
    delivered: list[str] = []
    version = 1
    now = 0.0

    def exchange(lost: int) -> None:
        for name, poll in assembly.polls(0, now).items():
            index = int(name[1:])
            reply = buffers[index].poll(poll, takes_work=True, now=now)
            assert isinstance(reply, StepPollReply)
            if index == lost:
                assembly.missed(name)
                continue
            for delivery in assembly.replied(name, reply, now):
                assert delivery.payload.oldest >= assembly.oldest_allowed
                delivered.append(delivery.payload.sample)

    def run_all(index: int) -> None:
        while (task := buffers[index].start({"m"})) is not None:
            tasks[index].append(task)
        for task in tasks[index]:
            if buffers[index].piece(task, "x", 1, version):
                buffers[index].finish(task)
        tasks[index].clear()

    for kind, index, pick in events:
        now += 1
        if kind == "exchange":
            exchange(lost=-1)
        elif kind == "lost reply":
            exchange(lost=index)
        elif kind == "finish":
            run_all(index)
        elif kind == "restart":
            buffers[index] = SampleBuffer(StepMarks())
            tasks[index].clear()
        elif kind == "publish" and pick == 0:
            version += 1
            assembly.require(version)
            for withdrawn in assembly.take_withdrawals():
                delivered.remove(withdrawn.sample)
        assert len(delivered) == len(set(delivered))
    for _ in range(40):  # with no more faults the step becomes whole
        now += 1
        for index in range(3):
            run_all(index)
        exchange(lost=-1)
    assert assembly.is_delivered
    assert sorted(delivered) == names
    for buffer in buffers:
        buffer.close(CloseStep(key, assembly.lot_digest()))
    again = make_assembly(key, 2, names)
    for name, poll in again.polls(0, now).items():
        reply = buffers[int(name[1:])].poll(poll, takes_work=True, now=now)
        assert reply.reason == Reason.ALREADY_DELIVERED.value
