"""What makes a request refused, what clears it, and that merging does not depend on the order."""

from __future__ import annotations

import random

import msgspec
import pytest

from threadramp.fleet.model import Incarnation
from threadramp.policy.crash_tracker import (
    MAX_CRASHES_PER_REQUEST,
    MAX_SUSPECTS,
    NO_SUSPICION,
    OWED_DELAYS_S,
    RETENTION_S,
    TRIAL_DELAYS_S,
    CrashTracker,
    SuspicionLevel,
)
from threadramp.wire.crashes import Crash, CrashNews, Suspect

NOW = 1_700_000_000.0
ONE = b"one-request-0000"
OTHER = b"other-request-00"


def start(number: int) -> Incarnation:
    return Incarnation(f"i-{number}", 1)


def crashed(count: int, fingerprint: bytes = ONE, at: float = NOW) -> CrashTracker:
    tracker = CrashTracker()
    for number in range(count):
        tracker.record_crash(fingerprint, start(number), at)
    return tracker


@pytest.mark.parametrize(
    ("count", "level"),
    [(0, "free"), (1, "suspected"), (2, "apart"), (3, "refused"), (7, "refused")],
)
def test_the_level_follows_the_number_of_crashed_incarnations(count, level):
    assert crashed(count).assess(ONE, NOW).level is SuspicionLevel(level)
    assert crashed(count).assess(OTHER, NOW) == NO_SUSPICION


def test_a_crash_that_is_reported_repeatedly_counts_once():
    tracker = crashed(1)
    for _ in range(5):
        tracker.record_crash(ONE, start(0), NOW + 0.1)
    assert tracker.assess(ONE, NOW).crashes == 1


def test_a_successful_answer_clears_a_request_and_later_crashes_count_from_one():
    tracker = crashed(3)
    assert tracker.record_success(ONE, NOW + 1)
    assert tracker.assess(ONE, NOW + 1).level is SuspicionLevel.NONE
    assert not tracker.record_success(ONE, NOW + 2)
    tracker.record_crash(ONE, start(9), NOW + 3)
    assert tracker.assess(ONE, NOW + 3).crashes == 1


def test_a_later_answer_disproves_a_crash():
    """A box refused connections while its link was cut, and answers once the link is back."""
    tracker = crashed(3)
    assert not tracker.record_answer(start(2), NOW + 1.0)  # may have been sent before the crash
    assert tracker.record_answer(start(2), NOW + 3.0)
    assert tracker.assess(ONE, NOW + 3.0).level is SuspicionLevel.ISOLATED
    repeated = CrashNews((Suspect(ONE, (Crash(start(2), NOW),), seen_at=NOW),))
    tracker.merge(repeated, NOW + 4.0)
    assert tracker.assess(ONE, NOW + 4.0).level is SuspicionLevel.ISOLATED


def test_trials_follow_their_delays_and_then_stop():
    tracker = crashed(3)
    now = NOW
    for number, pause in enumerate(TRIAL_DELAYS_S, 1):
        assert tracker.assess(ONE, now + pause - 0.1).trial == 0
        assessment = tracker.assess(ONE, now + pause)
        assert (assessment.level, assessment.trial) == (SuspicionLevel.REFUSED, number)
        now += pause
        tracker.record_trial(ONE, number, now)
        tracker.record_crash(ONE, start(10 + number), now)
    for later in range(0, 500, 10):
        tracker.record_repeat(ONE, now + later)
        assert tracker.assess(ONE, now + later).trial == 0


def test_a_refusal_never_allows_an_immediate_retry():
    """Another box may make the trial that is due."""
    for later in (0.0, 2.5, 3.0, 30.0, 500.0):
        assert crashed(3).assess(ONE, NOW + later).retry_after_s >= 1.0


def test_a_request_is_refused_while_it_repeats_and_expires_afterwards():
    tracker = crashed(3)
    for number in range(1, 3):
        tracker.record_trial(ONE, number, NOW)
    for number in range(8):
        later = NOW + (number + 1) * RETENTION_S * 0.6
        assert tracker.assess(ONE, later).level is SuspicionLevel.REFUSED
        tracker.record_repeat(ONE, later)
    assert tracker.assess(ONE, later + RETENTION_S + 1) == NO_SUSPICION
    tracker.expire(later + RETENTION_S + 1)
    assert tracker.is_empty


def test_merging_in_any_order_and_twice_gives_the_same_result():
    """Three boxes merge the same partial updates twice, each in an order of its own."""
    rng = random.Random(5)
    for _ in range(200):
        parts = []
        for _ in range(6):
            tracker = CrashTracker()
            for _ in range(rng.randrange(4)):
                at = NOW + rng.randrange(20)
                which = rng.choice((ONE, OTHER))
                tracker.record_crash(which, start(rng.randrange(6)), at)
                if rng.random() < 0.3:
                    tracker.record_success(which, at + rng.randrange(5))
            parts.append(tracker.take_updates())
        trackers = [CrashTracker() for _ in range(3)]
        for tracker in trackers:
            rows = parts * 2
            rng.shuffle(rows)
            for part in rows:
                tracker.merge(part, NOW + 30)
        found = {
            tuple(tracker.assess(key, NOW + 30) for key in (ONE, OTHER)) for tracker in trackers
        }
        assert len(found) == 1


def test_an_update_is_sent_once_and_only_by_the_box_that_saw_it():
    calls = []
    tracker = CrashTracker(on_update=lambda: calls.append(1))
    tracker.record_crash(ONE, start(0), NOW)
    assert [one.fingerprint for one in tracker.take_updates().suspects] == [ONE]
    assert calls and not tracker.take_updates()
    tracker.merge(crashed(3, OTHER).take_updates(), NOW)
    assert not tracker.take_updates()  # the box that saw it sends it


def test_only_own_suspects_near_isolation_are_persisted():
    tracker = crashed(2)
    tracker.record_crash(OTHER, start(0), NOW)
    tracker.merge(crashed(3, b"third-request-00").take_updates(), NOW)
    assert [one.fingerprint for one in tracker.records_to_persist().suspects] == [ONE]
    again = CrashTracker()
    again.merge(tracker.records_to_persist(), NOW)
    assert not again.records_to_persist()
    again.restore_own(tracker.records_to_persist())
    assert [one.fingerprint for one in again.records_to_persist().suspects] == [ONE]


def test_memory_is_bounded_and_the_suspects_with_most_crashes_stay():
    tracker = crashed(3)
    for number in range(MAX_SUSPECTS * 2):
        tracker.record_crash(number.to_bytes(16, "big"), start(number), NOW)
    for number in range(50):
        tracker.record_crash(ONE, start(number), NOW + number)
    assert len(tracker.suspects) == MAX_SUSPECTS
    assert len(tracker.suspects[ONE].crashes) == MAX_CRASHES_PER_REQUEST
    assert tracker.assess(ONE, NOW + 50).level is SuspicionLevel.REFUSED


@pytest.mark.parametrize("far", [NOW + 1e9, float("inf"), float("nan"), -1.0])
def test_invalid_times_do_not_prolong_a_suspicion(far):
    """Such times come from another writer or from a clock that jumped."""
    tracker = CrashTracker()
    invalid = Suspect(ONE, tuple(Crash(start(n), far) for n in range(3)), 0.0, 10**9, far)
    tracker.merge(CrashNews((invalid,)), NOW)
    assert tracker.assess(ONE, NOW + RETENTION_S + 10.0) == NO_SUSPICION


def test_updates_survive_encoding():
    updates = crashed(2).take_updates()
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(updates), type=CrashNews) == updates


def test_owed_work_is_delayed_after_its_third_crash_and_never_refused():
    tracker = CrashTracker()
    for number, delay_s in enumerate((0.0, 0.0, *OWED_DELAYS_S, OWED_DELAYS_S[-1])):
        tracker.record_crash(ONE, start(number), NOW + number, owed=True)
        assessment = tracker.assess(ONE, NOW + number)
        assert (assessment.retry_after_s, assessment.trial) == (delay_s, 0)
        assert assessment.level is not SuspicionLevel.REFUSED
        assert not tracker.assess(ONE, NOW + number + delay_s).is_held


def test_owed_work_never_displaces_the_record_of_a_call():
    """A burst of crashes under samples would end the refusal of a call that crashes endpoints."""
    tracker = crashed(1)
    tracker.record_crash(OTHER, start(0), NOW)
    tracker.record_crash(OTHER, start(1), NOW)
    for number in range(MAX_SUSPECTS + 10):
        for crash in range(3):
            tracker.record_crash(number.to_bytes(16, "big"), start(crash), NOW, owed=True)
    assert tracker.assess(ONE, NOW).crashes == 1
    assert OTHER in {one.fingerprint for one in tracker.records_to_persist().suspects}


def test_a_record_of_owed_work_stays_owed_in_any_order_of_updates():
    """A process that has only the confirmation of a crash does not know whose work it was."""
    known = CrashTracker()
    for number in range(3):
        known.record_crash(ONE, start(number), NOW, owed=True)
    confirmed = Suspect(ONE, (Crash(start(3), NOW),), seen_at=NOW)
    updates = [known.take_updates(), CrashNews((confirmed,))]
    for parts in (updates, updates[::-1]):
        tracker = CrashTracker()
        for part in parts:
            tracker.merge(part, NOW)
        assert tracker.assess(ONE, NOW).level is SuspicionLevel.ISOLATED
