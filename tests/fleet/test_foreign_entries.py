"""Invalid entries from other writers add no endpoint, hide none, and are logged once."""

from __future__ import annotations

import msgspec
import pytest

from tests.entries import entry, entry_fields
from threadramp.fleet import decode_cache as decode_cache_module
from threadramp.fleet import fleet_view as fleet_view_module
from threadramp.fleet.fleet_view import FleetView
from threadramp.platform.store_model import Changes, Item, Listing, Removal

ADDRESS = "10.0.0.1:80"
VALID = entry("i-1", ADDRESS, 4)
OTHER = entry("i-2", "10.0.0.2:80", 4)
INVALID_FIELDS = {
    "no state": {"state": None},
    "unknown state": {"state": "fine"},
    "state of another type": {"state": 1},
    "no slots": {"slots": None},
    "slots negative": {"slots": -1},
    "zero slots": {"slots": 0},
    "too many slots": {"slots": 10**12},
    "slots as text": {"slots": "6"},
    "address without port": {"address": "10.0.0.1"},
    "host name as address": {"address": "engine.example:80"},
    "port out of range": {"address": "10.0.0.1:70000"},
    "no pool": {"backend": None},
    "pool with an empty name": {"backend": ""},
    "no data centre": {"zone": None},
    "no version": {"version": None},
    "version of another type": {"version": 3},
    "no count": {"seq": None},
    "count of another type": {"seq": "4"},
    "no cold time": {"coldMs": None},
    "start time as text": {"born": "1700000000000"},
    "start time as a fraction": {"born": 1700000000000.5},
    "start time as a boolean": {"born": True},
    "negative start time": {"born": -5},
}


def changed_entry(key: str, revision: int, fields: dict) -> Item:
    """Return an entry at the valid one's address with changed fields; none removes a field."""
    whole = entry_fields("p", ADDRESS) | fields
    present = {name: value for name, value in whole.items() if value is not None}
    return Item(f"servers/{key}", msgspec.json.encode(present), revision)


@pytest.fixture
def fleet_view() -> FleetView:
    made = FleetView()
    made.endpoints.replace(Listing((VALID, OTHER), 4), 0.0)
    return made


@pytest.fixture
def logged(monkeypatch) -> list[str]:
    rows: list[str] = []
    for module in (fleet_view_module, decode_cache_module):
        monkeypatch.setattr(module, "log_state", lambda what, **fields: rows.append(what))
    return rows


def add(fleet_view: FleetView, item: Item) -> None:
    fleet_view.endpoints.apply(Changes((item,), (), item.revision), 0.0)


@pytest.mark.parametrize("fields", INVALID_FIELDS.values(), ids=INVALID_FIELDS.keys())
def test_an_invalid_entry_adds_and_hides_no_endpoint(fleet_view, fields):
    add(fleet_view, changed_entry("x", 9, fields))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-1", "i-2"]
    assert fleet_view.snapshot.at_address(ADDRESS).instance == "i-1"


@pytest.mark.parametrize("value", [b"", b"{", b"\xff\xfe", b"[]", b"null", b"7", b"[" * 100_000])
def test_undecodable_bytes_add_no_endpoint(fleet_view, value):
    add(fleet_view, Item("servers/x", value, 9))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-1", "i-2"]


@pytest.mark.parametrize("key", ["", "a b", "a\r\nHost: b", "i-\u00e9"])
def test_an_id_that_no_header_can_carry_adds_no_endpoint(fleet_view, key):
    add(fleet_view, changed_entry(key, 9, {}))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-1", "i-2"]


def test_an_entry_of_an_undeclared_pool_counts_once_the_pool_is_declared(fleet_view):
    pool = {"name": "p"}
    first = Item("op/config", msgspec.json.encode({"version": 1, "backends": [pool]}), 5)
    fleet_view.operator.replace(Listing((first,), 5), 0.0)
    add(fleet_view, changed_entry("x", 9, {"backend": "q", "address": ADDRESS}))
    assert fleet_view.snapshot.at_address(ADDRESS).instance == "i-1"
    both = {"version": 2, "backends": [pool, {"name": "q"}]}
    second = Item("op/config", msgspec.json.encode(both), 10)
    fleet_view.operator.apply(Changes((second,), (), 10), 0.0)
    assert fleet_view.snapshot.at_address(ADDRESS).instance == "x"


def test_an_unreadable_entry_is_logged_once_for_each_revision(fleet_view, logged):
    counted = []
    fleet_view.decode_cache.on_unreadable = counted.append
    add(fleet_view, changed_entry("x", 9, {"state": "fine"}))
    add(fleet_view, entry("i-3", "10.0.0.3:80", 10))
    add(fleet_view, entry("i-4", "10.0.0.4:80", 11))
    assert logged.count("endpoint_unreadable") == 1
    add(fleet_view, changed_entry("x", 12, {"state": "fine"}))
    assert logged.count("endpoint_unreadable") == 2
    assert counted == ["endpoint", "endpoint"]
    assert fleet_view.decode_cache.unreadable["servers/x"].revision == 12


def test_an_entry_that_becomes_unreadable_removes_its_endpoint(fleet_view):
    add(fleet_view, changed_entry("i-1", 9, {"slots": "many"}))
    assert sorted(fleet_view.snapshot.endpoints) == ["i-2"]


def test_an_outage_does_not_restore_the_last_readable_entry(fleet_view):
    add(fleet_view, changed_entry("i-1", 9, {"slots": "many"}))
    fleet_view.endpoints.distrust_removals(12.5)
    fleet_view.endpoints.apply(Changes((), (Removal("servers/i-1", 10),), 10), 10.0)
    assert sorted(fleet_view.snapshot.endpoints) == ["i-2"]
    fleet_view.endpoints.expire(13.0)
    assert sorted(fleet_view.snapshot.endpoints) == ["i-2"]


def test_a_published_version_that_becomes_unreadable_stays_as_it_was(fleet_view):
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
def test_an_invalid_member_entry_is_ignored(fleet_view, value):
    fleet_view.members.replace(Listing((Item("member/s", value, 5),), 5), 0.0)
    assert fleet_view.snapshot.members == {}
