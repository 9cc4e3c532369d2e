"""Whether other requests are still active at an endpoint that broke a connection."""

from __future__ import annotations

import threading
import time

from threadramp.edge.connection_breaks import (
    OTHERS_WAIT_S,
    BrokenExchange,
    PendingBreaks,
    timed_probe,
)
from threadramp.edge.endpoint_probe import EndpointState
from threadramp.fleet.model import Incarnation

START = Incarnation("i-0", 1)


def make_break(count_open, own_open: int = 0) -> BrokenExchange:
    return BrokenExchange(0.1, False, own_open, count_open)


def others_active(count_open, own_open: int = 0) -> bool:
    pending_breaks = PendingBreaks()
    break_seen = make_break(count_open, own_open)
    with pending_breaks.probing(START, break_seen):
        return pending_breaks.others_still_active(START, break_seen)


def test_requests_that_stay_open_are_still_active():
    started_at = time.monotonic()
    assert others_active(lambda: 1)
    assert time.monotonic() - started_at >= OTHERS_WAIT_S


def test_requests_that_break_a_little_later_are_not_active():
    break_at = time.monotonic() + OTHERS_WAIT_S / 2
    assert not others_active(lambda: int(time.monotonic() < break_at))


def test_requests_whose_endpoint_is_being_probed_do_not_count():
    """Streams count as open until their break is handled; broken ones waited for each other."""
    pending_breaks, found = PendingBreaks(), []
    both = threading.Barrier(2)

    def broken() -> None:
        break_seen = make_break(lambda: 2, own_open=1)
        with pending_breaks.probing(START, break_seen):
            both.wait(5.0)
            found.append(pending_breaks.others_still_active(START, break_seen))
            both.wait(5.0)

    threads = [threading.Thread(target=broken) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(5.0)
    assert found == [False, False]
    assert not pending_breaks.pending and not pending_breaks.pending_open


def test_a_response_during_the_probe_shows_that_others_are_active():
    pending_breaks = PendingBreaks()
    pending_breaks.record_response(START)  # before there was a break
    break_seen = make_break(lambda: 0)
    with pending_breaks.probing(START, break_seen):
        assert not pending_breaks.others_still_active(START, break_seen)
        pending_breaks.record_response(START)
        assert pending_breaks.others_still_active(START, break_seen)
    assert not pending_breaks.responded


def test_a_break_is_probed_twice_and_the_longer_duration_counts():
    shown = [(0.0, EndpointState.BREAKS), (0.05, EndpointState.BREAKS)]

    def probe(address: str) -> EndpointState:
        pause, state = shown.pop(0)
        time.sleep(pause)
        return state

    found = timed_probe("127.0.0.1:1", probe)
    assert found.state is EndpointState.BREAKS
    assert found.took_s >= 0.05
    assert not shown


def test_an_endpoint_that_listens_on_the_second_probe_has_not_crashed():
    shown = [EndpointState.BREAKS, EndpointState.LISTENS]
    assert timed_probe("127.0.0.1:1", lambda address: shown.pop(0)).state is EndpointState.LISTENS
