"""Commands that change what is declared, against a stand-in of the operator's client."""

from __future__ import annotations

from typing import Any

import pytest
from cleo.testers.application_tester import ApplicationTester

from threadramp.cli.api import ClientCommand, ExitCode
from threadramp.cli.main import build_application

HELD = {"revision": 7, "spec": {"weight": 1, "drain": False}}


class Operator:
    """Holds one resource at revision 7 and notes what is asked."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def get(self, kind: str, name: str) -> dict[str, Any]:
        return HELD

    def put(self, kind: str, name: str, spec: dict[str, Any], revision: int) -> int:
        self.calls.append(("put", kind, name, spec, revision))
        return 8

    def delete(self, kind: str, name: str, revision: int) -> int:
        self.calls.append(("delete", kind, name, revision))
        return 8


@pytest.fixture
def operator(monkeypatch) -> Operator:
    made = Operator()
    monkeypatch.setattr(ClientCommand, "operator", lambda self: made)
    return made


def run(line: str) -> tuple[int, str]:
    tester = ApplicationTester(build_application())
    code = tester.execute(line)
    return code, tester.io.fetch_output().strip()


def test_fields_are_changed_at_the_revision_that_was_read(operator):
    assert run("edit pool models weight=2") == (ExitCode.OK, "pool/models: revision 7 -> 8")
    assert operator.calls == [("put", "pool", "models", {"weight": 2, "drain": False}, 7)]


def test_a_named_revision_goes_before_the_one_that_was_read(operator):
    assert run("edit pool models weight=2 --revision 5")[0] == ExitCode.OK
    assert run("delete pool models --revision 6")[0] == ExitCode.OK
    assert [call[-1] for call in operator.calls] == [5, 6]


def test_a_resource_is_deleted_at_the_revision_that_was_read(operator):
    answer = run("delete pool models")
    assert answer == (ExitCode.OK, "pool/models: revision 7 -> 8 (deleted)")
    assert operator.calls == [("delete", "pool", "models", 7)]


@pytest.mark.parametrize("line", ["edit pool models weight=2 -r x", "delete pool models -r x"])
def test_what_is_no_revision_changes_nothing(operator, line):
    assert run(line)[0] == ExitCode.FINDINGS
    assert operator.calls == []


def test_a_drain_keeps_the_other_fields(operator):
    assert run("drain bank-0")[0] == ExitCode.OK
    assert operator.calls == [("put", "endpoint", "bank-0", {"weight": 1, "drain": True}, 7)]
