"""A watch that hangs on a dead connection.

Guards against requests that reach endpoints more than 2 s after the store accepted that these
leave. Open connections may go dead without a reset while new ones work; a watch then waits up to
11 s for an answer that cannot come. When the store answers again, the watch must be abandoned, but
closing the library's connection pool closes only idle connections, not the one in use. Without the
fix, the second watch starts only when the first has timed out.
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
def proxy(store_address):
    made = Way(store_address)
    yield made
    made.close()


def test_a_watch_that_hangs_since_before_an_outage_is_given_up_when_the_store_answers(
    proxy, platform_store
):
    clock = Clock()
    health = StoreHealth(clock)
    mirror = Mirror("servers/", retains_expired=True)
    watcher = Watcher(mirror, StoreClient(proxy.address), health, clock, batches=False)
    watcher.start()
    wait_for(lambda: platform_store.counts["watches"] == 1, "the watch was sent")
    proxy.silence()
    health.record_failure(clock.now(), StoreUnknownError("unreachable"))
    health.record_answer(clock.now())
    time.sleep(AT_ONCE_S)
    watcher.stopped.set()
    assert platform_store.counts["watches"] == 2
