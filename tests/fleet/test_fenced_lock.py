"""A lock that boxes hold one after another: tokens increase, and holders never alternate."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.stores import MemoryStore
from threadramp.fleet.fenced_lock import RETRY_INTERVAL_S, FencedLock, decode_lock_record
from threadramp.platform.store_model import StoreError

APART_S = 3.0
KEY = "member/.duties"


@pytest.fixture
def store() -> MemoryStore:
    return MemoryStore()


def lock(store, holder, clock, **how) -> FencedLock:
    return FencedLock(store, KEY, holder, APART_S, clock, **how)


def test_a_successor_uses_the_lock_only_after_the_takeover_delay(store, clock):
    first = lock(store, "first", clock)
    number = first.cached_token()
    first.transfer_to("second")
    assert first.fencing_token == 0
    second = lock(store, "second", clock)
    assert second.cached_token() == 0
    clock.at += APART_S
    assert second.cached_token() > number


def test_a_successor_waits_whatever_the_first_ones_time_of_day_is(store, clock):
    first = lock(store, "first", clock)
    first.cached_token()
    first.transfer_to("second")
    # The clock of the successor's box is ahead.
    clock.time_of_day = lambda: 1_700_000_000.0 + clock.at + 2.0
    second = lock(store, "second", clock)
    second.cached_token()
    clock.at += APART_S - 0.1
    assert second.cached_token() == 0


def test_a_released_lock_is_acquired_by_any_box_that_may(store, clock):
    first = lock(store, "first", clock)
    number = first.cached_token()
    first.transfer_to("")
    assert decode_lock_record(store.items[KEY].value).holder == ""
    asked = []
    second = lock(store, "second", clock, may_acquire=lambda holder: not asked.append(holder))
    second.cached_token()
    assert asked == [None, ""]
    clock.at += APART_S
    assert second.cached_token() > number


def test_a_box_that_may_not_acquire_the_lock_retries_later(store, clock):
    lock(store, "first", clock).cached_token()
    second = lock(store, "second", clock, may_acquire=lambda holder: holder is None)
    assert second.cached_token() == 0
    calls = store.calls
    assert second.cached_token() == 0
    assert store.calls == calls
    clock.at += RETRY_INTERVAL_S
    second.cached_token()
    assert store.calls > calls


def test_a_verification_asks_the_store(store, clock):
    first = lock(store, "first", clock)
    number = first.cached_token()
    calls = store.calls
    assert first.cached_token() == number
    assert store.calls == calls
    assert first.verified_token() == number
    assert store.calls == calls + 1


def test_without_an_answer_of_the_store_nothing_is_verified(store, clock):
    first = lock(store, "first", clock)
    first.cached_token()

    store.away = True
    assert first.verified_token() == 0


steps = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["use", "prove", "prove", "give", "restart", "wait", "lose"]),
        st.floats(0.0, 4.0),
    ),
    max_size=40,
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None)
@given(steps)
def test_tokens_increase_and_holders_never_alternate(clock, rows):
    """Three boxes with restarts, lost answers and transfers: verified uses keep the guarantees."""
    store = MemoryStore()
    boxes = [lock(store, f"box-{n}", clock) for n in range(3)]
    uses: list[tuple[float, int, int]] = []
    proven_at: dict[int, float] = {}
    for box, what, seconds in rows:
        if what == "use":
            boxes[box].cached_token()  # may be outdated; holders do not act on it alone
        elif what == "prove":
            number = boxes[box].verified_token()
            if number:
                uses.append((clock.at, box, number))
                others = [at for other, at in proven_at.items() if other != box]
                assert all(clock.at - at >= APART_S for at in others)
                proven_at[box] = clock.at
        elif what == "give" and boxes[box].fencing_token:
            try:
                boxes[box].transfer_to(f"box-{(box + 1) % 3}")
            except StoreError:
                boxes[box].fencing_token = 0
        elif what == "restart":
            boxes[box] = lock(store, f"box-{box}", clock)
        elif what == "lose":
            store.loses = not store.loses
        clock.at += seconds
    for (_, one, number), (_, other, next_number) in zip(uses, uses[1:], strict=False):
        assert next_number >= number
        assert (number == next_number) <= (one == other)
    for place, (at, box, _) in enumerate(uses):
        mine = [when for when, other, _ in uses[:place] if other == box]
        others = [when for when, other, _ in uses[:place] if other != box]
        if mine and others and max(others) > max(mine):  # other boxes acted since this one did
            assert at - max(mine) >= APART_S
