"""The samples of one lot, from submission to listed result."""

from __future__ import annotations

import pytest

from threadramp.core.lot_tracker import LotRules, LotTracker, Phase, RunOutcome
from threadramp.lots.model import Lot, Result, ResultState, Reward, Sample, encode
from threadramp.lots.owned import first_page
from threadramp.platform.trainer_calls import results_body

REWARD = Reward("reward", "scores.example", "/score/", b"x")


def make_sample(name: str, group: str, expected: int = 100, reward: Reward | None = REWARD):
    return Sample(name, f"/run/{name}", (), b"prompt", 500, group, reward, expected)


def make_book(*samples: Sample, min_version: int = 1, one_version: bool = False) -> LotTracker:
    lot = Lot("lot", "models.example", "/run/", 0, "m", min_version, 1, samples)
    return LotTracker(lot, LotRules(3, one_version, due=7.5, give_up_at=40.0))


def start(book: LotTracker, sample: str, runner: str, lineage: str = "L1") -> None:
    book.assign(sample, runner)
    assert book.accepted(sample, runner, lineage)


@pytest.fixture
def book() -> LotTracker:
    return make_book(make_sample("a", "g"), make_sample("b", "g", expected=900))


def test_the_longest_sample_is_assigned_first(book):
    assert [state.sample.id for state in book.waiting(0.0)] == ["b", "a"]


def test_a_sample_goes_from_text_to_score_to_position(book):
    start(book, "a", "s1")
    assert book.add_events("a", "s1", 0, ["x", "y"], [3, 4], "L1")
    assert book.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0) is Phase.SCORING
    assert book.scored("a", "signature", 1.1)
    assert book.next_chunk(1.2) == ()  # its group is incomplete, and it has waited for only 0.1 s
    chunk = book.next_chunk(1.5)
    book.appended(chunk)
    (result,) = book.listed
    assert (result.sample, result.text, result.versions) == ("a", "x\ny", (3, 4))
    assert (result.state, result.score) == (ResultState.SUCCEEDED, "signature")


def test_a_complete_group_is_appended_at_once():
    book = make_book(make_sample("a", "g", reward=None))
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["x"], [1], "L1")
    book.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0)
    assert [result.sample for result in book.next_chunk(1.0)] == ["a"]
    assert book.next_chunk(1.0) == ()  # one append at a time
    book.append_failed()
    assert [result.sample for result in book.next_chunk(1.0)] == ["a"]


def test_events_of_an_earlier_sidecar_are_not_added_to_the_text_of_a_later_one(book):
    start(book, "a", "s1")
    assert book.add_events("a", "s1", 0, ["1", "2"], [1, 1], "L1")
    book.lose_runner("s1", 2.0)
    start(book, "a", "s2", lineage="L2")
    assert not book.add_events("a", "s1", 2, ["3 of s1", "4 of s1"], [1, 1], "L1")
    assert book.add_events("a", "s2", 2, ["3 of s2"], [1], "L2")
    assert book.states["a"].events == ["1", "2", "3 of s2"]


def test_no_event_is_added_before_the_new_sidecar_confirms_which_text_it_resumes(book):
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["1"], [1], "L1")
    book.return_to_queue("a", "s1", 0.0)
    book.assign("a", "s1")
    assert not book.add_events("a", "s1", 1, ["2 of the earlier run"], [1], "L1")
    assert book.event_counts_at("s1") == {}
    assert book.accepted("a", "s1", "L1")
    assert book.add_events("a", "s1", 1, ["2"], [1], "L1")


def test_events_that_do_not_follow_are_refused(book):
    start(book, "a", "s1")
    assert not book.add_events("a", "s1", 1, ["2"], [1], "L1")
    assert book.add_events("a", "s1", 0, ["1", "2"], [1, 1], "L1")
    assert book.add_events("a", "s1", 1, ["2", "3"], [1, 1], "L1")
    assert book.states["a"].events == ["1", "2", "3"]


def test_a_version_older_than_allowed_restarts_the_sample():
    book = make_book(make_sample("a", "g"), min_version=2)
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["x"], [1], "L1")
    assert book.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0) is Phase.WAITING
    assert book.states["a"].events == []


def test_several_versions_restart_the_sample_where_one_is_required():
    book = make_book(make_sample("a", "g"), one_version=True)
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["x", "y"], [1, 2], "L1")
    assert book.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0) is Phase.WAITING


def test_a_sample_is_given_up_after_as_many_failures_as_allowed(book):
    for _ in range(3):
        start(book, "a", "s1")
        phase = book.run_ended("a", "s1", RunOutcome.FAILED, 1.0)
    assert phase is Phase.STAGED
    assert book.states["a"].result.state is ResultState.DEAD


def test_an_interrupted_run_is_not_a_failure(book):
    for _ in range(5):
        start(book, "a", "s1")
        assert book.run_ended("a", "s1", RunOutcome.CUT, 1.0) is Phase.WAITING
    assert book.states["a"].failures == 0


def test_partial_text_is_reused_only_if_its_versions_are_allowed():
    book = make_book(make_sample("a", "g"), make_sample("b", "g"), min_version=2)
    assert not book.prefill("a", ["x"], [1], "L1")
    assert book.prefill("b", ["x"], [2], "L1")
    assert book.states["b"].events == ["x"]


def test_an_ended_lot_requires_no_action(book):
    start(book, "a", "s1")
    assert book.end() == ["a"]
    assert book.waiting(0.0) == []
    assert book.next_chunk(99.0) == ()
    assert book.give_up_overdue(99.0) == []


def test_samples_are_given_up_only_after_the_time_limit(book):
    assert book.give_up_overdue(39.9) == []
    assert sorted(book.give_up_overdue(40.0)) == ["a", "b"]


def test_a_sample_is_given_up_after_as_many_failed_scorings_as_allowed(book):
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["x"], [1], "L1")
    book.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0)
    assert not book.score_failed("a", 1.0, 2)
    assert book.score_failed("a", 1.0, 2)
    assert book.states["a"].result.state is ResultState.DEAD


LONG_TEXT = "\u6f22" * 100_000  # 300,000 bytes
MAX_VALUE_BYTES = 1_048_576  # of the users' store; a page of results may have as many


def long_results() -> list[Result]:
    return [Result(name, ResultState.SUCCEEDED, LONG_TEXT, (1,), "") for name in "abcdef"]


# Guards against a chunk that the store refuses for its size, so that no result is ever listed.
def test_a_chunk_of_text_that_is_not_ascii_fits_into_a_value_of_the_store():
    book = make_book(*(make_sample(name, "g", reward=None) for name in "abcdef"))
    for name in "abcdef":
        start(book, name, "s1")
        book.add_events(name, "s1", 0, [LONG_TEXT], [1], "L1")
        book.run_ended(name, "s1", RunOutcome.COMPLETE, 1.0)
    chunk = book.next_chunk(9.0)
    assert chunk
    assert len(encode(chunk)) <= MAX_VALUE_BYTES


# Guards against a page that is larger than trainers accept.
def test_a_page_of_text_that_is_not_ascii_has_a_megabyte_at_most():
    page = first_page(long_results())
    assert page
    assert len(results_body(6, 0, page)) <= MAX_VALUE_BYTES


# Guards against a text that joins two runs: a sidecar was counted as lost while an order was on its
# way, got the sample again, and the answers to both orders came.
def test_the_answer_to_an_earlier_assignment_is_ignored(book):
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["1"], [1], "L1")
    book.lose_runner("s1", 1.0)
    first = book.assign("a", "s1")
    book.lose_runner("s1", 1.0)
    second = book.assign("a", "s1")
    assert not book.accepted("a", "s1", "L2", first)
    assert not book.add_events("a", "s1", 1, ["2 of the first"], [1], "L2")
    assert not book.return_to_queue("a", "s1", 1.0, first)
    assert book.accepted("a", "s1", "L3", second)
    assert book.add_events("a", "s1", 1, ["2 of the second"], [1], "L3")


# Guards against a page that is larger than trainers accept: line feeds separate the events.
@pytest.mark.parametrize("text", ["\n" * 100_000, '"' * 100_000, "\x01" * 100_000])
def test_a_page_of_text_that_is_escaped_has_a_megabyte_at_most(text):
    results = [Result(name, ResultState.SUCCEEDED, text, (1,), "") for name in "abcdefgh"]
    page = first_page(results)
    assert page
    assert len(results_body(8, 0, page)) <= MAX_VALUE_BYTES


# Guards against a text of two chains of events: where a reply repeats events, they were assumed to
# be the known ones.
def test_events_that_differ_from_known_ones_restart_the_sample(book):
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["1", "2"], [1, 1], "L1")
    assert not book.add_events("a", "s1", 1, ["another 2", "3"], [1, 1], "L1")
    state = book.states["a"]
    assert (state.phase, state.events, state.versions) == (Phase.WAITING, [], [])


def test_events_without_a_version_each_are_refused(book):
    start(book, "a", "s1")
    assert not book.add_events("a", "s1", 0, ["1", "2"], [1], "L1")
    assert book.states["a"].events == []


# Guards against a result with another number of events than the complete run at its sidecar.
@pytest.mark.parametrize("event_count", [1, 3])
def test_a_complete_text_with_another_number_of_events_is_restarted(book, event_count):
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["1", "2"], [1, 1], "L1")
    phase = book.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0, event_count)
    assert phase is Phase.WAITING
    assert book.states["a"].events == []


def test_an_interrupted_text_keeps_events_beyond_those_of_a_late_reply(book):
    start(book, "a", "s1")
    book.add_events("a", "s1", 0, ["1", "2"], [1, 1], "L1")
    assert book.run_ended("a", "s1", RunOutcome.CUT, 1.0, 1) is Phase.WAITING
    assert book.states["a"].events == ["1", "2"]
