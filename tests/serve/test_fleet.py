"""The fleet that these tests use: what its start waits for."""

from __future__ import annotations

from tests.serve.fleet import PlatformFleet, wait_for


def test_a_gateway_that_starts_late_does_not_keep_the_fleet_from_starting(tmp_path, serve):
    """The start counted the key of the duties' holder as a member and waited until it timed out."""
    fleet = PlatformFleet(tmp_path, serve, gateways=2, engines=1, window_s=2.0)
    late = fleet.gateways[1]
    start = late.start

    def start_late() -> None:
        wait_for(lambda: fleet.keys("member/.duties"), "a box holds the duties")
        start()

    late.start = start_late
    fleet.boxes.sort(key=lambda box: box is late)
    try:
        fleet.start()
        assert {"member/front-0", "member/front-1", "member/side-0"} <= set(fleet.keys("member/"))
    finally:
        fleet.close()
