"""What a watch makes of cuts and outages."""

from __future__ import annotations

import io

import pytest

from threadramp.fleet import watcher as watcher_module
from threadramp.fleet.mirror import LAPSE_HOLD_S, Mirror
from threadramp.fleet.store_health import StoreHealth
from threadramp.fleet.watcher import AWAY_S, Watcher
from threadramp.platform.store_model import (
    Changes,
    HistoryGone,
    Item,
    Listing,
    Removal,
    StoreUnknownError,
)

ENTRY = Item("servers/a", b"v", 5)


class Store:
    """Answers watches with what a test has laid ready."""

    def __init__(self) -> None:
        self.answers: list[object] = []
        self.listing = Listing((ENTRY,), 5)

    def watch_pool(self):
        return io.BytesIO()  # it can be closed, and no more is asked of it

    def list(self, prefix):
        return self.listing

    def watch(self, prefix, after, wait_s, pool):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture
def health(clock) -> StoreHealth:
    made = StoreHealth(clock)
    made.answered(clock.now())
    return made


@pytest.fixture
def watcher(clock, health) -> Watcher:
    made = Watcher(Mirror("servers/", holds_lapsed=True), Store(), health, clock, gathers=False)
    made.stopped.wait = lambda seconds: None  # pauses take no time here
    return made


def turn(watcher: Watcher, *answers: object) -> None:
    """Let it take some answers, failures among them."""
    watcher.store.answers = list(answers)
    for _ in answers:
        watcher.one_turn()


def test_a_cut_watch_alone_makes_no_removal_doubtful(watcher, clock):
    """An endpoint whose entry went was believed for 2.5 s more, though the store was never away."""
    turn(watcher, StoreUnknownError("cut"))
    clock.at += 0.1
    turn(watcher, Changes((), (Removal("servers/a", 6),), 6))
    assert watcher.mirror.snapshot() == {}


def test_a_removal_right_after_an_outage_is_doubted_for_a_while(watcher, health, clock):
    health.failed(clock.now(), StoreUnknownError("down"))
    turn(watcher, StoreUnknownError("cut"))
    clock.at += 4.0
    health.answered(clock.now())
    watcher.store.listing = Listing((), 7)
    turn(watcher, Changes((), (), 7))
    assert list(watcher.mirror.snapshot()) == ["servers/a"]
    clock.at += LAPSE_HOLD_S
    watcher.mirror.expire(clock.now())
    assert watcher.mirror.snapshot() == {}


def test_a_store_that_was_not_heard_for_a_while_counts_as_away(watcher, clock):
    """The first failed renewal may come later than the first cut watch."""
    turn(watcher, StoreUnknownError("cut"))
    clock.at += AWAY_S + 0.1
    turn(watcher, StoreUnknownError("cut"))
    watcher.store.listing = Listing((), 7)
    turn(watcher, Changes((), (), 7))
    assert list(watcher.mirror.snapshot()) == ["servers/a"]


def test_history_that_is_gone_is_listed_anew(watcher):
    turn(watcher, HistoryGone())
    watcher.store.listing = Listing((ENTRY, Item("servers/b", b"v", 8)), 8)
    turn(watcher, Changes((), (), 8))
    assert sorted(watcher.mirror.snapshot()) == ["servers/a", "servers/b"]


def test_one_that_follows_lists_again_when_it_watches(watcher, clock):
    turn(watcher, Changes((), (), 5))
    watcher.follows = lambda: True
    watcher.one_turn()
    watcher.follows = lambda: False
    watcher.store.listing = Listing((), 9)
    turn(watcher, Changes((), (), 9))
    assert watcher.mirror.snapshot() == {}


def test_what_it_sees_is_told_to_those_that_follow(watcher):
    told = []
    watcher.spread = lambda prefix, after, changes: told.append((prefix, after, changes.revision))
    turn(watcher, Changes((Item("servers/b", b"v", 6),), (), 6), Changes((), (), 9))
    assert told == [("servers/", 5, 6), ("servers/", 6, 9)]


def test_a_cut_watch_tells_how_long_it_waited_and_when_the_store_last_answered(
    watcher, health, clock, monkeypatch
):
    """That tells a silent connection from a store that was away."""
    told = []
    monkeypatch.setattr(
        watcher_module, "log_state", lambda what, **fields: told.append((what, fields))
    )
    turn(watcher, Changes((), (), 5))
    asked_at = clock.now()

    def cut(prefix, after, wait_s, pool):
        clock.at += 11.0
        health.answered(clock.now() - 0.3)
        raise StoreUnknownError("no answer")

    watcher.store.watch = cut
    watcher.one_turn()
    what, fields = told[-1]
    assert what == "watch_cut"
    assert (fields["waited_s"], fields["confirmed_ago_s"]) == (clock.now() - asked_at, 0.3)
