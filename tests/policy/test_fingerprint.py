"""Which requests have the same fingerprint."""

from __future__ import annotations

import pytest

from threadramp.policy.fingerprint import fingerprint, short_fingerprint

ONE = ("h.example", "POST", "/a/b?c=1", "caller one", b"body")


def test_a_repeated_request_has_the_same_fingerprint():
    assert fingerprint(*ONE) == fingerprint("H.example", *ONE[1:])


@pytest.mark.parametrize("place", range(5))
def test_another_host_method_path_caller_or_body_changes_the_fingerprint(place):
    other = list(ONE)
    other[place] += b"x" if place == 4 else "x"
    assert fingerprint(*other) != fingerprint(*ONE)


def test_the_boundary_between_path_and_body_counts():
    assert fingerprint("h", "POST", "/ab", "", b"c") != fingerprint("h", "POST", "/a", "", b"bc")


def test_a_body_cannot_imitate_another_caller():
    assert fingerprint("h", "GET", "/a", "", b"caller") != fingerprint(
        "h", "GET", "/a", "caller", b""
    )


def test_the_short_fingerprint_has_twelve_characters():
    assert len(short_fingerprint(fingerprint(*ONE))) == 12
