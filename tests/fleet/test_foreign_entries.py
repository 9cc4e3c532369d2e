"""What another writer put among the entries names nobody, hides nobody, and is told once."""

from __future__ import annotations

import msgspec
import pytest

from tests.entries import entry, entry_fields
from threadramp.fleet import decode_cache as decode_cache_module
from threadramp.fleet import fleet_view as fleet_view_module
from threadramp.fleet.fleet_view import FleetView
from threadramp.platform.store_model import Changes, Item, Listing, Removal

PLACE = "10.0.0.1:80"
TRUE = entry("i-1", PLACE, 4)
OTHER = entry("i-2", "10.0.0.2:80", 4)
SPOILED = {
    "no state": {"state": None},
    "unknown state": {"state": "fine"},
    "state of another type": {"state": 1},
    "no slots": {"slots": None},
    "slots negative": {"slots": -1},
    "no slot at all": {"slots": 0},
    "slots absurd": {"slots": 10**12},
    "slots as text": {"slots": "6"},
    "address without port": {"address": "10.0.0.1"},
    "address by name": {"address": "engine.example:80"},
    "port beyond all": {"address": "10.0.0.1:70000"},
    "no pool": {"backend": None},
    "pool of no name": {"backend": ""},
    "no data centre": {"zone": None},
    "no version": {"version": None},
    "version of another type": {"version": 3},
    "no count": {"seq": None},
    "count of another type": {"seq": "4"},
    "cold time missing": {"coldMs": None},
    "birth as text": {"born": "1700000000000"},
    "birth as a fraction": {"born": 1700000000000.5},
    "birth as a truth": {"born": True},
    "birth before all time": {"born": -5},
}


def spoiled(key: str, revision: int, fields: dict) -> Item:
    """Return an entry at the true one's address with fields changed; none takes a field away."""
    whole = entry_fields("p", PLACE) | fields
    left = {name: value for name, value in whole.items() if value is not None}
    return Item(f"servers/{key}", msgspec.json.encode(left), revision)


@pytest.fixture
def fleet_view() -> FleetView:
    made = FleetView()
    made.endpoints.replace(Listing((TRUE, OTHER), 4), 0.0)
    return made


@pytest.fixture
def told(monkeypatch) -> list[str]:
    rows: list[str] = []
    for module in (fleet_view_module, decode_cache_module):
        monkeypatch.setattr(module, "log_state", lambda what, **fields: rows.append(what))
    return rows


def add(fleet_view: FleetView, item: Item) -> None:
    fleet_view.endpoints.apply(Changes((item,), (), item.revision), 0.0)


@pytest.mark.parametrize("fields", SPOILED.values(), ids=SPOILED.keys())
def test_it_names_nobody_and_hides_nobody(fleet_view, fields):
    add(fleet_view, spoiled("x", 9, fields))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-1", "i-2"]
    assert fleet_view.snapshot.at_address(PLACE).instance == "i-1"


@pytest.mark.parametrize("value", [b"", b"{", b"\xff\xfe", b"[]", b"null", b"7", b"[" * 100_000])
def test_bytes_that_say_nothing_name_nobody(fleet_view, value):
    add(fleet_view, Item("servers/x", value, 9))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-1", "i-2"]


@pytest.mark.parametrize("key", ["", "a b", "a\r\nHost: b", "i-\u00e9"])
def test_an_id_that_no_header_can_carry_names_nobody(fleet_view, key):
    add(fleet_view, spoiled(key, 9, {}))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-1", "i-2"]


def test_a_pool_that_is_not_declared_names_nobody_until_it_is(fleet_view):
    pool = {"name": "p"}
    first = Item("op/config", msgspec.json.encode({"version": 1, "backends": [pool]}), 5)
    fleet_view.operator.replace(Listing((first,), 5), 0.0)
    add(fleet_view, spoiled("x", 9, {"backend": "q", "address": PLACE}))
    assert fleet_view.snapshot.at_address(PLACE).instance == "i-1"
    both = {"version": 2, "backends": [pool, {"name": "q"}]}
    second = Item("op/config", msgspec.json.encode(both), 10)
    fleet_view.operator.apply(Changes((second,), (), 10), 0.0)
    assert fleet_view.snapshot.at_address(PLACE).instance == "x"


def test_it_is_told_once_for_each_revision(fleet_view, told):
    counted = []
    fleet_view.decode_cache.on_unreadable = counted.append
    add(fleet_view, spoiled("x", 9, {"state": "fine"}))
    add(fleet_view, entry("i-3", "10.0.0.3:80", 10))
    add(fleet_view, entry("i-4", "10.0.0.4:80", 11))
    assert told.count("endpoint_unreadable") == 1
    add(fleet_view, spoiled("x", 12, {"state": "fine"}))
    assert told.count("endpoint_unreadable") == 2
    assert counted == ["endpoint", "endpoint"]
    assert fleet_view.decode_cache.unreadable["servers/x"].revision == 12


def test_an_own_entry_that_becomes_unreadable_names_nobody_from_then_on(fleet_view):
    add(fleet_view, spoiled("i-1", 9, {"slots": "many"}))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-2"]


def test_nor_does_an_outage_bring_what_was_read_before_back(fleet_view):
    add(fleet_view, spoiled("i-1", 9, {"slots": "many"}))
    fleet_view.endpoints.disturbed(12.5)
    fleet_view.endpoints.apply(Changes((), (Removal("servers/i-1", 10),), 10), 10.0)
    assert sorted(fleet_view.snapshot.endpoints) == ["i-2"]
    fleet_view.endpoints.expire(13.0)
    assert sorted(fleet_view.snapshot.endpoints) == ["i-2"]


def test_a_named_version_that_becomes_unreadable_stays_as_it_was(fleet_view):
    good = Item("op/version/m", b'{"model":"m","version":5}', 5)
    fleet_view.operator.replace(Listing((good,), 5), 0.0)
    for revision, value in ((6, b"{"), (7, b'{"model":"m","version":"6"}'), (8, b'{"version":6}')):
        item = Item("op/version/m", value, revision)
        fleet_view.operator.apply(Changes((item,), (), revision), 0.0)
        assert fleet_view.snapshot.newest_version("m") == 5


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x90",
        msgspec.msgpack.encode(["s", "sidecar", "1", "no address", "a", ""]),
        msgspec.msgpack.encode(["s", "owner", "1", "a:1", "a", ""]),
        msgspec.msgpack.encode(["other", "sidecar", "1", "a:1", "a", ""]),
    ],
)
def test_a_member_that_cannot_be_asked_is_none(fleet_view, value):
    fleet_view.members.replace(Listing((Item("member/s", value, 5),), 5), 0.0)
    assert fleet_view.snapshot.members == {}
