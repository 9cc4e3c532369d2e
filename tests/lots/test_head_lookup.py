"""Which gateway reads the head of a lot that several gateways are asked for."""

from __future__ import annotations

import msgspec
import pytest

from tests.lots.test_end_notices import HEAD, Gateway, LocalClient, tracker_of
from threadramp.lots.remote_lots import LotUnknownError
from threadramp.policy.routing import rendezvous

NAMES = [f"g{n}" for n in range(8)]
RESPONSIBLE = rendezvous("lot", NAMES)[0]
FAR = msgspec.structs.replace(HEAD, owner="far")


@pytest.fixture
def client() -> LocalClient:
    return LocalClient()


@pytest.fixture
def fleet(client, clock, store_address) -> dict[str, Gateway]:
    made = {name: Gateway(name, client, clock, store_address) for name in NAMES}
    for gateway in made.values():
        gateway.know(*NAMES)
    return made


@pytest.fixture
def reader(fleet) -> Gateway:
    return next(gateway for name, gateway in fleet.items() if name != RESPONSIBLE)


def found_by(gateway: Gateway):
    return gateway.reader.remote_lots._cached_lot("lot").stored


def test_a_data_centre_reads_a_head_once(fleet, platform_store):
    """Each of its gateways read it itself: calls grew with gateways times lots."""
    stored = fleet["g0"].journal.create(tracker_of("abc").lot, FAR)
    before = platform_store.counts["reads"]
    assert all(found_by(gateway) == stored for gateway in fleet.values())
    assert platform_store.counts["reads"] - before == 1


def test_a_head_is_read_here_if_the_responsible_gateway_does_not_answer(fleet, reader, client):
    stored = fleet["g0"].journal.create(tracker_of("abc").lot, FAR)
    client.silent.add(f"{RESPONSIBLE}:1")
    assert found_by(reader) == stored


def test_only_the_store_says_that_there_is_no_such_lot(fleet, reader, platform_store):
    """The answer of the responsible gateway may be older than the lot."""
    before = platform_store.counts["reads"]
    with pytest.raises(LotUnknownError):
        found_by(reader)
    assert platform_store.counts["reads"] - before == 2


def test_a_lot_that_the_responsible_gateway_runs_needs_no_read(fleet, reader, platform_store):
    responsible = fleet[RESPONSIBLE]
    owned = responsible.own()
    before = platform_store.counts["reads"]
    assert found_by(reader) == owned.stored
    assert platform_store.counts["reads"] == before
