from __future__ import annotations

from threadramp.config.resources import DataCentre, Endpoint
from threadramp.core.membership import Member
from threadramp.policy.locality import prefer_region
from threadramp.wire.messages import EndpointReport

DATA_CENTRES = {
    "north-1": DataCentre("north"),
    "north-2": DataCentre("north"),
    "south-1": DataCentre("south"),
}


def member(name: str, data_centre: str, running: int = 0) -> Member:
    spec = Endpoint("pool", data_centre, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    report = EndpointReport(name, "i", 1, 0, False, 8, running, 0, 0, {})
    return Member(name, spec, report)


def names(members) -> list[str]:
    return [item.name for item in members]


def test_own_region_is_preferred_while_it_has_free_slots() -> None:
    members = [member("a", "north-2"), member("b", "south-1"), member("c", "north-1", 8)]
    assert names(prefer_region(members, "north-1", DATA_CENTRES)) == ["a", "c"]


def test_a_full_or_missing_region_falls_back_to_all() -> None:
    full = [member("a", "north-1", 8), member("b", "south-1")]
    assert names(prefer_region(full, "north-1", DATA_CENTRES)) == ["a", "b"]
    away = [member("b", "south-1"), member("d", "nowhere")]
    assert names(prefer_region(away, "north-1", DATA_CENTRES)) == ["b", "d"]


def test_a_gateway_in_an_undeclared_data_centre_prefers_no_region() -> None:
    members = [member("a", "north-1"), member("b", "south-1")]
    assert prefer_region(members, "elsewhere", DATA_CENTRES) == members
