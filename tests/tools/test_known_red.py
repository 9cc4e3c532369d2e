"""The list of tests that are known to fail."""

from __future__ import annotations

import pytest
from tools.known_red import KnownRed, known_red, listed


def test_a_line_names_test_cause_and_issue():
    assert known_red("# head\n\na::b | why | 2\n") == [KnownRed("a::b", "why", "2")]


@pytest.mark.parametrize("text", ["a::b", "a::b | why", "a::b | | 2", "x | y | z | 1"])
def test_a_line_without_cause_or_issue_is_an_error(text):
    with pytest.raises(ValueError, match="are needed"):
        known_red(text)


def test_more_than_a_few_are_an_error():
    with pytest.raises(ValueError, match="at most 3"):
        known_red("\n".join(f"t{n} | why | 2" for n in range(4)))


def test_only_tests_that_are_there_are_listed(request):
    """A name that matches nothing would hide that a test is gone."""
    for row in listed():
        file, _, name = row.test.partition("::")
        path = request.config.rootpath / file
        assert path.is_file()
        assert name.startswith("test_")
