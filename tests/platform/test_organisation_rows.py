"""Organisations as the configuration writes them: strict, and no key in any words."""

from __future__ import annotations

import json

import pytest

from threadramp.fleet.organisations import Organisations
from threadramp.platform.documents import DocumentError, read_configuration

SECRET = "8m82thhkmgjqnirth5mg"
SOUND = {"name": "acme", "apiKeys": [SECRET, "other-key-0123"], "priority": 1}


def read(tenants, before=None):
    table = {"version": 1, "routes": [], "backends": [], "tenants": tenants}
    return read_configuration(json.dumps(table).encode(), before)


def test_a_sound_row_is_read():
    organisations = read([SOUND]).organisations
    assert organisations.holder(SECRET.encode()).name == "acme"
    assert organisations.by_name["acme"].priority == 1
    assert organisations.faults == ()


def test_without_organisations_none_are_in_force_and_with_an_empty_list_some_are():
    assert read_configuration(b'{"version":1}').organisations is None
    assert read([]).organisations == Organisations()


@pytest.mark.parametrize(
    "row",
    [
        {},
        {"name": "", "apiKeys": [SECRET]},
        {"name": 7, "apiKeys": [SECRET]},
        {"name": None, "apiKeys": [SECRET]},
        {"name": "two\nlines", "apiKeys": [SECRET]},
        {"name": " blank", "apiKeys": [SECRET]},
        {"name": "blank ", "apiKeys": [SECRET]},
        {"name": "ümlaut", "apiKeys": [SECRET]},
        {"name": "x" * 201, "apiKeys": [SECRET]},
        {"name": "bad", "apiKeys": SECRET},
        {"name": "bad", "apiKeys": {SECRET: 1}},
        {"name": "bad", "apiKeys": None},
        {"name": "bad", "apiKeys": [SECRET, ""]},
        {"name": "bad", "apiKeys": [SECRET, 5]},
        {"name": "bad", "apiKeys": [SECRET, None]},
        {"name": "bad", "apiKeys": [f" {SECRET}"]},
        {"name": "bad", "apiKeys": [f"{SECRET} "]},
        {"name": "bad", "apiKeys": [f"{SECRET}\n"]},
        {"name": "bad", "apiKeys": [SECRET], "priority": "1"},
        {"name": "bad", "apiKeys": [SECRET], "priority": -1},
        {"name": "bad", "apiKeys": [SECRET], "priority": 1.5},
        {"name": "bad", "apiKeys": [SECRET], "priority": True},
        [],
        "bad",
        None,
        7,
    ],
)
def test_a_row_that_is_not_whole_names_nobody_and_the_others_stand(row):
    organisations = read([row, {"name": "sound", "apiKeys": ["a-sound-key"]}]).organisations
    assert organisations.holder(SECRET.encode()) is None
    assert organisations.holder(b"a-sound-key").name == "sound"
    assert len(organisations.faults) == 1
    assert organisations.faults[0].startswith("[0]: ")
    assert SECRET not in organisations.faults[0]


@pytest.mark.parametrize("tenants", [{}, "acme", 7, True])
def test_no_list_of_organisations_spoils_the_document(tenants):
    """What was in force before stays in force then, as with any document that cannot be read."""
    with pytest.raises(DocumentError) as error:
        read(tenants)
    assert SECRET not in str(error.value)


def test_rows_that_did_not_change_are_taken_over():
    other = {"name": "other", "apiKeys": ["its-key"]}
    before = read([SOUND, other])
    after = read([SOUND, {**other, "apiKeys": ["its-next-key"]}], before)
    assert after.organisations.by_name["acme"] is before.organisations.by_name["acme"]
    assert after.organisations.holder(b"its-key") is None
    assert after.organisations.holder(b"its-next-key").name == "other"


def test_nothing_that_is_kept_holds_a_key():
    assert SECRET not in repr(read([SOUND]))
