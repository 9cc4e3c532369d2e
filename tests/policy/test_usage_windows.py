"""Counts by organisation and window, and how those of all processes come together."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from threadramp.policy.usage_windows import RETAINED_WINDOWS, UsageTotals, UsageWindows

WINDOW_S = 5.0


def test_a_request_counts_in_the_window_in_which_it_began():
    book = UsageWindows(WINDOW_S)
    book.record_start("acme", 4.999)
    book.record_start("acme", 5.0)
    book.record_start("other", 9.999)
    assert book.changed_since(0) == (3, {0: {"acme": 1}, 1: {"acme": 1, "other": 1}})


def test_what_did_not_begin_is_taken_back_also_when_it_was_told_already():
    book, table = UsageWindows(WINDOW_S), UsageTotals(WINDOW_S)
    book.record_start("acme", 1.0)
    table.merge("box", "i", *book.changed_since(table.seen("box", "i")), 1.5)
    book.undo_start("acme", 1.0)
    table.merge("box", "i", *book.changed_since(table.seen("box", "i")), 2.5)
    assert table.total(0) == {}


def test_old_windows_are_forgotten():
    book = UsageWindows(WINDOW_S)
    book.record_start("acme", 0.0)
    book.record_start("acme", (RETAINED_WINDOWS + 1) * WINDOW_S)
    assert list(book.changed_since(0)[1]) == [RETAINED_WINDOWS + 1]


def test_a_process_that_was_killed_counts_with_what_it_told():
    table = UsageTotals(WINDOW_S)
    table.merge("box", "first", 3, {0: {"acme": 3}}, 1.0)
    table.merge("box", "second", 1, {0: {"acme": 1}}, 4.0)
    assert table.total(0) == {"acme": 4}
    assert table.has_answered_after("box", 3.0)
    assert not table.has_answered_after("box", 4.0)


def test_an_answer_that_was_held_up_changes_nothing():
    table = UsageTotals(WINDOW_S)
    table.merge("box", "i", 5, {0: {"acme": 5}}, 2.0)
    table.merge("box", "i", 2, {0: {"acme": 2}}, 1.0)
    assert table.total(0) == {"acme": 5}


events = st.lists(
    st.tuples(
        st.sampled_from(["request", "told", "lost"]),
        st.sampled_from(["acme", "other"]),
        st.floats(0, 14.9),
        st.sampled_from(["box-0", "box-1"]),
    ),
    max_size=60,
)


@given(events)
def test_no_answer_that_is_lost_or_repeated_leaves_a_request_out(rows):
    books = {"box-0": UsageWindows(WINDOW_S), "box-1": UsageWindows(WINDOW_S)}
    table = UsageTotals(WINDOW_S)
    truth: dict[int, Counter] = {}
    for what, organisation, at, box in rows:
        if what == "request":
            books[box].record_start(organisation, at)
            truth.setdefault(int(at // WINDOW_S), Counter())[organisation] += 1
        elif what == "told":
            table.merge(box, "i", *books[box].changed_since(table.seen(box, "i")), at)
        else:
            books[box].changed_since(table.seen(box, "i"))  # its answer does not arrive
    for box, book in books.items():
        table.merge(box, "i", *book.changed_since(table.seen(box, "i")), 15.0)
    for window in range(3):
        assert table.total(window) == dict(sorted(truth.get(window, Counter()).items()))
