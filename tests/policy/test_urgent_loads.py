"""Which engines load a model out of turn."""

from __future__ import annotations

from tests.policy.test_moves import NOW, view
from threadramp.policy.urgent_loads import engines_for_urgent_load


def urgent(min_version: int, *views) -> list[str]:
    return [one.member.name for one in engines_for_urgent_load(views, "m", min_version, NOW)]


def test_the_two_fastest_and_emptiest_engines_of_a_small_pool_load():
    views = (view("slow", 60.0), view("full", taken=9), view("a"), view("b", taken=1))
    assert urgent(4, *views) == ["a", "b"]


def test_none_loads_while_an_engine_can_run_the_samples():
    assert urgent(3, view("a"), view("b", version=2)) == []


def test_engines_that_already_load_the_model_count():
    assert urgent(4, view("a"), view("b", loading="m"), view("c", loading="m")) == []
    assert urgent(4, view("a"), view("b", loading="m"), view("c")) == ["a"]


def test_busy_and_unresponsive_engines_are_not_asked():
    unresponsive = view("silent")
    unresponsive.last_answer_at = NOW - 10
    assert urgent(4, view("busy", loading="other"), unresponsive, view("c")) == ["c"]
