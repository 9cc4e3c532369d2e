"""What convicts a request, what acquits it, and that boxes come to the same whatever the order."""

from __future__ import annotations

import random

import msgspec
import pytest

from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_book import (
    CRASHES_KEPT,
    FREE,
    KEPT_S,
    SUSPECTS_MOST,
    TRIALS_AFTER_S,
    CrashBook,
    Verdict,
)
from threadramp.wire.crashes import Crash, CrashNews, Suspect

NOW = 1_700_000_000.0
ONE = b"one-request-0000"
OTHER = b"other-request-00"


def start(number: int) -> Incarnation:
    return Incarnation(f"i-{number}", 1)


def crashed(count: int, fingerprint: bytes = ONE, at: float = NOW) -> CrashBook:
    book = CrashBook()
    for number in range(count):
        book.crashed(fingerprint, start(number), at)
    return book


@pytest.mark.parametrize(
    ("count", "verdict"),
    [(0, "free"), (1, "suspected"), (2, "apart"), (3, "refused"), (7, "refused")],
)
def test_what_holds_goes_by_the_starts_that_ended(count, verdict):
    assert crashed(count).ruling(ONE, NOW).verdict is Verdict(verdict)
    assert crashed(count).ruling(OTHER, NOW) == FREE


def test_one_start_ends_once_however_often_it_is_told():
    book = crashed(1)
    for _ in range(5):
        book.crashed(ONE, start(0), NOW + 0.1)
    assert book.ruling(ONE, NOW).crashes == 1


def test_one_good_answer_acquits_and_what_comes_later_counts_anew():
    book = crashed(3)
    assert book.ran_well(ONE, NOW + 1)
    assert book.ruling(ONE, NOW + 1).verdict is Verdict.FREE
    assert not book.ran_well(ONE, NOW + 2)
    book.crashed(ONE, start(9), NOW + 3)
    assert book.ruling(ONE, NOW + 3).crashes == 1


def test_a_start_that_answers_later_had_not_ended():
    """A box refused connections behind a cut that heals."""
    book = crashed(3)
    assert not book.lives(start(2), NOW + 1.0)  # such an answer may have been on its way
    assert book.lives(start(2), NOW + 3.0)
    assert book.ruling(ONE, NOW + 3.0).verdict is Verdict.APART
    told_again = CrashNews((Suspect(ONE, (Crash(start(2), NOW),), seen_at=NOW),))
    book.merge(told_again, NOW + 4.0)
    assert book.ruling(ONE, NOW + 4.0).verdict is Verdict.APART


def test_trials_are_few_and_far_between():
    book = crashed(3)
    now = NOW
    for number, pause in enumerate(TRIALS_AFTER_S, 1):
        assert book.ruling(ONE, now + pause - 0.1).trial == 0
        ruling = book.ruling(ONE, now + pause)
        assert (ruling.verdict, ruling.trial) == (Verdict.REFUSED, number)
        now += pause
        book.tried(ONE, number, now)
        book.crashed(ONE, start(10 + number), now)
    for later in range(0, 500, 10):
        book.came_again(ONE, now + later)
        assert book.ruling(ONE, now + later).trial == 0


def test_a_refusal_never_tells_a_caller_to_come_again_at_once():
    """The trial that is due may be another box's."""
    for later in (0.0, 2.5, 3.0, 30.0, 500.0):
        assert crashed(3).ruling(ONE, NOW + later).again_s >= 1.0


def test_it_is_refused_while_it_comes_and_forgotten_some_time_after():
    book = crashed(3)
    for number in range(1, 3):
        book.tried(ONE, number, NOW)
    for number in range(8):
        later = NOW + (number + 1) * KEPT_S * 0.6
        assert book.ruling(ONE, later).verdict is Verdict.REFUSED
        book.came_again(ONE, later)
    assert book.ruling(ONE, later + KEPT_S + 1) == FREE
    book.expire(later + KEPT_S + 1)
    assert book.is_empty


def test_boxes_that_are_told_the_same_in_any_order_and_twice_come_to_the_same():
    """Each of three boxes saw a part; what each then believes does not depend on the order."""
    chance = random.Random(5)
    for _ in range(200):
        parts = []
        for _ in range(6):
            book = CrashBook()
            for _ in range(chance.randrange(4)):
                at = NOW + chance.randrange(20)
                which = chance.choice((ONE, OTHER))
                book.crashed(which, start(chance.randrange(6)), at)
                if chance.random() < 0.3:
                    book.ran_well(which, at + chance.randrange(5))
            parts.append(book.take_news())
        books = [CrashBook() for _ in range(3)]
        for book in books:
            rows = parts * 2
            chance.shuffle(rows)
            for part in rows:
                book.merge(part, NOW + 30)
        found = {tuple(book.ruling(key, NOW + 30) for key in (ONE, OTHER)) for book in books}
        assert len(found) == 1


def test_what_is_new_is_told_once():
    calls = []
    book = CrashBook(on_news=lambda: calls.append(1))
    book.crashed(ONE, start(0), NOW)
    assert [one.fingerprint for one in book.take_news().suspects] == [ONE]
    assert calls and not book.take_news()
    book.merge(crashed(3, OTHER).take_news(), NOW)
    assert not book.take_news()  # who saw it tells it


def test_what_is_near_a_verdict_is_kept_by_who_had_a_part_in_it():
    book = crashed(2)
    book.crashed(OTHER, start(0), NOW)
    book.merge(crashed(3, b"third-request-00").take_news(), NOW)
    assert [one.fingerprint for one in book.to_keep().suspects] == [ONE]
    again = CrashBook()
    again.merge(book.to_keep(), NOW)
    assert not again.to_keep()
    again.was_own(book.to_keep())
    assert [one.fingerprint for one in again.to_keep().suspects] == [ONE]


def test_memory_is_bounded_and_what_weighs_most_stays():
    book = crashed(3)
    for number in range(SUSPECTS_MOST * 2):
        book.crashed(number.to_bytes(16, "big"), start(number), NOW)
    for number in range(50):
        book.crashed(ONE, start(number), NOW + number)
    assert len(book.suspects) == SUSPECTS_MOST
    assert len(book.suspects[ONE].crashes) == CRASHES_KEPT
    assert book.ruling(ONE, NOW + 50).verdict is Verdict.REFUSED


@pytest.mark.parametrize("far", [NOW + 1e9, float("inf"), float("nan"), -1.0])
def test_times_that_no_sound_clock_tells_do_not_last(far):
    """Another writer, or a clock that jumped."""
    book = CrashBook()
    absurd = Suspect(ONE, tuple(Crash(start(n), far) for n in range(3)), 0.0, 10**9, far)
    book.merge(CrashNews((absurd,)), NOW)
    assert book.ruling(ONE, NOW + KEPT_S + 10.0) == FREE


def test_news_pass_the_wire_as_they_are():
    news = crashed(2).take_news()
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(news), type=CrashNews) == news
