"""Calls that reach a sidecar before the configuration change under which they were sent.

Seen: of 30 transfers that followed a change of their pool, the first one ended with an unknown
outcome though it had run. A gateway accepts a change, sends calls under it at once, and tells its
sidecars by the next heartbeat. Cause: a sidecar that received a call of a newer revision than its
own decided on it by the older one. Proof: with the heartbeats held up for half a second the first
transfer fails in each run, and without a delay it fails in none.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from tools.fleet import EndpointPlan

from tests.scenarios.test_second_answers import forwarded
from tests.scenarios.world import BANK
from tests.serve.tcp_proxy import TcpProxy
from tests.stuttering import LATE, Stutterer

if TYPE_CHECKING:
    import socket

    from tests.scenarios.world import World

SERVICE = "bank-0"
HELD_S = 0.5


class SlowWay(TcpProxy):
    """Passes bytes on after a delay.

    :ivar delay_s: of each piece, in both directions
    """

    delay_s = 0.0

    def _wait_while_held(self, source: socket.socket, piece: bytes) -> None:
        time.sleep(self.delay_s)


def test_a_call_right_after_a_change_is_decided_by_the_changed_configuration(
    world: World,
) -> None:
    """A sidecar that lagged behind its gateway took a sound answer for another request's."""
    fleet = world.fleet
    endpoint = Stutterer(forwarded(lambda: fleet.addresses[SERVICE]), LATE)
    fleet.platform()
    fleet.gateways(1, sync_timeout_s=3.0)
    own = {"endpoint_address": endpoint.address}
    fleet.endpoint(EndpointPlan(SERVICE, BANK, "service", sidecar=own))
    heartbeats = SlowWay(fleet.addresses[f"sync-{SERVICE}"])
    fleet.addresses[f"sync-{SERVICE}"] = heartbeats.address
    fleet.wait_ready()
    fleet.cli("apply", str(fleet.document({}, {})))
    fleet.wait_in_service({})
    heartbeats.delay_s = HELD_S
    fleet.operator().put("pool", BANK, {"type": "service", "echoes_request_id": False})
    result = fleet.caller().call_once(BANK, "/transfers", {"id": "t0"})
    heartbeats.delay_s = 0.0
    heartbeats.close()
    endpoint.close()
    assert result.json()["id"] == "t0"
    assert set(fleet.record(SERVICE)["runs"].values()) == {1}
