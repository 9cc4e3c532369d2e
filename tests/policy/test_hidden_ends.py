"""What is held against a request where a port goes on answering, and what takes it back."""

from __future__ import annotations

from itertools import accumulate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_book import CrashBook, Verdict
from threadramp.policy.hidden_ends import (
    BEGUN_S,
    BIRTHS_MOST,
    Births,
    Break,
    Settlement,
    looks,
    may_have_ended,
    settlement,
)

NOW = 1_700_000_000.0
BORN = 1_700_000_000_000
ONE = b"one-request-0000"
SETTLED_S = 3.0  # the users allow it from the third crash on
BACK_S = 2.0  # for which endpoints are usually away

seconds = st.floats(0.0, 30.0)
births = st.integers(0, 5).map(lambda number: number and BORN + number)


@given(look_s=seconds, lived_s=seconds)
def test_a_full_queue_is_held_against_nobody(look_s, lived_s):
    """It resets a new connection as fast as one on which nothing is asked."""
    refused_at_once = Break(min(lived_s, look_s), look_s)
    assert not may_have_ended(refused_at_once)


@given(lived_s=seconds, look_s=seconds, kept=st.booleans())
def test_one_connection_that_breaks_is_held_against_nobody(lived_s, look_s, kept):
    """Others that are open there go on, so the endpoint does."""
    assert not may_have_ended(Break(lived_s, look_s, kept, others_go_on=True))


@given(lived_s=seconds, look_s=seconds, kept=st.booleans())
def test_what_is_sent_to_an_endpoint_that_was_down_is_not_to_blame(lived_s, look_s, kept):
    assert not may_have_ended(Break(lived_s, look_s, kept, known_before=True))


@given(lived_s=st.floats(BEGUN_S * 2, 30.0), kept=st.booleans())
def test_one_that_ran_when_all_broke_is_held(lived_s, kept):
    assert may_have_ended(Break(lived_s, 0.001, kept))
    assert may_have_ended(Break(0.0, 0.001, kept=True))


@given(known=births, told=st.none() | births)
def test_only_a_later_birth_proves_an_end_and_only_an_answer_takes_it_back(known, told):
    found = settlement(known, told)
    if found is Settlement.ENDED:
        assert 0 < known < told
    if told is None:
        assert found is Settlement.OPEN
    if told is not None and told in (0, known):
        assert found is Settlement.LIVES


@pytest.mark.parametrize(
    ("born_after_s", "expected"),
    [
        (2.0, Settlement.ENDED),
        (-4.0, Settlement.ENDED),
        (-6.0, Settlement.LIVES),
        (-600.0, Settlement.LIVES),
    ],
)
def test_a_birth_around_the_break_proves_an_end_where_none_was_known(born_after_s, expected):
    """Entries that tell no birth made each restart look like the same endpoint living on."""
    told = int((NOW + born_after_s) * 1000)
    assert settlement(0, told, NOW) is expected


def test_an_end_is_settled_in_time_and_looked_at_few_times():
    at = list(accumulate(looks()))
    first_answer = min(one for one in at if one > BACK_S)
    assert first_answer <= SETTLED_S - 0.5
    assert len(at) <= 60
    assert at[-1] >= 60.0


# Of one endpoint: how many of its links flap at a time, and whether it ends in between.
flaps = st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=30)


@given(flaps)
def test_links_that_flap_convict_nobody(rows):
    """Whatever broke under one request, the same births take all of it back, in any order."""
    book = CrashBook()
    at = NOW
    for number, answers_first in rows:
        start = Incarnation(f"i-{number}", BORN)
        book.crashed(ONE, start, at, listens=True)
        if answers_first:  # an answer to another request, before it is settled
            book.lives(start, at + 0.1)
        at += 0.2
    for number, _ in rows:
        book.lived_on(Incarnation(f"i-{number}", BORN), at + 0.1, BORN)
    assert book.ruling(ONE, at + 0.2).verdict is Verdict.FREE


@given(st.permutations(range(4)), st.booleans())
def test_what_is_proven_stands_whatever_answers_there_later(order, answers):
    """The next start answers under the same id; that says nothing of the one before."""
    book = CrashBook()
    for number in order:
        start = Incarnation(f"i-{number}", BORN)
        book.crashed(ONE, start, NOW, listens=True)
        book.proven(ONE, start, NOW, BORN + 1)
        if answers:
            book.lives(start, NOW + 20.0)
            book.lived_on(start, NOW + 20.0, BORN + 1)
    ruling = book.ruling(ONE, NOW + 20.0)
    assert (ruling.verdict, ruling.crashes) == (Verdict.REFUSED, 4)


def test_an_answer_takes_back_what_nobody_settled():
    """The box that saw the break was lost before it knew."""
    book = CrashBook()
    start = Incarnation("i-0", BORN)
    book.crashed(ONE, start, NOW, listens=True)
    assert not book.lives(start, NOW + 5.0)
    assert book.lives(start, NOW + 11.0)
    assert book.ruling(ONE, NOW + 11.0).verdict is Verdict.FREE


def test_each_start_behind_one_entry_counts_for_itself():
    book = CrashBook()
    listed = Incarnation("i-0", BORN)
    for number in range(3):
        start = book.current(listed)
        assert start.born == BORN + number
        book.crashed(ONE, start, NOW + number, listens=True)
        book.proven(ONE, start, NOW + number, BORN + number + 1)
    assert book.ruling(ONE, NOW + 3).verdict is Verdict.REFUSED


def test_what_one_box_proved_another_is_told_with_the_birth():
    here, there = CrashBook(), CrashBook()
    start = Incarnation("i-0", BORN)
    here.crashed(ONE, start, NOW, listens=True)
    there.merge(here.take_news(), NOW)
    assert there.ended_before(start, NOW + 0.1)
    here.proven(ONE, start, NOW, BORN + 7)
    there.merge(here.take_news(), NOW)
    assert there.current(start) == Incarnation("i-0", BORN + 7)
    assert not there.ended_before(there.current(start), NOW + 0.1)
    assert there.ruling(ONE, NOW).crashes == 1


@pytest.mark.parametrize("told", [0, BORN - 1])
def test_births_only_rise(told):
    known = Births()
    known.note("i-0", BORN)
    known.note("i-0", told)
    assert known.current(Incarnation("i-0", BORN - 2)) == Incarnation("i-0", BORN)
    assert known.current(Incarnation("i-0", BORN + 2)) == Incarnation("i-0", BORN + 2)


def test_births_are_bounded():
    known = Births()
    for number in range(BIRTHS_MOST + 5):
        known.note(f"i-{number}", BORN)
    assert len(known.newest) == BIRTHS_MOST
    assert known.current(Incarnation("i-0", 1)).born == 1
