"""Which endpoint of a pool a request goes to."""

from __future__ import annotations

from random import Random

import pytest

from threadramp.fleet.model import Endpoint
from threadramp.platform.headers import EndpointLoad
from threadramp.policy.endpoint_choice import CHOICES, EndpointSelector

NOW = 100.0
FAST, SLOW = (Endpoint(f"i-{n}", "p", f"10.0.0.{n}:80", "a", 6) for n in (1, 2))


def selector(name: str) -> EndpointSelector:
    return CHOICES[name](Random(1))


def chosen(choice: EndpointSelector, now: float = NOW, target_s: float = 0.0) -> set[str]:
    both = [FAST, SLOW]
    return {choice.choose(both, (), now, target_s).instance for _ in range(50)}


@pytest.mark.parametrize("name", sorted(CHOICES))
def test_the_emptier_endpoint_is_chosen(name):
    choice = selector(name)
    for _ in range(3):
        choice.request_started(SLOW)
    assert chosen(choice) == {"i-1"}


def test_by_expected_time_a_slowed_endpoint_is_avoided_until_the_slowdown_has_faded():
    choice = selector("expected_time")
    choice.record_load(SLOW, EndpointLoad(0, 0, 6, 250), NOW)
    assert chosen(choice) == {"i-1"}
    assert chosen(choice, NOW + 5.0) == {"i-1", "i-2"}


def test_by_open_requests_the_speed_decides_nothing():
    """The choice before, for deployments whose settings ask for it."""
    choice = selector("open_requests")
    choice.record_load(SLOW, EndpointLoad(0, 0, 6, 250), NOW)
    assert chosen(choice) == {"i-1", "i-2"}


def test_by_open_requests_an_old_report_is_ignored():
    choice = selector("open_requests")
    choice.record_load(SLOW, EndpointLoad(6, 9, 6), NOW)
    assert chosen(choice) == {"i-1"}
    assert chosen(choice, NOW + 0.6) == {"i-1", "i-2"}


def test_endpoints_at_which_the_target_would_be_missed_are_left_out():
    choice = selector("expected_time")
    choice.record_load(SLOW, EndpointLoad(6, 24, 6), NOW)
    choice.record_load(FAST, EndpointLoad(6, 3, 6), NOW)
    assert chosen(choice, target_s=0.2) == {"i-1"}
