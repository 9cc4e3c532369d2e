from __future__ import annotations

import threading

import pytest

from threadramp.core.chain import ConfigurationChain
from threadramp.core.head import HEAD_KEY, MAX_HEAD_CHANGES, Head
from threadramp.gateway.configuration import Configuration, Edit
from threadramp.platform.kv import KvUnavailableError, KvValue, KvWrite
from threadramp.wire.outcomes import Outcome, Reason, RefusedError


class FakeKv:
    """A key-value service in memory that can lose answers."""

    def __init__(self) -> None:
        self.data: dict[str, KvValue] = {}
        self.lose = 0
        self.out = False

    def get(self, key: str) -> KvValue:
        if self.out:
            raise KvUnavailableError("out")
        return self.data.get(key, KvValue(b"", 0))

    def swap(self, key: str, expected: int, value: bytes, lease: str = "") -> KvWrite:
        held = self.get(key)
        if held.version != expected:
            return KvWrite(False, held)
        self.data[key] = KvValue(value, held.version + 1)
        if self.lose:
            self.lose -= 1
            raise KvUnavailableError("lost")
        return KvWrite(True, self.data[key])


@pytest.fixture
def kv() -> FakeKv:
    return FakeKv()


def gateway(kv: FakeKv) -> Configuration:
    return Configuration(ConfigurationChain(), kv, lambda: None, threading.RLock())


def rank(made: Configuration, number: int, expected: int | None = None) -> int:
    edit = Edit(f"change-{number}", "priority", f"p{number % 7}", {"rank": number}, expected)
    return made.edit(edit).revision


def test_new_gateway_learns_all_changes_from_head_and_snapshot(kv: FakeKv) -> None:
    first = gateway(kv)
    for number in range(3 * MAX_HEAD_CHANGES):
        assert rank(first, number) == number + 1
    second = gateway(kv)
    second.take_head(kv.get(HEAD_KEY))
    assert second.chain.snapshot() == first.chain.snapshot()
    assert len(Head.from_bytes(kv.get(HEAD_KEY).value).changes) <= MAX_HEAD_CHANGES


def test_gateway_that_learned_by_snapshot_writes_a_whole_head(kv: FakeKv) -> None:
    first = gateway(kv)
    for number in range(10):
        rank(first, number)
    second = gateway(kv)
    second.apply((), first.chain.snapshot())  # from a sidecar, so it has no log of changes
    assert rank(second, 10) == 11
    third = gateway(kv)
    third.take_head(kv.get(HEAD_KEY))
    assert third.chain.snapshot() == second.chain.snapshot()


def test_lost_answer_is_settled_and_the_change_accepted_once(kv: FakeKv) -> None:
    first = gateway(kv)
    rank(first, 0)
    kv.lose = 1
    assert rank(first, 1) == 2
    kv.lose = 2
    assert rank(first, 2) == 3
    assert first.chain.revision == 3


def test_unknown_outcome_is_called_so_and_can_be_asked_for(kv: FakeKv) -> None:
    first = gateway(kv)
    rank(first, 0)
    original = kv.swap

    def swap(key: str, expected: int, value: bytes, lease: str = "") -> KvWrite:
        original(key, expected, value, lease)
        kv.out = True
        raise KvUnavailableError("lost")

    kv.swap = swap
    with pytest.raises(RefusedError) as caught:
        rank(first, 1)
    assert caught.value.refusal.outcome is Outcome.UNKNOWN
    kv.out = False
    first.take_head(kv.get(HEAD_KEY))
    assert first.find_change("change-1").revision == 2


def test_loser_of_a_race_is_told_the_current_revision(kv: FakeKv) -> None:
    first = gateway(kv)
    second = gateway(kv)
    rank(first, 0, expected=0)
    with pytest.raises(RefusedError) as caught:
        rank(second, 0 + 7, expected=0)
    assert caught.value.refusal.reason is Reason.CONFLICT
    assert "revision 1" in caught.value.refusal.message


def test_service_restored_from_an_older_copy_is_noticed_and_mended(kv: FakeKv) -> None:
    first = gateway(kv)
    for number in range(3):
        rank(first, number)
    copy = dict(kv.data)
    for number in range(3, 6):
        rank(first, number)
    kv.data = copy
    assert rank(first, 6) == 7
    assert first.regressed
    second = gateway(kv)
    second.take_head(kv.get(HEAD_KEY))
    assert second.chain.snapshot() == first.chain.snapshot()


def test_head_of_an_older_copy_is_never_taken(kv: FakeKv) -> None:
    first = gateway(kv)
    rank(first, 0)
    old = kv.get(HEAD_KEY)
    rank(first, 1)
    first.take_head(old)
    assert (first.chain.revision, first.stale_reads) == (2, 1)


def test_change_that_is_accepted_meanwhile_is_not_overwritten(kv: FakeKv) -> None:
    first = gateway(kv)
    second = gateway(kv)
    for number in range(MAX_HEAD_CHANGES):
        rank(first, number)
    original = kv.swap

    def swap(key: str, expected: int, value: bytes, lease: str = "") -> KvWrite:
        if key != HEAD_KEY:  # while the first writes its snapshot, the second's change is accepted
            kv.swap = original
            rank(second, 500)
            first.take_head(kv.get(HEAD_KEY))
        return original(key, expected, value, lease)

    kv.swap = swap
    rank(first, 501)
    third = gateway(kv)
    third.take_head(kv.get(HEAD_KEY))
    ids = [change.change_id for change in third.chain.log]
    assert ids[-2:] == ["change-500", "change-501"]
    assert third.chain.revision == MAX_HEAD_CHANGES + 2
