"""Which callers return after a refusal."""

from __future__ import annotations

from threadramp.policy.returning_callers import UsualTime


def test_a_caller_with_less_time_than_the_others_returns():
    usual = UsualTime()
    assert not usual.is_returning(2.009, 100.0)
    assert not usual.is_returning(2.005, 100.1)
    assert usual.is_returning(1.9, 100.2)


def test_a_shorter_usual_time_is_learned():
    """An operator shortened the time; all callers passed for returning ones from then on."""
    usual = UsualTime()
    usual.is_returning(2.0, 100.0)
    usual.is_returning(1.0, 115.0)
    assert not usual.is_returning(1.0, 125.0)
