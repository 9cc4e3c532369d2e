"""What tells that other requests go on at an endpoint that broke one."""

from __future__ import annotations

import threading
import time

from threadramp.edge.connection_breaks import OTHERS_S, Breaking, Signs, timed_probe
from threadramp.edge.endpoint_probe import EndpointState
from threadramp.fleet.model import Start

START = Start("i-0", 1)


def signs(open_there, own: int = 0) -> Signs:
    return Signs(0.1, False, own, open_there)


def go_on(open_there, own: int = 0) -> bool:
    breaking = Breaking()
    seen = signs(open_there, own)
    with breaking.looked_at(START, seen):
        return breaking.others_go_on(START, seen)


def test_what_stays_open_goes_on():
    began = time.monotonic()
    assert go_on(lambda: 1)
    assert time.monotonic() - began >= OTHERS_S


def test_what_breaks_a_little_later_does_not():
    until = time.monotonic() + OTHERS_S / 2
    assert not go_on(lambda: int(time.monotonic() < until))


def test_requests_that_are_looked_at_themselves_do_not_count():
    """Streams are counted as open until their break is dealt with; all wait for each other."""
    breaking, found = Breaking(), []
    both = threading.Barrier(2)

    def broken() -> None:
        seen = signs(lambda: 2, own=1)
        with breaking.looked_at(START, seen):
            both.wait(5.0)
            found.append(breaking.others_go_on(START, seen))
            both.wait(5.0)

    threads = [threading.Thread(target=broken) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(5.0)
    assert found == [False, False]
    assert not breaking.looking and not breaking.counted


def test_one_that_is_answered_meanwhile_went_on():
    breaking = Breaking()
    breaking.note_answer(START)  # before there was a break
    seen = signs(lambda: 0)
    with breaking.looked_at(START, seen):
        assert not breaking.others_go_on(START, seen)
        breaking.note_answer(START)
        assert breaking.others_go_on(START, seen)
    assert not breaking.answered


def test_a_break_is_looked_at_twice_and_the_longer_look_counts():
    shown = [(0.0, EndpointState.BREAKS), (0.05, EndpointState.BREAKS)]

    def look(address: str) -> EndpointState:
        pause, state = shown.pop(0)
        time.sleep(pause)
        return state

    found = timed_probe("127.0.0.1:1", look)
    assert found.state is EndpointState.BREAKS
    assert found.took_s >= 0.05
    assert not shown


def test_what_listens_the_second_time_did_not_end():
    shown = [EndpointState.BREAKS, EndpointState.LISTENS]
    assert timed_probe("127.0.0.1:1", lambda address: shown.pop(0)).state is EndpointState.LISTENS
