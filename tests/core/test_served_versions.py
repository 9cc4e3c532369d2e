from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from threadramp.core.served_versions import Order, ReadVersions, ServedVersions

EXAMPLES = 150


swap_events = st.lists(
    st.tuples(
        st.sampled_from(["tick", "loaded", "failed", "restart", "frozen", "publish"]),
        st.floats(0.05, 3),
    ),
    max_size=60,
)


@given(swap_events)
@settings(max_examples=EXAMPLES, deadline=None)
def test_a_verified_version_was_served_at_the_newest_read(events) -> None:
    """The engine loads versions, fails and restarts at random; the record must follow it."""
    record = ServedVersions(started_ms=1)
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
            record.record_freeze(now)
            assert record.verified() == {}
        for action in record.next_actions({"m": declared}, declared, now):
            if isinstance(action, ReadVersions):
                record.record_versions(boot, {"m": engine}, now)
                read = engine
            if isinstance(action, Order):
                assert action.fencing_token >= highest_fence
                highest_fence = action.fencing_token
                record.record_order_sent(action, now)
                assert not record.may_start("m", names_versions=False)
                engine = None if kind == "failed" else action.version
                record.record_order_result("m", kind != "failed", now)
                assert record.verified() == {}  # only a read-back verifies
        if record.verified():
            assert record.verified() == {"m": read}
