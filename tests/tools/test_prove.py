"""The proofs' own verdict: only the named test's failure counts as noticing a missing mechanism."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from tools.prove import COPIED, is_noticed
from tools.removals import REMOVALS

ROOT = Path(__file__).parents[2]
FAILED = "FAILED tests/scenarios/test_leaving.py::test_x - AssertionError\n1 failed in 3 s"
NOT_COLLECTED = "ERROR tests/serve/test_deploy.py - FileNotFoundError\n1 error in 1 s"


def _packages_that_tests_import() -> set[str]:
    """Return the folders of this tree from which any test imports; one that lacks ends them all."""
    lines = [
        line.split()
        for path in (ROOT / "tests").rglob("*.py")
        for line in path.read_text(encoding="utf-8").splitlines()
        if line.startswith(("from ", "import "))
    ]
    named = {words[1].partition(".")[0] for words in lines if len(words) > 1}
    return {name for name in named if (ROOT / name).is_dir()}


def _lines(pattern: str) -> list[str]:
    paths = (ROOT / "tests").rglob(pattern)
    return [line for path in paths for line in path.read_text(encoding="utf-8").splitlines()]


def _functions() -> set[str]:
    return {line.partition("(")[0] for line in _lines("*.py") if line.startswith("def test_")}


def _scenarios() -> set[str]:
    """Return the names that pytest-bdd gives to the scenarios of the feature files."""
    titles = [line.partition(":")[2] for line in _lines("*.feature") if "Scenario" in line]
    return {re.sub(r"\W+", "_", title.strip()).lower() for title in titles}


def test_a_failed_test_is_noticed():
    assert is_noticed(1, FAILED)


@pytest.mark.parametrize(
    ("code", "output"),
    [(0, "1 passed"), (1, NOT_COLLECTED), (2, NOT_COLLECTED), (5, "no tests ran"), (1, "")],
)
def test_whatever_else_ends_a_run_is_not(code, output):
    assert not is_noticed(code, output)


def test_what_is_copied_holds_what_the_tests_read():
    assert {"deploy", "requirements.txt", "requirements.lock"} <= set(COPIED)
    assert all(name in COPIED for name in _packages_that_tests_import())
    assert all((ROOT / name).exists() for name in COPIED)


def test_what_is_taken_out_stands_in_the_source():
    """A mechanism that was written anew elsewhere would no longer be shown to be noticed."""
    edits = [edit for removal in REMOVALS for edit in removal.edits]
    counts = {edit.old: (ROOT / edit.path).read_text("utf-8").count(edit.old) for edit in edits}
    assert {old: count for old, count in counts.items() if count != 1} == {}


def test_the_test_that_should_notice_a_removal_exists():
    """A proof whose test was renamed selects no test, so that nothing can notice it."""
    names = _functions() | _scenarios()
    assert [one.test for one in REMOVALS if not any(one.test in name for name in names)] == []
