"""Which running samples move to a faster engine."""

from __future__ import annotations

from threadramp.fleet.fleet_view import Member
from threadramp.policy import moves
from threadramp.policy.moves import RunningSample, samples_to_move
from threadramp.policy.sample_placement import RunnerView
from threadramp.wire.runner import RunnerStatus

NOW = 50.0


def view(name: str, gap: float = 38.0, taken: int = 0, version: int = 3, loading: str = ""):
    member = Member(name, "sidecar", "1", f"{name}:1", "a", f"{name}:80")
    status = RunnerStatus("1", "i", True, 12, taken, {"m": version}, gap, loading)
    return RunnerView(member, status, taken, last_answer_at=NOW, pool="engines")


def sample(name: str, left: float, runner: str = "slow", here: int = 20, min_version: int = 1):
    return RunningSample("lot", name, "m", min_version, runner, here, left)


def moved(running, *views) -> list[str]:
    return [one.sample for one in samples_to_move(running, views, NOW)]


def test_a_long_sample_leaves_an_engine_that_is_a_third_slower():
    """A sample of 187 events stayed at such an engine for 9.5 s; it takes 7.0 s at the others."""
    assert moved([sample("long", 120)], view("slow", 50.0), view("a"), view("b")) == ["long"]


def test_a_short_sample_is_not_moved():
    assert moved([sample("short", 20)], view("slow", 50.0), view("a"), view("b")) == []


def test_a_difference_in_load_alone_moves_no_sample():
    assert moved([sample("long", 150)], view("slow", 42.0), view("a", 37.0)) == []


def test_the_longest_samples_move_first_and_no_more_than_there_are_free_slots():
    running = [sample("long", 60), sample("longest", 90), sample("longer", 80)]
    assert moved(running, view("slow", 120.0), view("a", taken=10)) == ["longest", "longer"]


def test_no_sample_moves_to_an_engine_with_old_or_changing_weights():
    slow = view("slow", 120.0)
    assert moved([sample("long", 90, min_version=4)], slow, view("a")) == []
    assert moved([sample("long", 90)], slow, view("a", loading="m")) == []
    assert moved([sample("long", 90)], slow, view("a", loading="other")) == ["long"]


def test_a_sample_is_not_moved_again_at_once():
    """After a restart no engine reports its speed; samples moved back and forth every 50 ms."""
    assert moved([sample("long", 90, here=2)], view("slow", 120.0), view("a", 0.0)) == []


def test_an_engine_without_a_reported_speed_counts_as_usual():
    views = (view("slow", 120.0), view("a"), view("b"), view("idle", 0.0))
    assert moved([sample("long", 90)], *views) == ["long"]


def test_a_pass_over_a_large_fleet_checks_only_the_engines_that_samples_move_to(monkeypatch):
    """Comparing each running sample with each engine took 0.1 s of processor time per pass."""
    checked = []
    monkeypatch.setattr(moves, "has_fresh_weights", lambda *asked: checked.append(asked) or True)
    views = [view(f"e{n}", 50.0 if n % 3 == 0 else 38.0, taken=9) for n in range(300)]
    running = [sample(f"s{n}", float(n % 180), f"e{n % 300}") for n in range(2_048)]
    assert len(samples_to_move(running, views, NOW)) == len(checked) > 500


def test_the_fastest_engine_with_fresh_weights_is_chosen():
    views = (view("slow", 120.0), view("fastest", 37.0, version=1), view("fast", 45.0))
    assert moved([sample("long", 90, min_version=3)], *views) == ["long"]
    assert moved([sample("long", 90, min_version=4)], *views) == []
