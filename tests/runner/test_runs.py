"""The run table of a sidecar."""

from __future__ import annotations

import pytest

from threadramp.core.lot_tracker import RunOutcome
from threadramp.lots.model import Sample
from threadramp.runner.runs import STALL_TIMEOUT_S, RunTable
from threadramp.wire.runner import RunOrder


def order(name: str, **fields) -> RunOrder:
    sample = Sample(name, "/p", (), b"", 100, "g", None, fields.pop("expected", 10))
    values = {
        "sample": sample,
        "host": "h",
        "min_version": 1,
        "one_version": False,
        "after": 0,
        "lineage": "",
        "new_lineage": f"chain of {name}",
        "due": 7.5,
        "give_up_in_s": 40.0,
    }
    return RunOrder(**{**values, **fields})


@pytest.fixture
def table(clock) -> RunTable:
    made = RunTable(clock.now)
    made.slots = 2
    made.accepting = True
    return made


def begin(table: RunTable, *orders: RunOrder) -> list:
    table.submit(orders)
    return [run for run in iter(table.next_start, None)]


def collect_updates(table: RunTable, **have: int):
    return table.collect(have, 0.0, lambda: True)


def test_samples_are_taken_while_there_is_room(table):
    taken = table.submit(tuple(order(name) for name in "abcdef"))
    assert list(taken) == ["a", "b", "c", "d"]  # two slots and two queued
    assert taken["a"] == "chain of a"


def test_an_engine_that_is_not_ready_accepts_and_starts_nothing(table):
    table.submit((order("a"),))
    table.accepting = False
    assert table.submit((order("b"),)) == {}
    assert table.next_start() is None


def test_a_sample_that_was_dropped_while_being_sent_is_not_retried(table, clock):
    """It was still retried, and began more than 3 s after the end of its lot (UNASKED)."""
    (run,) = begin(table, order("a"))
    table.drop({"a": 0}, let_finish=True)
    table.requeue(run, run.generation)  # the engine rejected it
    clock.at += 60.0
    assert table.next_start() is None
    assert run.outcome is RunOutcome.CUT


def test_while_a_model_is_loaded_samples_of_other_models_start(table):
    table.submit((order("a", model="m"), order("b", model="other")))
    table.loading_model = "m"
    assert [run.order.sample.id for run in iter(table.next_start, None)] == ["b"]
    assert table.submit((order("c", model="m"), order("d", model="other"))).keys() == {"d"}
    table.loading_model = ""
    assert table.next_start().order.sample.id == "a"


def test_the_lot_that_is_due_first_goes_first_and_of_it_the_longest_sample(table):
    table.submit((order("late", due=9.0), order("short"), order("long", expected=900)))
    assert [table.next_start().order.sample.id for _ in range(2)] == ["long", "short"]


def test_an_update_has_the_events_after_those_that_the_gateway_has(table):
    (run,) = begin(table, order("a"))
    table.add_event(run, run.generation, "x", 1)
    table.add_event(run, run.generation, "y", 2)
    (update,), unknown = collect_updates(table, a=1)
    assert (update.base, update.events, update.versions) == (1, ("y",), (2,))
    assert (update.outcome, unknown) == ("", [])
    table.finish(run, run.generation, RunOutcome.COMPLETE)
    (update,), _ = collect_updates(table, a=2)
    assert (update.events, update.outcome) == ((), "whole")


def test_samples_without_a_matching_run_are_unknown(table):
    begin(table, order("b", after=3, lineage="L"))
    assert collect_updates(table, a=0, b=2) == ([], ["a", "b"])


def test_a_cut_run_resumes_after_its_own_events(table):
    (run,) = begin(table, order("a"))
    table.add_event(run, run.generation, "x", 1)
    table.finish(run, run.generation, RunOutcome.CUT)
    taken = table.submit((order("a", after=1, lineage="chain of a"),))
    assert taken == {"a": "chain of a"}
    again = table.next_start()
    assert (again.base, again.event_count) == (0, 1)
    assert not table.add_event(again, again.generation - 1, "late", 1)  # of the previous thread


def test_a_sample_of_another_lineage_starts_over(table):
    (run,) = begin(table, order("a"))
    table.add_event(run, run.generation, "x", 1)
    taken = table.submit((order("a", after=1, lineage="another", new_lineage="new"),))
    assert taken == {"a": "new"}
    assert table.next_start().event_count == 1
    assert not table.add_event(run, run.generation, "y", 1)


def test_a_sample_whose_text_is_too_old_starts_over(table):
    (run,) = begin(table, order("a"))
    table.add_event(run, run.generation, "x", 1)
    table.submit((order("a", min_version=2, new_lineage="new"),))
    assert table.next_start().event_count == 0


def test_samples_of_an_ended_lot_may_finish_but_yield_their_slots(table):
    begin(table, order("a"), order("b"))
    table.drop({"a": 0, "b": 0}, let_finish=True)
    assert table.taken == 0
    (run,) = begin(table, order("c"))
    assert run.order.sample.id == "c"
    still_open = [name for name, one in table.runs.items() if one.is_open]
    assert len(still_open) == 2  # one of the unwanted was cut


def test_dropped_samples_return_their_last_events(table):
    (run,) = begin(table, order("a"))
    cancelled = []
    run.cancel = lambda: cancelled.append(True)
    table.add_event(run, run.generation, "x", 1)
    table.drop({"a": 0}, let_finish=False)
    (update,), _ = collect_updates(table, a=0)
    assert (update.events, update.outcome, cancelled) == (("x",), "cut", [True])


def test_samples_whose_gateway_is_unresponsive_are_cut(table, clock):
    begin(table, order("a"), order("b"))
    clock.at += 0.9
    collect_updates(table, a=0)
    clock.at += 0.2
    assert table.cut_abandoned() == ["b"]


def test_a_sample_that_the_engine_did_not_begin_waits_longer_each_time(table, clock):
    (run,) = begin(table, order("a"))
    pauses = []
    for _ in range(6):
        table.requeue(run, run.generation)
        assert table.next_start() is None
        pauses.append(round(run.not_before - clock.at, 2))
        clock.at = run.not_before
        assert table.next_start() is run
    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.8, 0.8]


def test_only_fresh_text_from_the_start_is_found(table):
    first, second = begin(table, order("a"), order("b", after=4, lineage="L"))
    table.add_event(first, first.generation, "x", 2)
    table.add_event(second, second.generation, "y", 2)
    assert table.find(("a", "b", "c"), 2) == {"a": 1}
    assert table.find(("a",), 3) == {}


def test_text_is_deleted_after_a_while(table, clock):
    (run,) = begin(table, order("a"))
    table.finish(run, run.generation, RunOutcome.COMPLETE)
    clock.at += 46.0
    table.submit(())
    assert table.runs == {}


def test_stalled_runs_are_restarted_after_their_last_event(table, clock):
    stalled, active = begin(table, order("a"), order("b"))
    closed = []
    stalled.cancel = lambda: closed.append("a")
    table.add_event(stalled, stalled.generation, "one", 1)
    clock.at += STALL_TIMEOUT_S + 0.1
    table.add_event(active, active.generation, "one", 1)
    before = stalled.generation
    assert table.restart_stalled() == ["a"]
    assert closed == ["a"]
    assert not table.add_event(stalled, before, "late", 1)  # of the previous thread
    assert not table.finish(stalled, before, RunOutcome.CUT)
    assert table.next_start() is stalled
    assert stalled.event_count == 1
    assert table.restart_stalled() == []


def test_a_stalled_run_whose_lot_has_ended_is_not_restarted(table, clock):
    """It would reach the engine after the end of its lot (UNASKED)."""
    (run,) = begin(table, order("a"))
    table.drop({"a": 0}, let_finish=True)
    clock.at += STALL_TIMEOUT_S + 0.1
    table.restart_stalled()
    assert run.outcome is RunOutcome.CUT
    assert table.next_start() is None


def test_the_thread_of_a_cut_run_does_not_end_its_resumed_sample(table):
    """A partial text counted as complete.

    A run is cut, which closes its connection, and its sample is submitted again and resumed. Only
    then does the previous thread read the end of the stream, which has no length and so looks
    complete. The sample was then whole with one event.
    """
    (run,) = begin(table, order("a"))
    generation = run.generation
    table.add_event(run, generation, "1", 1)
    table.drop({"a": 1}, let_finish=False)
    table.submit((order("a"),))
    assert run.is_open
    assert not table.add_event(run, generation, "2", 1)
    assert not table.finish(run, generation, RunOutcome.COMPLETE)
    assert run.is_open


def test_the_sample_that_must_start_earliest_goes_first(table):
    table.slots = 1
    begin(table, order("a"))
    table.submit((order("b", due=6.0, expected_s=0.5), order("c", due=7.0, expected_s=6.5)))
    run = table.runs["a"]
    table.finish(run, run.generation, RunOutcome.COMPLETE)
    assert table.next_start().order.sample.id == "c"


def test_a_waiting_sample_gives_its_place_to_one_that_must_start_much_earlier(table):
    """The queue of a sidecar was full of short samples of the lot that came first."""
    begin(table, order("a", expected_s=5.0), order("b", expected_s=5.0))
    table.submit((order("c", expected_s=0.5), order("d", expected_s=1.5)))
    assert table.submit((order("e", expected_s=5.0),)) == {"e": "chain of e"}
    assert table.runs["c"].outcome is RunOutcome.CUT  # its gateway sends it elsewhere
    assert table.runs["a"].is_open
    assert table.submit((order("f", expected_s=1.6),)) == {}  # the gain is too small


def test_an_order_without_an_expected_time_displaces_nothing(table):
    begin(table, order("a"), order("b"))
    table.submit((order("c", due=20.0), order("d", due=20.0)))
    assert table.submit((order("e", due=1.0),)) == {}


class TestRoutes:
    """Samples that wait here while the configuration changes."""

    # Guards against queued samples that begin at the old service after a change.
    def test_a_queued_sample_waits_until_its_gateway_confirms_it_by_the_newest_configuration(
        self, table
    ):
        table.submit((order("a", configuration_revision=5),))
        table.configuration_revision = 9  # as another gateway reported
        assert table.next_start() is None
        table.record_routes({"a": 0}, (), 5)  # its own gateway does not know the change yet
        assert table.next_start() is None
        table.record_routes({"a": 0}, (), 9)
        assert table.next_start().order.sample.id == "a"

    # Guards against a sample that is never sent elsewhere, although its route has moved.
    def test_a_rerouted_sample_is_returned_unless_the_engine_has_begun_it(self, table):
        table.slots = 1
        table.submit(tuple(order(name, configuration_revision=5) for name in "ab"))
        begun = table.next_start()
        table.record_routes({"a": 0, "b": 0}, ("a", "b"), 9)
        updates, _ = collect_updates(table, a=0, b=0)
        assert begun.is_open
        returned = {one.sample: one.outcome for one in updates}
        assert returned == {({"a", "b"} - {begun.order.sample.id}).pop(): "cut"}

    # Guards against a gateway that overrides a newer configuration by an older one.
    def test_an_order_by_an_older_configuration_is_refused(self, table):
        table.configuration_revision = 9
        orders = (order("a", configuration_revision=5), order("b", configuration_revision=9))
        assert list(table.submit(orders)) == ["b"]

    def test_an_order_that_names_no_configuration_starts(self, table):
        table.configuration_revision = 9
        assert len(begin(table, order("a"))) == 1

    # Guards against a begun sample that restarts at the old service after its connection stalled.
    def test_a_stalled_sample_does_not_restart_by_an_older_configuration(self, table, clock):
        begin(table, order("a", configuration_revision=5))
        clock.at += 2 * STALL_TIMEOUT_S
        table.configuration_revision = 9
        assert table.restart_stalled() == ["a"]
        assert table.next_start() is None


# Guards against a whole text that waits for a slot behind samples that have not begun.
def test_a_text_whose_end_is_unconfirmed_goes_first(table, clock):
    (late,) = begin(table, order("late", due=9.0))
    assert table.add_unconfirmed_end(late, late.generation) == 1
    table.requeue(late, late.generation)  # the engine rejected the request that confirms it
    clock.at += 1.0
    table.submit((order("soon", due=2.0),))
    assert table.next_start() is late


def test_unconfirmed_ends_count_behind_the_same_event_only(table):
    (run,) = begin(table, order("a"))
    assert [table.add_unconfirmed_end(run, run.generation) for _ in range(2)] == [1, 2]
    table.add_event(run, run.generation, "text", 1)
    assert table.add_unconfirmed_end(run, run.generation) == 1
    table.finish(run, run.generation, RunOutcome.CUT)
    assert table.add_unconfirmed_end(run, run.generation) == 0
    table.submit((order("a", after=1, lineage=run.lineage),))
    assert table.next_start() is run
    assert table.add_unconfirmed_end(run, run.generation - 1) == 0
    assert table.add_unconfirmed_end(run, run.generation) == 1


# Guards against a sample that is never run again, as its sidecar has a complete run without events.
def test_a_complete_run_without_events_is_not_reused(table):
    (run,) = begin(table, order("a"))
    table.finish(run, run.generation, RunOutcome.COMPLETE)
    assert table.submit((order("a"),)) == {"a": "chain of a"}
    assert table.next_start().order.sample.id == "a"
