"""Endpoints that may have ended are asked for their births until they answer."""

from __future__ import annotations

import threading

import pytest

from threadramp.edge.end_watch import WATCHED_MOST, EndWatch
from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_tracker import CrashTracker, SuspicionLevel

BORN = 1_700_000_000_000
ONE = b"one-request-0000"
OTHER = b"other-request-00"
START = Incarnation("i-0", BORN)


class Asked:
    """An endpoint whose answers are given, and a thread's pauses that take no time."""

    def __init__(self, *answers: int | None) -> None:
        self.answers = list(answers)
        self.pauses: list[float] = []
        self.clock = None
        self.pace = 1.0

    def pause(self, seconds: float) -> None:
        self.pauses.append(seconds)
        self.clock.at += seconds * self.pace

    def ask(self, address: str) -> int | None:
        assert address == "127.0.0.1:1"
        return self.answers.pop(0) if self.answers else None


@pytest.fixture
def settle(clock):
    """Hold a start's break against two requests, settle it, and return what came of it."""

    def made(*answers: int | None, pace: float = 1.0) -> tuple[CrashTracker, Asked]:
        book, asked = CrashTracker(), Asked(*answers)
        asked.pace = pace
        asked.clock = clock
        watch = EndWatch(book, clock, asked.ask, asked.pause)
        for fingerprint in (ONE, OTHER):
            book.record_crash(fingerprint, START, clock.time_of_day(), listens=True)
        watch.held[START] = {ONE: clock.time_of_day(), OTHER: clock.time_of_day()}
        watch._settle(START, "127.0.0.1:1")
        assert not watch.held
        return book, asked

    return made


def test_another_birth_proves_the_end_under_all_that_were_there(settle, clock):
    book, asked = settle(None, None, BORN + 9)
    for fingerprint in (ONE, OTHER):
        assert book.assess(fingerprint, clock.time_of_day()).level is SuspicionLevel.SUSPECTED
    assert book.suspects[ONE].crashes[0].is_proven
    assert len(asked.pauses) == 3


@pytest.mark.parametrize("told", [BORN, 0])
@pytest.mark.parametrize("pace", [1.0, -2.0])
def test_the_same_birth_or_none_takes_it_back(settle, clock, told, pace):
    """Also where the time of day is put back meanwhile."""
    book, _ = settle(None, told, pace=pace)
    for fingerprint in (ONE, OTHER):
        assert book.assess(fingerprint, clock.time_of_day()).level is SuspicionLevel.NONE


def test_a_start_that_was_replaced_has_ended_though_it_tells_no_birth(clock):
    """The next start answers under another id, which passed for the one before living on."""
    book, asked = CrashTracker(), Asked(0, 0, 0)
    asked.clock = clock
    start = Incarnation("i-0")
    replaced_at = clock.now() + 1.0
    watch = EndWatch(
        book, clock, asked.ask, asked.pause, lambda one, address: clock.now() > replaced_at
    )
    book.record_crash(ONE, start, clock.time_of_day(), listens=True)
    watch.held[start] = {ONE: clock.time_of_day()}
    watch._settle(start, "127.0.0.1:1")
    for seconds in (0.0, 60.0):
        clock.at += seconds
        book.record_answer(Incarnation("i-1"), clock.time_of_day())
        assert book.assess(ONE, clock.time_of_day()).crashes == 1


def test_a_birth_that_is_told_late_still_proves_the_end(settle, clock):
    """A front may answer for its endpoint, without a birth, before the next start does."""
    book, _ = settle(None, 0, 0, BORN + 9)
    assert book.suspects[ONE].crashes[0].is_proven


def test_one_that_never_answers_is_given_up(settle, clock):
    book, asked = settle()
    assert book.assess(ONE, clock.time_of_day()).crashes == 1
    assert len(asked.pauses) <= 60


def test_one_thread_looks_for_all_requests_of_a_start(clock):
    seen, go_on = [], threading.Event()

    def ask(address: str) -> int:
        seen.append(address)
        return BORN + 1

    book = CrashTracker()
    watch = EndWatch(book, clock, ask, lambda seconds: go_on.wait(5.0))
    for fingerprint in (ONE, OTHER):
        watch.watch(START, "127.0.0.1:1", fingerprint)
    go_on.set()
    for thread in threading.enumerate():
        if thread.name.startswith("Thread") and "_settle" in thread.name:
            thread.join(5.0)
    assert seen == ["127.0.0.1:1"]
    assert set(book.suspects) == {ONE, OTHER}


def test_few_endpoints_are_watched_at_once(clock):
    go_on = threading.Event()
    watch = EndWatch(CrashTracker(), clock, lambda address: 0, lambda seconds: go_on.wait(5.0))
    for number in range(WATCHED_MOST + 9):
        watch.watch(Incarnation(f"i-{number}", BORN), "127.0.0.1:1", ONE)
    assert len(watch.held) == WATCHED_MOST
    go_on.set()


def test_without_room_for_a_thread_the_request_goes_on(clock, monkeypatch):
    def no_room(thread: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", no_room)
    watch = EndWatch(CrashTracker(), clock)
    watch.watch(START, "127.0.0.1:1", ONE)
    assert not watch.held
