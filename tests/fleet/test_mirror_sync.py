"""Exchange of store contents between gateways, with reordering and losses."""

from __future__ import annotations

import random

import pytest

from threadramp.fleet.fleet_view import FleetView
from threadramp.fleet.mirror_sync import MirrorSync
from threadramp.fleet.store_health import StoreHealth
from threadramp.platform.store_model import Changes, Item, Listing, Removal
from threadramp.wire.fleet import MirrorBeat, MirrorChanges

PREFIX = "op/"


def sharing(clock, listed: bool = True) -> MirrorSync:
    made = MirrorSync(FleetView(), StoreHealth(clock), clock)
    if listed:
        made.fleet_view.operator.replace(Listing((Item("op/x", b"1", 5),), 5), 0.0)
    return made


def changes(after: int, revision: int, *items: Item, removals=()) -> MirrorChanges:
    return MirrorChanges("w", "w:1", PREFIX, after, revision, items, tuple(removals))


def test_changes_that_follow_are_taken_at_once(clock):
    follower = sharing(clock)
    follower.apply_changes(changes(5, 7, Item("op/y", b"2", 7)))
    assert sorted(follower.fleet_view.operator.snapshot()) == ["op/x", "op/y"]
    assert follower.fleet_view.operator.revision == 7


def test_changes_that_are_already_applied_are_skipped(clock):
    follower = sharing(clock)
    follower.apply_changes(changes(3, 5, removals=[Removal("op/x", 5)]))
    assert "op/x" in follower.fleet_view.operator.snapshot()


def test_changes_behind_a_gap_wait_for_a_whole_copy(clock):
    follower = sharing(clock)
    follower.apply_changes(changes(6, 8, Item("op/y", b"2", 8)))
    assert follower.fleet_view.operator.revision == 5
    watcher = sharing(clock)
    watcher.fleet_view.operator.apply(
        Changes((Item("op/y", b"2", 8),), (Removal("op/x", 6),), 8), 0.0
    )
    follower.apply_copy(watcher.copy_for(MirrorBeat("f", "f:1", follower.revisions())))
    assert sorted(follower.fleet_view.operator.snapshot()) == ["op/y"]


def test_a_gateway_that_has_not_listed_applies_no_changes(clock):
    follower = sharing(clock, listed=False)
    follower.apply_changes(changes(0, 7, Item("op/y", b"2", 7)))
    assert not follower.fleet_view.operator.is_loaded


def test_a_copy_says_how_long_ago_the_store_answered(clock):
    watcher = sharing(clock)
    beat = MirrorBeat("f", "f:1", {})
    assert watcher.copy_for(beat).confirmed_ago_s is None
    watcher.health.record_answer(clock.now())
    clock.at += 0.3
    assert watcher.copy_for(beat).confirmed_ago_s == pytest.approx(0.3)
    watcher.health.record_failure(clock.now(), ValueError("unreachable"))
    assert watcher.copy_for(beat).confirmed_ago_s is None


@pytest.mark.parametrize("seed", range(60))
def test_lost_and_late_changes_never_lead_to_other_content(clock, seed):
    """Despite losses and reordering, a follower has the watcher's content of its revision."""
    rng = random.Random(seed)
    watcher, follower = sharing(clock), sharing(clock)
    held = {5: {"op/x": b"1"}}
    truth = dict(held[5])
    on_the_way: list[MirrorChanges] = []
    revision = 5
    for _ in range(40):
        before = watcher.fleet_view.operator.revision
        revision += rng.randint(1, 3)
        key = f"op/{rng.randrange(6)}"
        if key in truth and rng.random() < 0.5:
            del truth[key]
            step = Changes((), (Removal(key, revision),), revision)
        else:
            truth[key] = b"%d" % revision
            step = Changes((Item(key, truth[key], revision),), (), revision)
        held[revision] = dict(truth)
        watcher.fleet_view.operator.apply(step, 0.0)
        if rng.random() < 0.8:
            on_the_way.append(changes(before, revision, *step.items, removals=step.removals))
        rng.shuffle(on_the_way)
        while on_the_way and rng.random() < 0.6:
            follower.apply_changes(on_the_way.pop())
        if rng.random() < 0.2:
            follower.apply_copy(watcher.copy_for(MirrorBeat("f", "f:1", follower.revisions())))
        mirror = follower.fleet_view.operator
        assert {key: item.value for key, item in mirror.snapshot().items()} == held[mirror.revision]
