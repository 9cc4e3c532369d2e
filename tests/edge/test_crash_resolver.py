"""Queries for the start times of endpoints that may have crashed."""

from __future__ import annotations

import threading

import pytest

from threadramp.edge.crash_resolver import MAX_PENDING, CrashResolver
from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_tracker import CrashTracker, SuspicionLevel

START_TIME_MS = 1_700_000_000_000
ONE = b"one-request-0000"
OTHER = b"other-request-00"
START = Incarnation("i-0", START_TIME_MS)


class FakeEndpoint:
    """An endpoint with given responses, and a sleep that only advances the clock."""

    def __init__(self, *answers: int | None) -> None:
        self.answers = list(answers)
        self.pauses: list[float] = []
        self.clock = None
        self.pace = 1.0

    def sleep(self, seconds: float) -> None:
        self.pauses.append(seconds)
        self.clock.at += seconds * self.pace

    def query_start_time(self, address: str) -> int | None:
        assert address == "127.0.0.1:1"
        return self.answers.pop(0) if self.answers else None


@pytest.fixture
def resolve(clock):
    """Attribute one crash to two requests, resolve it and return the result."""

    def made(*answers: int | None, pace: float = 1.0) -> tuple[CrashTracker, FakeEndpoint]:
        tracker, endpoint = CrashTracker(), FakeEndpoint(*answers)
        endpoint.pace = pace
        endpoint.clock = clock
        resolver = CrashResolver(tracker, clock, endpoint.query_start_time, endpoint.sleep)
        for fingerprint in (ONE, OTHER):
            tracker.record_crash(fingerprint, START, clock.time_of_day(), listens=True)
        resolver.pending[START] = {ONE: clock.time_of_day(), OTHER: clock.time_of_day()}
        resolver._resolve(START, "127.0.0.1:1")
        assert not resolver.pending
        return tracker, endpoint

    return made


def test_another_start_time_confirms_the_crash_for_all_requests(resolve, clock):
    tracker, endpoint = resolve(None, None, START_TIME_MS + 9)
    for fingerprint in (ONE, OTHER):
        assert tracker.assess(fingerprint, clock.time_of_day()).level is SuspicionLevel.SUSPECTED
    assert tracker.suspects[ONE].crashes[0].is_proven
    assert len(endpoint.pauses) == 3


@pytest.mark.parametrize("start_time", [START_TIME_MS, 0])
@pytest.mark.parametrize("pace", [1.0, -2.0])
def test_the_same_start_time_or_none_retracts_the_crash(resolve, clock, start_time, pace):
    """Also if the time of day is set back meanwhile."""
    tracker, _ = resolve(None, start_time, pace=pace)
    for fingerprint in (ONE, OTHER):
        assert tracker.assess(fingerprint, clock.time_of_day()).level is SuspicionLevel.NONE


def test_a_replaced_incarnation_has_crashed_even_without_a_start_time(clock):
    """The next incarnation, under another id, was taken for the previous one being alive."""
    tracker, endpoint = CrashTracker(), FakeEndpoint(0, 0, 0)
    endpoint.clock = clock
    start = Incarnation("i-0")
    replaced_at = clock.now() + 1.0
    resolver = CrashResolver(
        tracker,
        clock,
        endpoint.query_start_time,
        endpoint.sleep,
        lambda one, address: clock.now() > replaced_at,
    )
    tracker.record_crash(ONE, start, clock.time_of_day(), listens=True)
    resolver.pending[start] = {ONE: clock.time_of_day()}
    resolver._resolve(start, "127.0.0.1:1")
    for seconds in (0.0, 60.0):
        clock.at += seconds
        tracker.record_answer(Incarnation("i-1"), clock.time_of_day())
        assert tracker.assess(ONE, clock.time_of_day()).crashes == 1


def test_a_late_start_time_still_confirms_the_crash(resolve, clock):
    """A proxy may respond for its endpoint, without a start time, before the endpoint is back."""
    tracker, _ = resolve(None, 0, 0, START_TIME_MS + 9)
    assert tracker.suspects[ONE].crashes[0].is_proven


def test_an_endpoint_that_never_responds_is_given_up(resolve, clock):
    tracker, endpoint = resolve()
    assert tracker.assess(ONE, clock.time_of_day()).crashes == 1
    assert len(endpoint.pauses) <= 60


def test_one_thread_serves_all_requests_of_an_incarnation(clock):
    seen, go_on = [], threading.Event()

    def query_start_time(address: str) -> int:
        seen.append(address)
        return START_TIME_MS + 1

    tracker = CrashTracker()
    resolver = CrashResolver(tracker, clock, query_start_time, lambda seconds: go_on.wait(5.0))
    for fingerprint in (ONE, OTHER):
        resolver.resolve(START, "127.0.0.1:1", fingerprint)
    go_on.set()
    for thread in threading.enumerate():
        if thread.name.startswith("Thread") and "_resolve" in thread.name:
            thread.join(5.0)
    assert seen == ["127.0.0.1:1"]
    assert set(tracker.suspects) == {ONE, OTHER}


def test_the_number_of_endpoints_queried_at_once_is_bounded(clock):
    go_on = threading.Event()
    resolver = CrashResolver(
        CrashTracker(), clock, lambda address: 0, lambda seconds: go_on.wait(5.0)
    )
    for number in range(MAX_PENDING + 9):
        resolver.resolve(Incarnation(f"i-{number}", START_TIME_MS), "127.0.0.1:1", ONE)
    assert len(resolver.pending) == MAX_PENDING
    go_on.set()


def test_a_request_goes_on_if_no_thread_can_be_started(clock, monkeypatch):
    def refuse_to_start(thread: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", refuse_to_start)
    resolver = CrashResolver(CrashTracker(), clock)
    resolver.resolve(START, "127.0.0.1:1", ONE)
    assert not resolver.pending
