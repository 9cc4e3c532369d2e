"""Which slow readers are disconnected."""

from __future__ import annotations

from threadramp.policy.reader_buffers import SlowReader, max_held_bytes, readers_to_end

NOW = 100.0


def reader(left: int, read: int = 0, since: float = NOW - 5.0, progress_at: float = NOW):
    return SlowReader(left, left + read, since, progress_at)


def test_readers_within_the_bound_are_left_alone():
    assert readers_to_end([reader(100), reader(200, 50)], 300, 10.0, NOW) == []


def test_past_the_bound_the_slowest_goes_first():
    slow, fast = reader(100, read=10), reader(100, read=1000)
    assert readers_to_end([fast, slow], 150, 10.0, NOW) == [slow]


def test_of_equally_slow_ones_the_one_that_holds_most_goes_first():
    small, large = reader(100), reader(500)
    assert readers_to_end([small, large], 550, 10.0, NOW) == [large]


def test_a_reader_without_progress_is_ended_whatever_is_held():
    silent = reader(1, progress_at=NOW - 11.0)
    assert readers_to_end([silent, reader(1)], 1000, 10.0, NOW) == [silent]


def test_a_quarter_of_the_memory_may_be_held():
    assert max_held_bytes(160) == 40_000_000
