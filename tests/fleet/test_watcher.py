"""What a watch makes of cuts and outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from threadramp.fleet import watcher as watcher_module
from threadramp.fleet.mirror import LAPSE_HOLD_S, Mirror
from threadramp.fleet.store_health import AWAY_S, StoreHealth
from threadramp.fleet.watcher import TOLD_S, Watcher, watch_wait_s
from threadramp.platform.store_model import (
    Changes,
    GivenUpError,
    HistoryGone,
    Item,
    Listing,
    Removal,
    StoreUnknownError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRY = Item("servers/a", b"v", 5)


class Store:
    """Answers watches with what a test has laid ready."""

    def __init__(self) -> None:
        self.answers: list[object] = []
        self.listing = Listing((ENTRY,), 5)
        self.on_silence: list[Callable[[], None]] = []
        self.given_up = 0

    def watch_line(self):
        return self  # it can be given up, and no more is asked of it

    def give_up(self):
        self.given_up += 1

    def give_up_lines(self):
        self.given_up += 1

    def went_silent(self):
        for tell in self.on_silence:
            tell()

    def list(self, prefix):
        return self.listing

    def watch(self, prefix, after, wait_s, line):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


@pytest.fixture
def health(clock) -> StoreHealth:
    made = StoreHealth(clock)
    made.record_answer(clock.now())
    return made


@pytest.fixture
def watcher(clock, health) -> Watcher:
    made = Watcher(Mirror("servers/", holds_lapsed=True), Store(), health, clock, batches=False)
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
    health.record_failure(clock.now(), StoreUnknownError("down"))
    turn(watcher, StoreUnknownError("cut"))
    clock.at += 4.0
    health.record_answer(clock.now())
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
    watcher.push_changes = lambda prefix, after, changes: told.append(
        (prefix, after, changes.revision)
    )
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

    def cut(prefix, after, wait_s, line):
        clock.at += 11.0
        health.record_answer(clock.now() - 0.3)
        raise StoreUnknownError("no answer")

    watcher.store.watch = cut
    watcher.one_turn()
    what, fields = told[-1]
    assert what == "watch_cut"
    assert (fields["waited_s"], fields["confirmed_ago_s"]) == (clock.now() - asked_at, 0.3)


def stay_out(watcher: Watcher, clock) -> None:
    """Let its watch bring no answer until its time is over."""

    def silent(prefix, after, wait_s, line):
        clock.at += wait_s + 0.6
        raise StoreUnknownError("timed out")

    answering, watcher.store.watch = watcher.store.watch, silent
    watcher.one_turn()
    watcher.store.watch = answering


def test_a_watch_that_stays_out_makes_all_open_connections_suspect(watcher, health, clock):
    """Those of the other watches are as old, and theirs would stay out for as long again."""
    other = Watcher(watcher.mirror, watcher.store, health, clock, batches=False)
    turn(watcher, Changes((), (), 5))
    other.stale = False
    given_up = watcher.store.given_up
    stay_out(watcher, clock)
    assert watcher.store.given_up == given_up + 2
    assert other.stale


def test_a_watch_that_was_given_up_is_listed_anew_at_once(watcher):
    pauses = []
    watcher.stopped.wait = pauses.append
    turn(watcher, GivenUpError("given up"))
    watcher.stale = True  # whoever gives it up says so
    watcher.store.listing = Listing((ENTRY, Item("servers/b", b"v", 8)), 8)
    turn(watcher, Changes((), (), 8))
    assert sorted(watcher.mirror.snapshot()) == ["servers/a", "servers/b"]
    assert pauses == []


def test_removals_are_believed_where_only_connections_were_silent(watcher, health, clock):
    """A renewal on a silent connection takes 1.6 s to be answered on a new one."""
    turn(watcher, Changes((), (), 5))
    clock.at += AWAY_S - 0.3
    watcher.store.listing = Listing((), 7)
    turn(watcher, StoreUnknownError("timed out"), Changes((), (), 7))
    health.record_answer(clock.now())
    assert watcher.mirror.snapshot() == {}


def test_a_listing_that_fails_again_and_again_is_not_asked_without_a_pause(watcher, clock):
    turn(watcher, Changes((), (), 5))
    stay_out(watcher, clock)
    pauses = []
    watcher.stopped.wait = pauses.append

    def away(prefix):
        raise StoreUnknownError("away")

    watcher.store.list = away
    for _ in range(3):
        watcher.one_turn()
    assert len(pauses) == 3


def test_what_a_listing_shows_is_told_to_those_that_follow(watcher):
    told = []
    turn(watcher, Changes((), (), 5))
    watcher.push_changes = lambda prefix, after, changes: told.append((after, changes))
    turn(watcher, StoreUnknownError("cut"))
    watcher.store.listing = Listing((Item("servers/b", b"v", 8),), 9)
    turn(watcher, Changes((), (), 9))
    after, changes = told[0]
    assert after == 5
    assert [item.key for item in changes.items] == ["servers/b"]
    assert changes.removals == (Removal("servers/a", 9),)


def test_a_wait_leaves_time_for_sidecars_to_be_told(watcher):
    assert watch_wait_s(3.0) == pytest.approx(3.0 - TOLD_S)
    assert watch_wait_s(0.5) > 0


class LateStore(Store):
    """Answers a watch after a while.

    :param took_s: from the question until the answer is read here
    """

    def __init__(self, clock, took_s: float) -> None:
        super().__init__()
        self.clock = clock
        self.took_s = took_s

    def watch(self, prefix, after, wait_s, line):
        self.clock.at += self.took_s
        return super().watch(prefix, after, wait_s, line)


@pytest.mark.parametrize(
    ("changes", "took_s", "shown_after_s"),
    [
        (Changes((), (), 5), 2.0, 2.0),
        (Changes((), (), 5), 2.6, 2.0),
        (Changes((), (), 5), 0.4, 0.0),
        (Changes((ENTRY,), (), 5), 2.6, 0.0),
        (Changes((), (Removal(ENTRY.key, 6),), 6), 0.4, 0.0),
    ],
)
def test_an_answer_that_is_read_late_does_not_make_the_mirror_newer(
    clock, health, changes, took_s, shown_after_s
) -> None:
    """Keys were accepted beyond their bound by as long as the answer had lain in a buffer."""
    store = LateStore(clock, took_s)
    store.answers = [changes]
    mirror = Mirror("servers/", holds_lapsed=True)
    watcher = Watcher(mirror, store, health, clock, batches=False, wait_s=2.0)
    asked_at = clock.now()
    watcher.one_turn()
    assert mirror.current_at == asked_at + shown_after_s


@pytest.mark.parametrize(("served", "believed"), [(True, False), (False, True)])
def test_a_removal_is_doubted_only_if_the_store_served_no_gateway(
    clock, health, served, believed
) -> None:
    """A gateway that was turned away alone sent requests to an endpoint that had gone."""
    store = Store()
    store.answers = [StoreUnknownError("cut"), Changes((), (Removal(ENTRY.key, 6),), 6)]
    mirror = Mirror("servers/", holds_lapsed=True)
    watcher = Watcher(
        mirror, store, health, clock, batches=False, peer_reaches_store=lambda: served
    )
    watcher.stopped.set()  # no pause after the cut
    health.record_failure(clock.now(), StoreUnknownError("turned away"))
    watcher.one_turn()
    health.record_answer(clock.now())
    watcher.one_turn()
    assert (ENTRY.key in mirror.snapshot()) is believed
