"""Text of samples that were unfinished when their lot ended."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from tests.core.test_lot_tracker import start
from threadramp.core.lot_tracker import LotRules, LotTracker, Phase, RunOutcome
from threadramp.lots.model import Lot, Reward, Sample
from threadramp.lots.partial_texts import PartialTexts
from threadramp.lots.text_inputs import TextInputs

HEADERS = (("X-Model", "m"), ("X-Token-Count", "540,400"), ("X-Prompt-Prefix", "9c2e41:300,5d:8"))
SAMPLE = Sample("a", "/run/a", HEADERS, b"prompt", 500, "g", None, 100)
LOT = Lot("lot", "models.example", "/run/", 0, "m", 1, 1, (SAMPLE,))
RULES = LotRules(3, one_version=False, due=7.5, give_up_at=40.0)


def tracker_of(lot: Lot = LOT, **changes: object) -> LotTracker:
    """Return the tracker of a lot with one sample.

    :param changes: to the sample
    """
    sample = msgspec.structs.replace(SAMPLE, **changes)
    return LotTracker(msgspec.structs.replace(lot, samples=(sample,)), RULES)


def run_partly(tracker: LotTracker) -> None:
    start(tracker, "a", "s1")
    tracker.add_events("a", "s1", 0, ["one", "two"], [1, 1], "L1")


def kept_texts() -> PartialTexts:
    ended = tracker_of()
    run_partly(ended)
    ended.end()
    texts = PartialTexts()
    texts.add(ended)
    return texts


def with_header(name: str, value: str) -> tuple[tuple[str, str], ...]:
    return tuple((key, value if key == name else old) for key, old in HEADERS)


OTHER_REQUESTS = {
    "body": tracker_of(body=b"another prompt"),
    "path": tracker_of(path="/run/b"),
    "model header": tracker_of(headers=with_header("X-Model", "n")),
    "length": tracker_of(headers=with_header("X-Token-Count", "540,900")),
    "prompt": tracker_of(headers=with_header("X-Prompt-Prefix", "77aa01:300,5d:8")),
    "another header": tracker_of(headers=(*HEADERS, ("X-Temperature", "0"))),
    "model": tracker_of(msgspec.structs.replace(LOT, model="n")),
    "host": tracker_of(msgspec.structs.replace(LOT, host="others.example")),
    "organisation": tracker_of(msgspec.structs.replace(LOT, organisation="o")),
}


# Guards against a text that begins with events of another request, to which the trainer gave the
# id of a sample of an earlier lot.
@pytest.mark.parametrize("changed", OTHER_REQUESTS)
def test_text_of_another_request_with_the_same_id_is_not_reused(changed):
    later = OTHER_REQUESTS[changed]
    assert kept_texts().apply_to(later) == []
    assert later.states["a"].events == []


# Guards against samples that are generated again although their request is the same.
@pytest.mark.parametrize(
    "headers",
    [
        HEADERS,
        HEADERS[::-1],
        tuple((name.lower(), value) for name, value in HEADERS),
        (*HEADERS, ("X-Length-Hint", "90")),
        (*HEADERS, ("X-Pin-Ms", "500"), ("X-Deadline-Ms", "9000")),
    ],
)
def test_text_of_the_same_request_is_reused(headers):
    later = tracker_of(headers=headers)
    assert kept_texts().apply_to(later) == ["a"]
    assert later.states["a"].events == ["one", "two"]


# Guards against a text that is lost to the lot it belongs to because another lot used its id.
def test_text_stays_for_the_lot_with_its_request():
    texts = kept_texts()
    texts.apply_to(tracker_of(body=b"another prompt"))
    assert texts.apply_to(tracker_of()) == ["a"]
    assert texts.apply_to(tracker_of()) == []


# Guards against events and versions of different lengths: a reply that was in flight when the lot
# ended still extended the kept lists.
def test_kept_text_does_not_change_after_the_end_of_its_lot():
    ended = tracker_of()
    run_partly(ended)
    ended.end()
    texts = PartialTexts()
    texts.add(ended)
    ended.add_events("a", "s1", 2, ["three"], [1], "L1")
    later = tracker_of()
    texts.apply_to(later)
    assert later.states["a"].events == ["one", "two"]
    assert later.states["a"].versions == [1, 1]


def test_an_organisation_may_change_its_key_without_losing_its_text():
    lot = msgspec.structs.replace(LOT, organisation="o")
    before, after = (
        TextInputs.of(lot, msgspec.structs.replace(SAMPLE, headers=(("Authorization", key),)))
        for key in ("Bearer first-key", "Bearer second-key")
    )
    assert before == after
    assert before.digest != replace(before, organisation="p").digest


def end_and_begin_again(ended: LotTracker, **changes: object) -> LotTracker:
    ended.end()
    texts = PartialTexts()
    texts.add(ended)
    later = tracker_of(**changes)
    texts.apply_to(later)
    return later


REWARD = Reward("reward", "scores.example", "/score/", b"x")


# Guards against a whole text that is sent to an engine again, which reads its prompt to send
# nothing, and whose answer then decides whether the text is complete.
@pytest.mark.parametrize("scored", [False, True])
def test_a_whole_text_of_an_earlier_lot_is_scored_without_another_run(scored):
    ended = tracker_of(reward=REWARD)
    run_partly(ended)
    ended.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0)
    if scored:
        ended.scored("a", "signature", 1.1)
    later = end_and_begin_again(ended, reward=REWARD)
    assert later.complete_prefilled(2.0) == ["a"]
    assert later.waiting(2.0) == []
    assert later.scored("a", "signature", 2.1)
    assert later.states["a"].result.text == "one\ntwo"


def test_a_whole_text_without_a_reward_is_a_result_at_once():
    ended = tracker_of()
    run_partly(ended)
    ended.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0)
    later = end_and_begin_again(ended)
    assert later.complete_prefilled(2.0) == []
    assert later.states["a"].phase is Phase.STAGED


# Guards against a cut text that is listed as if it were whole.
@pytest.mark.parametrize("outcome", [RunOutcome.CUT, RunOutcome.FAILED, RunOutcome.CRASHED])
def test_a_cut_text_of_an_earlier_lot_is_not_complete(outcome):
    ended = tracker_of(reward=REWARD)
    run_partly(ended)
    ended.run_ended("a", "s1", outcome, 1.0)
    later = end_and_begin_again(ended, reward=REWARD)
    assert later.complete_prefilled(2.0) == []
    assert later.states["a"].phase is Phase.WAITING
    assert later.states["a"].events == ["one", "two"]


# Guards against a text of weights that the later lot does not allow.
def test_a_whole_text_of_older_weights_is_not_complete():
    ended = tracker_of(reward=REWARD)
    run_partly(ended)
    ended.run_ended("a", "s1", RunOutcome.COMPLETE, 1.0)
    ended.end()
    texts = PartialTexts()
    texts.add(ended)
    later = tracker_of(msgspec.structs.replace(LOT, min_version=2), reward=REWARD)
    texts.apply_to(later)
    assert later.complete_prefilled(2.0) == []
    assert later.states["a"].events == []
