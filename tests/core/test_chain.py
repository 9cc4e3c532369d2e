from __future__ import annotations

import threading

from hypothesis import given, settings
from hypothesis import strategies as st

from threadramp.core.chain import ConfigurationChain
from threadramp.wire.messages import Change

EXAMPLES = 150


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.booleans()), max_size=60))
@settings(max_examples=EXAMPLES, deadline=None)
def test_no_copy_of_the_chain_ever_goes_back_or_differs(exchanges) -> None:
    writer = ConfigurationChain()
    copies = [ConfigurationChain() for _ in range(3)]
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


def test_kinds_can_be_read_while_another_thread_applies_changes() -> None:
    chain = ConfigurationChain()
    done = threading.Event()
    errors = []

    def read() -> None:
        while not done.is_set():
            try:
                assert all(spec.rank >= 0 for spec in chain.of_kind("priority").values())
            except RuntimeError as error:
                errors.append(error)

    reader = threading.Thread(target=read)
    reader.start()
    for number in range(3000):
        spec = {"rank": number} if number % 3 else None
        chain.apply([Change(number + 1, f"c{number}", "priority", f"p{number % 50}", spec)])
    done.set()
    reader.join()
    assert errors == []
    assert chain.of_kind("priority").keys() == {name for _, name in chain.typed}
