"""Whose a lot is when gateways come and go."""

from __future__ import annotations

from threadramp.fleet.picture import Member
from threadramp.lots.audit import heir_of, is_look_due
from threadramp.lots.model import KeptHead, LotHead


def kept(owner: str, lot_id: str = "lot") -> KeptHead:
    head = LotHead(owner, "old", 0.0, 7.5, 40.0, 3, False, 1, 1, 0, 0, False, "")
    return KeptHead(lot_id, head, 1)


def live(*names: str) -> dict[str, Member]:
    return {name: Member(name, "gateway", "new", f"{name}:1", "a", "") for name in names}


def test_a_lot_goes_to_the_next_process_on_its_owners_box():
    assert heir_of(kept("g1"), live("g0", "g1", "g2")) == "g1"


def test_all_gateways_agree_on_the_heir_of_a_lot_whose_owner_is_gone():
    heirs = {heir_of(kept("gone"), live(*names)) for names in (["g0", "g1"], ["g1", "g0"])}
    assert len(heirs) == 1


def test_the_lots_of_a_gateway_that_is_gone_are_spread():
    heirs = {heir_of(kept("gone", f"lot{n}"), live("g0", "g1", "g2")) for n in range(30)}
    assert heirs == {"g0", "g1", "g2"}


def test_lots_are_looked_through_when_a_gateway_is_gone_not_when_one_is_new():
    one, other, again = ("g1", "a"), ("g2", "a"), ("g2", "b")
    assert not is_look_due(frozenset(), frozenset({one}))
    assert not is_look_due(frozenset({one}), frozenset({one, other}))
    assert is_look_due(frozenset({one, other}), frozenset({one}))
    assert is_look_due(frozenset({one, other}), frozenset({one, again}))  # its lots are its own
