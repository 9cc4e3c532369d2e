from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from threadramp.core.closed_steps import ClosedSteps
from threadramp.wire.messages import StepKey, StepMark

EXAMPLES = 150


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 40), st.integers(0, 2)), max_size=60))
@settings(max_examples=EXAMPLES, deadline=None)
def test_a_closed_step_is_never_reopened(events) -> None:
    peers = [ClosedSteps() for _ in range(3)]
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
