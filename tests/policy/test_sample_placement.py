"""Which sidecar runs which sample."""

from __future__ import annotations

from msgspec.structs import replace

from threadramp.fleet.fleet_view import Member
from threadramp.policy.sample_placement import RunnerView, choose_runner, views_in_pools
from threadramp.wire.runner import ANY_MODEL, RunnerStatus

NOW = 50.0


def view(name: str, gap: float = 37.0, taken: int = 0, version: int = 3, ready: bool = True):
    member = Member(name, "sidecar", "1", f"{name}:1", f"zone of {name}", f"{name}:80")
    status = RunnerStatus("1", "i", ready, 12, taken, {"m": version}, gap)
    return RunnerView(member, status, taken, last_answer_at=NOW)


def chosen(views, min_version: int = 1, near: str = "", avoid: str = "", queued: int = 0):
    found = choose_runner(views, "m", min_version, near, avoid, NOW, queued)
    return found.member.name if found is not None else None


def test_the_fastest_engine_comes_first_even_if_it_is_fuller():
    assert chosen([view("a", gap=48.0), view("b", gap=37.0, taken=8)]) == "b"


def test_among_equally_fast_engines_the_emptier_and_then_the_near_one_is_chosen():
    assert chosen([view("a", taken=5), view("b", gap=38.0, taken=2)]) == "b"
    assert chosen([view("a"), view("b")], near="zone of b") == "b"


def test_full_unready_unresponsive_and_stale_engines_get_no_samples():
    unresponsive = view("d")
    unresponsive.last_answer_at = NOW - 3.0
    views = [view("a", taken=12), view("b", ready=False), view("c", version=1), unresponsive]
    assert chosen(views, min_version=2) is None


def test_the_engine_to_avoid_is_chosen_only_if_there_is_no_other():
    assert chosen([view("a"), view("b", taken=9)], avoid="a") == "b"
    assert chosen([view("a")], avoid="a") == "a"


def test_samples_of_other_models_go_to_an_engine_that_loads():
    """All samples used to wait while one model of an engine was loaded, for 0.9 s and more."""
    loading = view("a")
    loading.status = replace(loading.status, loading="other")
    assert chosen([loading]) == "a"
    loading.status = replace(loading.status, loading="m")
    assert chosen([loading]) is None
    loading.status = replace(loading.status, loading=ANY_MODEL)
    assert chosen([loading]) is None


def test_a_sample_waits_at_a_full_engine_only_if_no_other_has_a_free_slot():
    """An urgent sample waited at a fast engine while a slower one would have started it at once."""
    full, slower = view("a", taken=12), view("b", gap=60.0, taken=8)
    assert chosen([full, slower], queued=2) == "b"
    assert chosen([full], queued=2) == "a"
    assert chosen([full]) is None


def in_pools(*pools: str, **versions: int) -> list[str]:
    views = [view(name, version=version) for name, version in versions.items()]
    for one in views:
        one.pool = one.member.name[0]
    return [one.member.name for one in views_in_pools(views, pools, "m", 3, NOW)]


def test_a_sample_uses_the_pool_that_the_weights_assign_to_it():
    assert in_pools("a", "b", a1=3, a2=2, b1=3, c1=3) == ["a1", "a2"]


def test_another_pool_of_the_route_replaces_one_whose_engines_can_not_run_the_sample():
    assert in_pools("a", "b", a1=2, b1=3, c1=3) == ["a1", "b1"]


def test_a_sample_without_a_route_may_use_no_engine():
    assert in_pools(a1=3) == []
