"""A watch that hangs on a connection which passes nothing any more.

Seen: requests reached endpoints more than 2 s after the store had taken that they leave. How it
came about: open connections may go silent without a reset, while new ones work. The watch then
waits for an answer that cannot come, up to 11 s, and what it would have brought is not known here.
Cause, one half: when the store answers again the watch was to be given up, but closing the
library's pool closes only connections that rest in it, not the one that a call waits on. Proof:
without the mend the second watch begins when the first has timed out.
"""

from __future__ import annotations

import time

import pytest

from tests.serve.fleet import wait_for
from tests.serve.way import Way
from threadramp.fleet.clock import Clock
from threadramp.fleet.mirror import Mirror
from threadramp.fleet.store_health import StoreHealth
from threadramp.fleet.watcher import Watcher
from threadramp.platform.store import StoreClient
from threadramp.platform.store_model import StoreUnknownError

AT_ONCE_S = 1.0


@pytest.fixture
def way(store_address):
    made = Way(store_address)
    yield made
    made.close()


def test_a_watch_that_hangs_since_before_an_outage_is_given_up_when_the_store_answers(
    way, platform_store
):
    clock = Clock()
    health = StoreHealth(clock)
    mirror = Mirror("servers/", holds_lapsed=True)
    watcher = Watcher(mirror, StoreClient(way.address), health, clock, batches=False)
    watcher.start()
    wait_for(lambda: platform_store.counts["watches"] == 1, "it watches")
    way.silence()
    health.record_failure(clock.now(), StoreUnknownError("away"))
    health.record_answer(clock.now())
    time.sleep(AT_ONCE_S)
    watcher.stopped.set()
    assert platform_store.counts["watches"] == 2
