from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from threadramp.core.closed_steps import ClosedSteps
from threadramp.core.progress import SampleProgress
from threadramp.core.samples import SampleBuffer
from threadramp.core.step import StepAssembly
from threadramp.policy.placement import LeastLoaded
from threadramp.policy.tail import TAILS
from threadramp.wire.messages import (
    CallStamp,
    CloseStep,
    SampleSpec,
    StepKey,
    StepPollReply,
)
from threadramp.wire.outcomes import Reason

EXAMPLES = 150


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
    buffers = [SampleBuffer(ClosedSteps()) for _ in range(3)]
    tasks: list[list] = [[], [], []]
    delivered: list[str] = []
    version = 1
    now = 0.0

    def exchange(lost: int) -> None:
        for name, poll in assembly.next_polls(0, now).items():
            index = int(name[1:])
            reply = buffers[index].handle_poll(poll, takes_work=True, now=now)
            assert isinstance(reply, StepPollReply)
            if index == lost:
                assembly.record_missed_poll(name)
                continue
            for delivery in assembly.handle_reply(name, reply, now):
                assert delivery.payload.oldest >= assembly.oldest_allowed
                delivered.append(delivery.payload.sample)

    def run_all(index: int) -> None:
        while (task := buffers[index].next_task({"m"})) is not None:
            tasks[index].append(task)
        for task in tasks[index]:
            if buffers[index].add_piece(task, "x", 1, version):
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
            buffers[index] = SampleBuffer(ClosedSteps())
            tasks[index].clear()
        elif kind == "publish" and pick == 0:
            version += 1
            assembly.raise_oldest_allowed(version)
            for withdrawn in assembly.take_withdrawals():
                delivered.remove(withdrawn.sample)
        assert len(delivered) == len(set(delivered))
    for _ in range(40):  # without further faults the step is completed
        now += 1
        for index in range(3):
            run_all(index)
        exchange(lost=-1)
    assert assembly.is_delivered
    assert sorted(delivered) == names
    for buffer in buffers:
        buffer.close(CloseStep(key, assembly.lot_digest()))
    again = make_assembly(key, 2, names)
    for name, poll in again.next_polls(0, now).items():
        reply = buffers[int(name[1:])].handle_poll(poll, takes_work=True, now=now)
        assert reply.reason == Reason.ALREADY_DELIVERED.value
