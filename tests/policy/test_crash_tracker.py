"""What convicts a request, what acquits it, and that boxes come to the same whatever the order."""

from __future__ import annotations

import random

import msgspec
import pytest

from threadramp.fleet.model import Start
from threadramp.policy.crash_tracker import (
    MAX_CRASHES_PER_REQUEST,
    MAX_SUSPECTS,
    NO_SUSPICION,
    RETENTION_S,
    TRIAL_DELAYS_S,
    CrashTracker,
    SuspicionLevel,
)
from threadramp.wire.crashes import Crash, CrashNews, Suspect

NOW = 1_700_000_000.0
ONE = b"one-request-0000"
OTHER = b"other-request-00"


def start(number: int) -> Start:
    return Start(f"i-{number}", 1)


def crashed(count: int, fingerprint: bytes = ONE, at: float = NOW) -> CrashTracker:
    book = CrashTracker()
    for number in range(count):
        book.record_crash(fingerprint, start(number), at)
    return book


@pytest.mark.parametrize(
    ("count", "verdict"),
    [(0, "free"), (1, "suspected"), (2, "apart"), (3, "refused"), (7, "refused")],
)
def test_what_holds_goes_by_the_starts_that_ended(count, verdict):
    assert crashed(count).assess(ONE, NOW).level is SuspicionLevel(verdict)
    assert crashed(count).assess(OTHER, NOW) == NO_SUSPICION


def test_one_start_ends_once_however_often_it_is_told():
    book = crashed(1)
    for _ in range(5):
        book.record_crash(ONE, start(0), NOW + 0.1)
    assert book.assess(ONE, NOW).crashes == 1


def test_one_good_answer_acquits_and_what_comes_later_counts_anew():
    book = crashed(3)
    assert book.record_success(ONE, NOW + 1)
    assert book.assess(ONE, NOW + 1).level is SuspicionLevel.NONE
    assert not book.record_success(ONE, NOW + 2)
    book.record_crash(ONE, start(9), NOW + 3)
    assert book.assess(ONE, NOW + 3).crashes == 1


def test_a_start_that_answers_later_had_not_ended():
    """A box refused connections behind a cut that heals."""
    book = crashed(3)
    assert not book.record_answer(start(2), NOW + 1.0)  # such an answer may have been on its way
    assert book.record_answer(start(2), NOW + 3.0)
    assert book.assess(ONE, NOW + 3.0).level is SuspicionLevel.ISOLATED
    told_again = CrashNews((Suspect(ONE, (Crash(start(2), NOW),), seen_at=NOW),))
    book.merge(told_again, NOW + 4.0)
    assert book.assess(ONE, NOW + 4.0).level is SuspicionLevel.ISOLATED


def test_trials_are_few_and_far_between():
    book = crashed(3)
    now = NOW
    for number, pause in enumerate(TRIAL_DELAYS_S, 1):
        assert book.assess(ONE, now + pause - 0.1).trial == 0
        ruling = book.assess(ONE, now + pause)
        assert (ruling.level, ruling.trial) == (SuspicionLevel.REFUSED, number)
        now += pause
        book.record_trial(ONE, number, now)
        book.record_crash(ONE, start(10 + number), now)
    for later in range(0, 500, 10):
        book.record_repeat(ONE, now + later)
        assert book.assess(ONE, now + later).trial == 0


def test_a_refusal_never_tells_a_caller_to_come_again_at_once():
    """The trial that is due may be another box's."""
    for later in (0.0, 2.5, 3.0, 30.0, 500.0):
        assert crashed(3).assess(ONE, NOW + later).retry_after_s >= 1.0


def test_it_is_refused_while_it_comes_and_forgotten_some_time_after():
    book = crashed(3)
    for number in range(1, 3):
        book.record_trial(ONE, number, NOW)
    for number in range(8):
        later = NOW + (number + 1) * RETENTION_S * 0.6
        assert book.assess(ONE, later).level is SuspicionLevel.REFUSED
        book.record_repeat(ONE, later)
    assert book.assess(ONE, later + RETENTION_S + 1) == NO_SUSPICION
    book.expire(later + RETENTION_S + 1)
    assert book.is_empty


def test_boxes_that_are_told_the_same_in_any_order_and_twice_come_to_the_same():
    """Each of three boxes saw a part; what each then believes does not depend on the order."""
    chance = random.Random(5)
    for _ in range(200):
        parts = []
        for _ in range(6):
            book = CrashTracker()
            for _ in range(chance.randrange(4)):
                at = NOW + chance.randrange(20)
                which = chance.choice((ONE, OTHER))
                book.record_crash(which, start(chance.randrange(6)), at)
                if chance.random() < 0.3:
                    book.record_success(which, at + chance.randrange(5))
            parts.append(book.take_updates())
        books = [CrashTracker() for _ in range(3)]
        for book in books:
            rows = parts * 2
            chance.shuffle(rows)
            for part in rows:
                book.merge(part, NOW + 30)
        found = {tuple(book.assess(key, NOW + 30) for key in (ONE, OTHER)) for book in books}
        assert len(found) == 1


def test_what_is_new_is_told_once():
    calls = []
    book = CrashTracker(on_update=lambda: calls.append(1))
    book.record_crash(ONE, start(0), NOW)
    assert [one.fingerprint for one in book.take_updates().suspects] == [ONE]
    assert calls and not book.take_updates()
    book.merge(crashed(3, OTHER).take_updates(), NOW)
    assert not book.take_updates()  # who saw it tells it


def test_what_is_near_a_verdict_is_kept_by_who_had_a_part_in_it():
    book = crashed(2)
    book.record_crash(OTHER, start(0), NOW)
    book.merge(crashed(3, b"third-request-00").take_updates(), NOW)
    assert [one.fingerprint for one in book.records_to_persist().suspects] == [ONE]
    again = CrashTracker()
    again.merge(book.records_to_persist(), NOW)
    assert not again.records_to_persist()
    again.restore_own(book.records_to_persist())
    assert [one.fingerprint for one in again.records_to_persist().suspects] == [ONE]


def test_memory_is_bounded_and_what_weighs_most_stays():
    book = crashed(3)
    for number in range(MAX_SUSPECTS * 2):
        book.record_crash(number.to_bytes(16, "big"), start(number), NOW)
    for number in range(50):
        book.record_crash(ONE, start(number), NOW + number)
    assert len(book.suspects) == MAX_SUSPECTS
    assert len(book.suspects[ONE].crashes) == MAX_CRASHES_PER_REQUEST
    assert book.assess(ONE, NOW + 50).level is SuspicionLevel.REFUSED


@pytest.mark.parametrize("far", [NOW + 1e9, float("inf"), float("nan"), -1.0])
def test_times_that_no_sound_clock_tells_do_not_last(far):
    """Another writer, or a clock that jumped."""
    book = CrashTracker()
    absurd = Suspect(ONE, tuple(Crash(start(n), far) for n in range(3)), 0.0, 10**9, far)
    book.merge(CrashNews((absurd,)), NOW)
    assert book.assess(ONE, NOW + RETENTION_S + 10.0) == NO_SUSPICION


def test_news_pass_the_wire_as_they_are():
    news = crashed(2).take_updates()
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=CrashNews) == news
