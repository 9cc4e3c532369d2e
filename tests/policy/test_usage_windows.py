"""Counts by organisation and window, and their totals over all processes."""

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


def test_a_request_that_did_not_begin_is_uncounted_even_after_it_was_reported():
    book, table = UsageWindows(WINDOW_S), UsageTotals(WINDOW_S)
    book.record_start("acme", 1.0)
    table.merge("box", "i", *book.changed_since(table.seen("box", "i")), 1.5)
    book.undo_start("acme", 1.0)
    table.merge("box", "i", *book.changed_since(table.seen("box", "i")), 2.5)
    assert table.total(0) == {}


def test_old_windows_are_dropped():
    book = UsageWindows(WINDOW_S)
    book.record_start("acme", 0.0)
    book.record_start("acme", (RETAINED_WINDOWS + 1) * WINDOW_S)
    assert list(book.changed_since(0)[1]) == [RETAINED_WINDOWS + 1]


def test_the_last_report_of_a_killed_process_counts():
    table = UsageTotals(WINDOW_S)
    table.merge("box", "first", 3, {0: {"acme": 3}}, 1.0)
    table.merge("box", "second", 1, {0: {"acme": 1}}, 4.0)
    assert table.total(0) == {"acme": 4}
    assert table.has_answered_after("box", 3.0)
    assert not table.has_answered_after("box", 4.0)


def test_a_delayed_answer_is_ignored():
    table = UsageTotals(WINDOW_S)
    table.merge("box", "i", 5, {0: {"acme": 5}}, 2.0)
    table.merge("box", "i", 2, {0: {"acme": 2}}, 1.0)
    assert table.total(0) == {"acme": 5}


events = st.lists(
    st.tuples(
        st.sampled_from(["request", "reported", "lost"]),
        st.sampled_from(["acme", "other"]),
        st.floats(0, 14.9),
        st.sampled_from(["box-0", "box-1"]),
    ),
    max_size=60,
)


@given(events)
def test_lost_or_repeated_answers_lose_no_request(rows):
    books = {"box-0": UsageWindows(WINDOW_S), "box-1": UsageWindows(WINDOW_S)}
    table = UsageTotals(WINDOW_S)
    expected: dict[int, Counter] = {}
    for what, organisation, at, box in rows:
        if what == "request":
            books[box].record_start(organisation, at)
            expected.setdefault(int(at // WINDOW_S), Counter())[organisation] += 1
        elif what == "reported":
            table.merge(box, "i", *books[box].changed_since(table.seen(box, "i")), at)
        else:
            books[box].changed_since(table.seen(box, "i"))  # its answer is lost
    for box, book in books.items():
        table.merge(box, "i", *book.changed_since(table.seen(box, "i")), 15.0)
    for window in range(3):
        assert table.total(window) == dict(sorted(expected.get(window, Counter()).items()))
