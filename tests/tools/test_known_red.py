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


def test_an_issue_that_is_not_a_number_is_an_error():
    with pytest.raises(ValueError, match="not a number"):
        known_red("a::b | why | soon")


def test_a_test_that_is_listed_twice_is_an_error():
    """The second entry would replace the first one's cause in the report."""
    with pytest.raises(ValueError, match="listed twice"):
        known_red("a::b | why | 2\na::b | another | 3")


def test_the_list_holds_every_open_fault():
    assert len(known_red("\n".join(f"t{n} | why | 2" for n in range(12)))) == 12


def test_only_tests_that_are_there_are_listed(request):
    """A name that matches nothing would hide that a test is gone."""
    for row in listed():
        file, _, name = row.test.partition("::")
        path = request.config.rootpath / file
        assert path.is_file()
        assert name.startswith("test_")
