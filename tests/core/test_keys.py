from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from threadramp.core.keys import Binding, EndpointResponse, KeyTable, Replay, Run, Wait
from threadramp.wire.outcomes import Outcome, Reason, Refusal

EXAMPLES = 150
WINDOW_S = 80.0  # an epoch is ten seconds
RESPONSE = EndpointResponse(200, "text/plain", b"done")


@pytest.fixture
def table() -> KeyTable:
    return KeyTable("bank-0", "inc-1", WINDOW_S, max_keys=3, max_responses=2, now=0.0)


def bind(key: str, incarnation: str = "inc-1", epoch: int = 0) -> Binding:
    return Binding(key, "bank", "bank-0", incarnation, epoch)


def test_key_runs_once_and_its_response_is_replayed(table: KeyTable) -> None:
    assert table.begin(bind("a"), "d", 0, 1.0) == Run()
    assert table.begin(bind("a"), "d", 0, 1.0) == Wait()
    table.finish("a", RESPONSE, keep=True)
    assert table.begin(bind("a"), "d", 0, 2.0) == Replay(RESPONSE)


def test_key_of_another_incarnation_is_never_run(table: KeyTable) -> None:
    decision = table.begin(bind("a", incarnation="inc-0"), "d", 0, 1.0)
    assert decision.reason is Reason.INCARNATION_GONE
    assert decision.outcome is Outcome.UNKNOWN


def test_key_with_another_body_is_refused(table: KeyTable) -> None:
    table.begin(bind("a"), "d", 0, 1.0)
    assert table.begin(bind("a"), "other", 0, 1.0).reason is Reason.KEY_REUSED


def test_key_past_its_window_is_refused_and_removed(table: KeyTable) -> None:
    table.begin(bind("a"), "d", 0, 1.0)
    table.finish("a", RESPONSE, keep=True)
    decision = table.begin(bind("a"), "d", 0, WINDOW_S + 1)
    assert isinstance(decision, Refusal)
    assert decision.reason is Reason.KEY_EXPIRED
    assert table.entries == {}


def test_refused_key_runs_only_for_a_request_that_shows_the_refusal(table: KeyTable) -> None:
    refusal = table.refuse(bind("a"), Reason.OVERLOADED, "full", 1.0)
    assert refusal.outcome is Outcome.NOT_RUN
    late = table.begin(bind("a"), "d", 0, 2.0)  # sent before the refusal
    assert late.reason is Reason.KEY_REFUSED
    older = table.begin(bind("a"), "d", refusal.number, 2.0)  # only the newest number counts
    assert older.reason is Reason.KEY_REFUSED
    assert table.begin(bind("a"), "d", older.number, 3.0) == Run()


def test_refusal_of_a_running_key_is_unknown(table: KeyTable) -> None:
    table.begin(bind("a"), "d", 0, 1.0)
    assert table.refuse(bind("a"), Reason.LEAVING, "leaving", 2.0).outcome is Outcome.UNKNOWN


def test_full_table_refuses_and_evicts_no_key_that_ran(table: KeyTable) -> None:
    for key in ("a", "b", "c"):
        table.begin(bind(key), "d", 0, 1.0)
        table.finish(key, RESPONSE, keep=True)
    refusal = table.begin(bind("x"), "d", 0, 2.0)
    assert (refusal.reason, refusal.outcome) == (Reason.KEYS_FULL, Outcome.NOT_RUN)
    oldest = table.begin(bind("a"), "d", 0, 2.0)
    assert oldest.reason is Reason.ANSWER_NOT_KEPT  # all keys are stored, but two responses
    assert oldest.outcome is Outcome.RAN


def test_evicted_refused_keys_stay_refused(table: KeyTable) -> None:
    for key in ("a", "b", "c"):
        table.refuse(bind(key), Reason.OVERLOADED, "full", 1.0)
    assert table.begin(bind("x"), "d", table.last_refusal_number, 2.0) == Run()
    assert table.begin(bind("a"), "d", 0, 2.0).outcome is Outcome.NOT_RUN


def test_refusal_of_an_expired_key_is_unknown(table: KeyTable) -> None:
    table.begin(bind("a"), "d", 0, 1.0)
    table.finish("a", RESPONSE, keep=True)
    table.begin(bind("b", epoch=8), "d", 0, WINDOW_S + 1)  # removes the first key
    refusal = table.refuse(bind("a"), Reason.LEAVING, "leaving", WINDOW_S + 2)
    assert (refusal.reason, refusal.outcome) == (Reason.KEY_EXPIRED, Outcome.UNKNOWN)


KEYS = st.sampled_from(["a", "b", "c", "d"])

key_events = st.lists(
    st.tuples(
        st.sampled_from(["send", "late send", "finish", "lose", "refuse", "withdraw", "restart"]),
        KEYS,
        st.floats(0, 15),
    ),
    max_size=60,
)


@given(key_events)
@settings(max_examples=EXAMPLES, deadline=None)
def test_a_key_runs_at_most_once_and_not_run_stays_true(events) -> None:
    now = 0.0
    incarnation = 0
    table = KeyTable("e", "0", 80.0, max_keys=3, max_responses=1, now=now)
    bindings: dict[str, Binding] = {}
    runs: dict[str, int] = {}
    running: set[str] = set()
    refusals: dict[str, int] = {}
    for kind, key, step in events:
        now += step
        binding = bindings.setdefault(
            key, Binding(key, "p", "e", str(incarnation), table.epoch(now))
        )
        if kind == "restart":
            incarnation += 1
            table = KeyTable("e", str(incarnation), 80.0, max_keys=3, max_responses=1, now=now)
            running.clear()
        elif kind in ("send", "late send"):
            number = refusals.get(key, 0) if kind == "send" else 0
            decision = table.begin(binding, "d", number, now)
            if isinstance(decision, Run):
                assert kind == "send" or key not in refusals  # sent before the refusal: never runs
                runs[key] = runs.get(key, 0) + 1
                running.add(key)
                refusals.pop(key, None)
            elif isinstance(decision, Replay):
                assert runs[key] == 1
            elif isinstance(decision, Refusal) and decision.outcome is Outcome.NOT_RUN:
                assert runs.get(key, 0) == 0
                refusals[key] = decision.number
        elif kind == "finish" and key in running:
            table.finish(key, RESPONSE, keep=True)
            running.discard(key)
        elif kind == "lose" and key in running:
            table.finish(key, None, keep=False)
            running.discard(key)
        elif kind == "withdraw" and key in running:
            refusal = table.withdraw(binding, Reason.DEADLINE, "late", now)
            runs[key] -= 1  # no byte of it was sent
            running.discard(key)
            refusals[key] = refusal.number
        elif kind == "refuse" and binding.incarnation == str(incarnation):
            refusal = table.refuse(binding, Reason.OVERLOADED, "full", now)
            if refusal.outcome is Outcome.NOT_RUN:
                assert runs.get(key, 0) == 0
                refusals[key] = refusal.number
        assert max(runs.values(), default=0) <= 1
        assert len(table.entries) <= 3
