"""Readers of what others wrote, under typed near-misses and any bytes: a value, or a said error."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.entries import entry_fields
from threadramp.fleet.fleet_view import read_member
from threadramp.platform.documents import (
    DocumentError,
    is_address,
    read_configuration,
    read_empty_request,
    read_endpoint,
    read_weight_target,
)
from threadramp.platform.engine import read_report
from threadramp.platform.store_model import Item

REPORT = {"models": [{"name": "m", "version": 1}], "busy": False, "seq": 2, "born": 1700}
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)
READERS = {
    "endpoint": lambda value: read_endpoint("servers/i-1", value, 3),
    "configuration": read_configuration,
    "version": lambda value: read_weight_target(value, 3),
    "emptying": lambda value: read_empty_request("op/retire/b", value, 3),
    "member": lambda value: read_member(Item("member/b", value, 3)),
}


@pytest.mark.parametrize("read", READERS.values(), ids=READERS.keys())
@given(value=st.binary(max_size=64))
def test_any_bytes_are_read_or_said_to_be_unreadable(read, value):
    try:
        read(value)
    except DocumentError:
        return


@given(name=st.sampled_from(sorted(entry_fields("p", "10.0.0.1:80"))), value=VALUES)
def test_an_entry_with_one_field_of_another_writer_is_sound_or_none(name, value):
    spoiled = entry_fields("p", "10.0.0.1:80") | {name: value}
    try:
        found = read_endpoint("servers/i-1", msgspec.json.encode(spoiled), 3)
    except DocumentError:
        return
    assert found.slots > 0
    assert found.pool
    assert is_address(found.address)
    assert spoiled["state"] in ("ready", "draining")


@given(name=st.sampled_from(sorted(REPORT)), value=VALUES)
def test_a_report_with_one_spoiled_field_is_sound_or_none(name, value):
    try:
        found = read_report(msgspec.json.encode(REPORT | {name: value}))
    except ValueError:
        return
    assert found.orders >= 0
    assert isinstance(found.busy, bool)
    assert all(version >= 0 for version in found.versions.values())


@pytest.mark.parametrize("missing", ["models", "busy", "seq"])
def test_a_report_that_lacks_what_decides_is_none(missing):
    left = {name: value for name, value in REPORT.items() if name != missing}
    with pytest.raises(ValueError, match=missing):
        read_report(msgspec.json.encode(left))


@given(text=st.text(max_size=24))
def test_any_text_is_an_address_or_not(text):
    assert is_address(text) in (True, False)
