"""The command that makes a key for an organisation's callers."""

from __future__ import annotations

from cleo.testers.application_tester import ApplicationTester

from threadramp.cli.main import build_application
from threadramp.fleet.organisations import digest


def make() -> tuple[str, str]:
    tester = ApplicationTester(build_application())
    assert tester.execute("organisation key") == 0
    first, second = tester.io.fetch_output().splitlines()
    return first.rpartition(": ")[2], second


def test_a_key_is_printed_once_with_the_digest_that_documents_name():
    key, line = make()
    assert len(key) >= 32
    assert line == f'key_digests = ["{digest(key.encode()).hex()}"]'


def test_no_two_keys_are_alike():
    assert len({make()[0] for _ in range(20)}) == 20
