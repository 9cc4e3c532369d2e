"""Which running samples go on at a faster engine."""

from __future__ import annotations

from threadramp.fleet.fleet_view import Member
from threadramp.policy import moves
from threadramp.policy.moves import RunningSample, to_faster
from threadramp.policy.sample_placement import RunnerView
from threadramp.wire.runner import RunnerStatus

NOW = 50.0


def view(name: str, gap: float = 38.0, taken: int = 0, version: int = 3, loading: str = ""):
    member = Member(name, "sidecar", "1", f"{name}:1", "a", f"{name}:80")
    status = RunnerStatus("1", "i", True, 12, taken, {"m": version}, gap, loading)
    return RunnerView(member, status, taken, heard=NOW)


def sample(name: str, left: float, runner: str = "slow", here: int = 20, min_version: int = 1):
    return RunningSample("lot", name, "m", min_version, runner, here, left)


def moved(running, *views) -> list[str]:
    return [one.sample for one in to_faster(running, views, NOW)]


def test_a_long_sample_leaves_an_engine_that_is_a_third_slower():
    """187 events took 9.5 s at such an engine and 7.0 s at the others; it stayed there."""
    assert moved([sample("long", 120)], view("slow", 50.0), view("a"), view("b")) == ["long"]


def test_a_short_sample_and_one_that_is_nearly_done_stay():
    assert moved([sample("short", 20)], view("slow", 50.0), view("a"), view("b")) == []


def test_engines_that_differ_by_their_load_only_are_left_alone():
    assert moved([sample("long", 150)], view("slow", 42.0), view("a", 37.0)) == []


def test_those_that_gain_most_choose_first_and_no_more_leave_than_there_is_room_for():
    running = [sample("long", 60), sample("longest", 90), sample("longer", 80)]
    assert moved(running, view("slow", 120.0), view("a", taken=10)) == ["longest", "longer"]


def test_nothing_goes_where_weights_are_too_old_or_change_just_now():
    slow = view("slow", 120.0)
    assert moved([sample("long", 90, min_version=4)], slow, view("a")) == []
    assert moved([sample("long", 90)], slow, view("a", loading="m")) == []
    assert moved([sample("long", 90)], slow, view("a", loading="other")) == ["long"]


def test_a_sample_is_not_moved_on_at_once():
    """After a restart no engine tells its speed; samples were moved to and fro each 50 ms."""
    assert moved([sample("long", 90, here=2)], view("slow", 120.0), view("a", 0.0)) == []


def test_an_engine_that_tells_no_speed_is_taken_as_usual():
    views = (view("slow", 120.0), view("a"), view("b"), view("idle", 0.0))
    assert moved([sample("long", 90)], *views) == ["long"]


def test_a_turn_of_the_target_size_looks_at_little_more_than_what_moves(monkeypatch):
    """Each running sample was compared with each engine: 0.1 s of processor time a turn."""
    looks = []
    monkeypatch.setattr(moves, "has_fresh", lambda *asked: looks.append(asked) or True)
    views = [view(f"e{n}", 50.0 if n % 3 == 0 else 38.0, taken=9) for n in range(300)]
    running = [sample(f"s{n}", float(n % 180), f"e{n % 300}") for n in range(2_048)]
    assert len(to_faster(running, views, NOW)) == len(looks) > 500


def test_the_fastest_engine_with_fresh_weights_is_taken_where_faster_ones_have_none():
    views = (view("slow", 120.0), view("fastest", 37.0, version=1), view("fast", 45.0))
    assert moved([sample("long", 90, min_version=3)], *views) == ["long"]
    assert moved([sample("long", 90, min_version=4)], *views) == []
