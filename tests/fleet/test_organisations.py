"""Organisations and their keys, across configuration versions."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.fleet.organisations import FaultyRow, Organisation, Organisations, digest


def row(name: str, *keys: str, priority: int | None = None):
    found = Organisation(name, tuple(digest(key.encode()) for key in dict.fromkeys(keys)), priority)
    return digest(repr((name, keys, priority)).encode()), found


def holders(organisations: Organisations, keys) -> dict[str, str | None]:
    found = {key: organisations.holder(key.encode()) for key in keys}
    return {key: one and one.name for key, one in found.items()}


def test_a_key_finds_its_organisation_and_no_other_one():
    organisations = Organisations.from_rows([row("a", "k1", "k2"), row("b", "k3")])
    assert holders(organisations, ("k1", "k2", "k3", "k4", "")) == {
        "k1": "a", "k2": "a", "k3": "b", "k4": None, "": None,
    }  # fmt: skip
    assert organisations.faults == ()


def test_a_key_of_two_organisations_belongs_to_neither():
    organisations = Organisations.from_rows([row("a", "k1", "k2"), row("b", "k2", "k3")])
    assert holders(organisations, ("k1", "k2", "k3")) == {"k1": "a", "k2": None, "k3": "b"}
    assert any("a holds a key" in fault for fault in organisations.faults)


def test_keys_of_a_name_declared_twice_belong_to_nobody():
    """Whichever row was used, the other row's callers would be taken for another organisation."""
    organisations = Organisations.from_rows([row("a", "k1"), row("a", "k2"), row("b", "k3")])
    assert holders(organisations, ("k1", "k2", "k3")) == {"k1": None, "k2": None, "k3": "b"}
    assert organisations.faults == ("a stands twice",)


def test_the_same_row_twice_is_a_name_declared_twice():
    organisations = Organisations.from_rows([row("a", "k1"), row("a", "k1")])
    assert holders(organisations, ("k1",)) == {"k1": None}


def test_a_row_that_cannot_be_read_takes_nothing_from_the_others():
    rows = [row("a", "k1"), (b"x", FaultyRow("[1]", "Expected `str`"))]
    organisations = Organisations.from_rows(rows)
    assert holders(organisations, ("k1",)) == {"k1": "a"}
    assert organisations.faults == ("[1]: Expected `str`",)


def test_a_key_moves_from_one_organisation_to_another():
    before = Organisations.from_rows([row("a", "k1", "k2"), row("b", "k3")])
    after = Organisations.from_rows([row("a", "k1"), row("b", "k3", "k2")], before)
    assert holders(after, ("k1", "k2", "k3")) == {"k1": "a", "k2": "b", "k3": "b"}
    assert holders(before, ("k2",)) == {"k2": "a"}


def test_a_fault_that_is_mended_leaves_nothing_behind():
    before = Organisations.from_rows([row("a", "k1"), row("b", "k1")])
    after = Organisations.from_rows([row("a", "k1"), row("b", "k2")], before)
    assert holders(after, ("k1", "k2")) == {"k1": "a", "k2": "b"}
    assert after.faults == ()


tables = st.lists(
    st.tuples(st.sampled_from("abc"), st.lists(st.sampled_from("1234"), max_size=3)), max_size=5
)


@given(st.lists(tables, min_size=1, max_size=5))
def test_an_incremental_update_equals_a_full_rebuild(versions):
    organisations = None
    for table in versions:
        rows = [row(name, *keys) for name, keys in table]
        organisations = Organisations.from_rows(rows, organisations)
        anew = Organisations.from_rows(rows)
        assert holders(organisations, "1234") == holders(anew, "1234")
        assert organisations.faults == anew.faults
        assert organisations.by_name == anew.by_name
        for key, name in holders(organisations, "1234").items():
            claims = [other for other, keys in table if key in keys]
            assert name is None or set(claims) == {name}
