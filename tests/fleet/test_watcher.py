"""How a watcher handles failed watches and outages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from threadramp.fleet import watcher as watcher_module
from threadramp.fleet.mirror import RETENTION_S, Mirror
from threadramp.fleet.store_health import UNREACHABLE_AFTER_S, StoreHealth
from threadramp.fleet.watcher import PROPAGATION_S, Watcher, watch_wait_s
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
    """Answers watches with the prepared answers of a test."""

    def __init__(self) -> None:
        self.answers: list[object] = []
        self.listing = Listing((ENTRY,), 5)
        self.on_silence: list[Callable[[], None]] = []
        self.given_up = 0

    def watch_line(self):
        return self  # only ``give_up`` is called on it

    def give_up(self):
        self.given_up += 1

    def give_up_lines(self):
        self.given_up += 1

    def went_silent(self):
        for notify in self.on_silence:
            notify()

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
    made = Watcher(Mirror("servers/", retains_expired=True), Store(), health, clock, batches=False)
    made.stopped.wait = lambda seconds: None  # skip pauses
    return made


def turn(watcher: Watcher, *answers: object) -> None:
    """Let the watcher process some answers, which may be failures."""
    watcher.store.answers = list(answers)
    for _ in answers:
        watcher.run_once()


def test_a_failed_watch_alone_defers_no_removal(watcher, clock):
    """A removed endpoint was retained for 2.5 s although the store was never unreachable."""
    turn(watcher, StoreUnknownError("cut"))
    clock.at += 0.1
    turn(watcher, Changes((), (Removal("servers/a", 6),), 6))
    assert watcher.mirror.snapshot() == {}


def test_a_removal_right_after_an_outage_is_deferred_for_a_while(watcher, health, clock):
    health.record_failure(clock.now(), StoreUnknownError("down"))
    turn(watcher, StoreUnknownError("cut"))
    clock.at += 4.0
    health.record_answer(clock.now())
    watcher.store.listing = Listing((), 7)
    turn(watcher, Changes((), (), 7))
    assert list(watcher.mirror.snapshot()) == ["servers/a"]
    clock.at += RETENTION_S
    watcher.mirror.expire(clock.now())
    assert watcher.mirror.snapshot() == {}


def test_a_store_without_answers_for_a_while_counts_as_unreachable(watcher, clock):
    """The first failed renewal may come later than the first failed watch."""
    turn(watcher, StoreUnknownError("cut"))
    clock.at += UNREACHABLE_AFTER_S + 0.1
    turn(watcher, StoreUnknownError("cut"))
    watcher.store.listing = Listing((), 7)
    turn(watcher, Changes((), (), 7))
    assert list(watcher.mirror.snapshot()) == ["servers/a"]


def test_a_compacted_history_causes_a_new_listing(watcher):
    turn(watcher, HistoryGone())
    watcher.store.listing = Listing((ENTRY, Item("servers/b", b"v", 8)), 8)
    turn(watcher, Changes((), (), 8))
    assert sorted(watcher.mirror.snapshot()) == ["servers/a", "servers/b"]


def test_one_that_follows_lists_again_when_it_watches(watcher, clock):
    turn(watcher, Changes((), (), 5))
    watcher.follows = lambda: True
    watcher.run_once()
    watcher.follows = lambda: False
    watcher.store.listing = Listing((), 9)
    turn(watcher, Changes((), (), 9))
    assert watcher.mirror.snapshot() == {}


def test_changes_are_pushed_to_followers(watcher):
    pushed = []
    watcher.push_changes = lambda prefix, after, changes: pushed.append(
        (prefix, after, changes.revision)
    )
    turn(watcher, Changes((Item("servers/b", b"v", 6),), (), 6), Changes((), (), 9))
    assert pushed == [("servers/", 5, 6), ("servers/", 6, 9)]


def test_a_failed_watch_logs_how_long_it_waited_and_when_the_store_last_answered(
    watcher, health, clock, monkeypatch
):
    """This distinguishes a dead connection from an unreachable store."""
    logged = []
    monkeypatch.setattr(
        watcher_module, "log_state", lambda what, **fields: logged.append((what, fields))
    )
    turn(watcher, Changes((), (), 5))
    asked_at = clock.now()

    def cut(prefix, after, wait_s, line):
        clock.at += 11.0
        health.record_answer(clock.now() - 0.3)
        raise StoreUnknownError("no answer")

    watcher.store.watch = cut
    watcher.run_once()
    what, fields = logged[-1]
    assert what == "watch_failed"
    assert (fields["waited_s"], fields["confirmed_ago_s"]) == (clock.now() - asked_at, 0.3)


def stay_out(watcher: Watcher, clock) -> None:
    """Let its watch time out without an answer."""

    def hang(prefix, after, wait_s, line):
        clock.at += wait_s + 0.6
        raise StoreUnknownError("timed out")

    answering, watcher.store.watch = watcher.store.watch, hang
    watcher.run_once()
    watcher.store.watch = answering


def test_a_watch_that_times_out_makes_all_open_connections_suspect(watcher, health, clock):
    """The other watches' connections are as old, and would take as long to time out."""
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
    watcher.stale = True  # set by whoever gives it up
    watcher.store.listing = Listing((ENTRY, Item("servers/b", b"v", 8)), 8)
    turn(watcher, Changes((), (), 8))
    assert sorted(watcher.mirror.snapshot()) == ["servers/a", "servers/b"]
    assert pauses == []


def test_removals_are_applied_if_only_connections_were_dead(watcher, health, clock):
    """A renewal on a dead connection takes 1.6 s until it is answered on a new one."""
    turn(watcher, Changes((), (), 5))
    clock.at += UNREACHABLE_AFTER_S - 0.3
    watcher.store.listing = Listing((), 7)
    turn(watcher, StoreUnknownError("timed out"), Changes((), (), 7))
    health.record_answer(clock.now())
    assert watcher.mirror.snapshot() == {}


def test_a_listing_that_fails_again_and_again_is_not_asked_without_a_pause(watcher, clock):
    turn(watcher, Changes((), (), 5))
    stay_out(watcher, clock)
    pauses = []
    watcher.stopped.wait = pauses.append

    def fail(prefix):
        raise StoreUnknownError("unreachable")

    watcher.store.list = fail
    for _ in range(3):
        watcher.run_once()
    assert len(pauses) == 3


def test_differences_of_a_listing_are_pushed_to_followers(watcher):
    pushed = []
    turn(watcher, Changes((), (), 5))
    watcher.push_changes = lambda prefix, after, changes: pushed.append((after, changes))
    turn(watcher, StoreUnknownError("cut"))
    watcher.store.listing = Listing((Item("servers/b", b"v", 8),), 9)
    turn(watcher, Changes((), (), 9))
    after, changes = pushed[0]
    assert after == 5
    assert [item.key for item in changes.items] == ["servers/b"]
    assert changes.removals == (Removal("servers/a", 9),)


def test_a_wait_leaves_time_to_notify_sidecars(watcher):
    assert watch_wait_s(3.0) == pytest.approx(3.0 - PROPAGATION_S)
    assert watch_wait_s(0.5) > 0


class LateStore(Store):
    """Answers a watch after a delay.

    :param took_s: time from the request until the answer is read here
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
    """Keys were accepted beyond their bound for as long as the answer had been buffered."""
    store = LateStore(clock, took_s)
    store.answers = [changes]
    mirror = Mirror("servers/", retains_expired=True)
    watcher = Watcher(mirror, store, health, clock, batches=False, wait_s=2.0)
    asked_at = clock.now()
    watcher.run_once()
    assert mirror.current_at == asked_at + shown_after_s


@pytest.mark.parametrize(("served", "retained"), [(True, False), (False, True)])
def test_a_removal_is_deferred_only_if_the_store_served_no_gateway(
    clock, health, served, retained
) -> None:
    """The only gateway that the store refused sent requests to an endpoint that had left."""
    store = Store()
    store.answers = [StoreUnknownError("cut"), Changes((), (Removal(ENTRY.key, 6),), 6)]
    mirror = Mirror("servers/", retains_expired=True)
    watcher = Watcher(
        mirror, store, health, clock, batches=False, peer_reaches_store=lambda: served
    )
    watcher.stopped.set()  # no pause after the failure
    health.record_failure(clock.now(), StoreUnknownError("refused"))
    watcher.run_once()
    health.record_answer(clock.now())
    watcher.run_once()
    assert (ENTRY.key in mirror.snapshot()) is retained
