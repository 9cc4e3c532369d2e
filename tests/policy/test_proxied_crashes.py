"""When a crash behind a proxy is attributed to a request, and what retracts it."""

from __future__ import annotations

from itertools import accumulate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_tracker import CrashTracker, SuspicionLevel
from threadramp.policy.proxied_crashes import (
    BEGUN_MARGIN_S,
    MAX_START_TIMES,
    ConnectionBreak,
    CrashResolution,
    StartTimes,
    may_have_crashed,
    probe_delays,
    resolve_crash,
)

NOW = 1_700_000_000.0
STARTED_MS = 1_700_000_000_000
ONE = b"one-request-0000"
RESOLVED_S = 3.0  # requirement: from the third crash until it is recognised
RESTART_S = 2.0  # usual time until an endpoint is back

seconds = st.floats(0.0, 30.0)
start_times = st.integers(0, 5).map(lambda number: number and STARTED_MS + number)


@given(probe_s=seconds, elapsed_s=seconds)
def test_a_full_queue_is_not_attributed_to_a_request(probe_s, elapsed_s):
    """A full queue resets a request as fast as a connection without a request."""
    refused_at_once = ConnectionBreak(min(elapsed_s, probe_s), probe_s)
    assert not may_have_crashed(refused_at_once)


@given(elapsed_s=seconds, probe_s=seconds, reused=st.booleans())
def test_one_broken_connection_among_others_is_not_attributed_to_a_request(
    elapsed_s, probe_s, reused
):
    """Other requests go on there, so the endpoint still runs."""
    assert not may_have_crashed(ConnectionBreak(elapsed_s, probe_s, reused, others_active=True))


@given(elapsed_s=seconds, probe_s=seconds, reused=st.booleans())
def test_a_request_sent_after_a_reported_crash_is_not_suspected(elapsed_s, probe_s, reused):
    assert not may_have_crashed(ConnectionBreak(elapsed_s, probe_s, reused, reported_before=True))


@given(elapsed_s=st.floats(BEGUN_MARGIN_S * 2, 30.0), reused=st.booleans())
def test_a_request_that_ran_when_all_connections_broke_is_suspected(elapsed_s, reused):
    assert may_have_crashed(ConnectionBreak(elapsed_s, 0.001, reused))
    assert may_have_crashed(ConnectionBreak(0.0, 0.001, reused=True))


@given(known=start_times, reported=st.none() | start_times)
def test_only_a_later_start_time_confirms_a_crash_and_only_an_answer_retracts_it(known, reported):
    found = resolve_crash(known, reported)
    if found is CrashResolution.CRASHED:
        assert 0 < known < reported
    if reported is None:
        assert found is CrashResolution.PENDING
    if reported is not None and reported in (0, known):
        assert found is CrashResolution.ALIVE


@pytest.mark.parametrize(
    ("started_after_s", "expected"),
    [
        (2.0, CrashResolution.CRASHED),
        (-4.0, CrashResolution.CRASHED),
        (-6.0, CrashResolution.ALIVE),
        (-600.0, CrashResolution.ALIVE),
    ],
)
def test_a_start_time_near_the_break_confirms_a_crash_if_none_was_known(started_after_s, expected):
    """Without a start time in the entry, each restart looked like the same incarnation."""
    reported = int((NOW + started_after_s) * 1000)
    assert resolve_crash(0, reported, NOW) is expected


def test_a_crash_is_resolved_in_time_with_few_probes():
    at = list(accumulate(probe_delays()))
    first_answer = min(one for one in at if one > RESTART_S)
    assert first_answer <= RESOLVED_S - 0.5
    assert len(at) <= 60
    assert at[-1] >= 60.0


# Number of the endpoint whose link flaps, and whether it answers another request first.
flaps = st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=30)


@given(flaps)
def test_flapping_links_lead_to_no_refusal(rows):
    """However often connections broke, the unchanged start times retract every crash."""
    tracker = CrashTracker()
    at = NOW
    for number, answers_first in rows:
        start = Incarnation(f"i-{number}", STARTED_MS)
        tracker.record_crash(ONE, start, at, listens=True)
        if answers_first:  # an answer to another request, before the crash is resolved
            tracker.record_answer(start, at + 0.1)
        at += 0.2
    for number, _ in rows:
        tracker.retract_crash(Incarnation(f"i-{number}", STARTED_MS), at + 0.1, STARTED_MS)
    assert tracker.assess(ONE, at + 0.2).level is SuspicionLevel.NONE


@given(st.permutations(range(4)), st.booleans())
def test_a_confirmed_crash_is_not_retracted_by_later_answers(order, answers):
    """The next incarnation answers under the same id, which does not disprove the crash."""
    tracker = CrashTracker()
    for number in order:
        start = Incarnation(f"i-{number}", STARTED_MS)
        tracker.record_crash(ONE, start, NOW, listens=True)
        tracker.confirm_crash(ONE, start, NOW, STARTED_MS + 1)
        if answers:
            tracker.record_answer(start, NOW + 20.0)
            tracker.retract_crash(start, NOW + 20.0, STARTED_MS + 1)
    assessment = tracker.assess(ONE, NOW + 20.0)
    assert (assessment.level, assessment.crashes) == (SuspicionLevel.REFUSED, 4)


def test_an_answer_retracts_a_crash_that_nobody_resolved():
    """The box that saw the connection break was lost before it resolved the crash."""
    tracker = CrashTracker()
    start = Incarnation("i-0", STARTED_MS)
    tracker.record_crash(ONE, start, NOW, listens=True)
    assert not tracker.record_answer(start, NOW + 5.0)
    assert tracker.record_answer(start, NOW + 11.0)
    assert tracker.assess(ONE, NOW + 11.0).level is SuspicionLevel.NONE


def test_each_incarnation_behind_one_entry_counts_separately():
    tracker = CrashTracker()
    listed = Incarnation("i-0", STARTED_MS)
    for number in range(3):
        start = tracker.current_incarnation(listed)
        assert start.born == STARTED_MS + number
        tracker.record_crash(ONE, start, NOW + number, listens=True)
        tracker.confirm_crash(ONE, start, NOW + number, STARTED_MS + number + 1)
    assert tracker.assess(ONE, NOW + 3).level is SuspicionLevel.REFUSED


def test_a_confirmed_crash_is_merged_with_the_next_start_time():
    here, there = CrashTracker(), CrashTracker()
    start = Incarnation("i-0", STARTED_MS)
    here.record_crash(ONE, start, NOW, listens=True)
    there.merge(here.take_updates(), NOW)
    assert there.is_reported_crashed(start, NOW + 0.1)
    here.confirm_crash(ONE, start, NOW, STARTED_MS + 7)
    there.merge(here.take_updates(), NOW)
    assert there.current_incarnation(start) == Incarnation("i-0", STARTED_MS + 7)
    assert not there.is_reported_crashed(there.current_incarnation(start), NOW + 0.1)
    assert there.assess(ONE, NOW).crashes == 1


@pytest.mark.parametrize("reported", [0, STARTED_MS - 1])
def test_start_times_only_increase(reported):
    known = StartTimes()
    known.record("i-0", STARTED_MS)
    known.record("i-0", reported)
    assert known.current(Incarnation("i-0", STARTED_MS - 2)) == Incarnation("i-0", STARTED_MS)
    assert known.current(Incarnation("i-0", STARTED_MS + 2)) == Incarnation("i-0", STARTED_MS + 2)


def test_start_times_are_bounded():
    known = StartTimes()
    for number in range(MAX_START_TIMES + 5):
        known.record(f"i-{number}", STARTED_MS)
    assert len(known.newest) == MAX_START_TIMES
    assert known.current(Incarnation("i-0", 1)).born == 1
