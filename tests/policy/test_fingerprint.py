"""Which requests are the same one."""

from __future__ import annotations

import pytest

from threadramp.policy.fingerprint import fingerprint, short_fingerprint

ONE = ("h.example", "POST", "/a/b?c=1", "caller one", b"body")


def test_a_request_that_comes_again_is_the_same():
    assert fingerprint(*ONE) == fingerprint("H.example", *ONE[1:])


@pytest.mark.parametrize("place", range(5))
def test_another_host_method_path_caller_or_body_is_another_request(place):
    other = list(ONE)
    other[place] += b"x" if place == 4 else "x"
    assert fingerprint(*other) != fingerprint(*ONE)


def test_parts_that_run_together_are_told_apart():
    assert fingerprint("h", "POST", "/ab", "", b"c") != fingerprint("h", "POST", "/a", "", b"bc")


def test_a_caller_can_not_make_up_what_is_taken_for_another_callers():
    assert fingerprint("h", "GET", "/a", "", b"caller") != fingerprint(
        "h", "GET", "/a", "caller", b""
    )


def test_what_is_shown_is_short_and_tells_nothing_of_the_body():
    assert len(short_fingerprint(fingerprint(*ONE))) == 12
