from __future__ import annotations

from dataclasses import replace

import pytest

from threadramp.config.resources import Endpoint
from threadramp.core.membership import Membership
from threadramp.wire.messages import EndpointReport

SPEC = Endpoint("pool", "dc", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
REPORT = EndpointReport("e", "i", 1, 0, False, 8, 0, 0, 0, {})


@pytest.fixture
def membership() -> Membership:
    made = Membership()
    made.declare({"e": SPEC})
    made.record_report("e", REPORT, now=10.0)
    return made


def is_available(membership: Membership, oldest: float = 0.0) -> bool:
    return membership.of_pool("pool", oldest)[0].is_available


def test_endpoint_is_available_once_it_is_declared_and_has_reported(membership: Membership) -> None:
    assert is_available(membership)
    unheard = Membership()
    unheard.declare({"e": SPEC})
    assert not is_available(unheard)


def test_box_list_declaration_or_report_alone_marks_as_leaving(membership: Membership) -> None:
    membership.set_leaving_boxes(frozenset({"127.0.0.1"}))
    assert not is_available(membership)
    membership.set_leaving_boxes(frozenset())
    membership.declare({"e": replace(SPEC, drain=True)})
    assert not is_available(membership)
    membership.declare({"e": SPEC})
    leaving = EndpointReport("e", "i", 1, 0, True, 8, 0, 0, 0, {})
    membership.record_report("e", leaving, now=11.0)
    assert not is_available(membership)


def test_missed_heartbeats_and_old_reports_make_unavailable(membership: Membership) -> None:
    assert not is_available(membership, oldest=10.5)
    membership.record_missed_heartbeat("e")
    assert is_available(membership)
    membership.record_missed_heartbeat("e")
    assert not is_available(membership)
    membership.record_report("e", REPORT, now=12.0)
    assert is_available(membership)


def test_endpoint_with_a_new_address_must_report_again(membership: Membership) -> None:
    membership.declare({"e": replace(SPEC, sidecar_sync="127.0.0.1:9")})
    assert not is_available(membership)
