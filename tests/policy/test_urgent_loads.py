"""Which engines are asked to load at once."""

from __future__ import annotations

from tests.policy.test_moves import NOW, view
from threadramp.policy.urgent_loads import engines_for_urgent_load


def hurried(min_version: int, *views) -> list[str]:
    return [one.member.name for one in engines_for_urgent_load(views, "m", min_version, NOW)]


def test_two_fast_and_empty_engines_of_a_small_pool_are_asked():
    views = (view("slow", 60.0), view("full", taken=9), view("a"), view("b", taken=1))
    assert hurried(4, *views) == ["a", "b"]


def test_none_is_asked_while_one_engine_could_run_what_waits():
    assert hurried(3, view("a"), view("b", version=2)) == []


def test_engines_that_load_it_already_count():
    assert hurried(4, view("a"), view("b", loading="m"), view("c", loading="m")) == []
    assert hurried(4, view("a"), view("b", loading="m"), view("c")) == ["a"]


def test_engines_that_load_something_else_or_are_silent_are_not_asked():
    silent = view("silent")
    silent.last_answer_at = NOW - 10
    assert hurried(4, view("busy", loading="other"), silent, view("c")) == ["c"]
