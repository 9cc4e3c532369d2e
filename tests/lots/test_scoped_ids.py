"""Scoped ids of the lots and samples of several organisations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.lots.scoped_ids import is_valid_id, scoped_id, unscoped_id

names = st.text(min_size=1, max_size=120)
ids = st.text(max_size=20).filter(is_valid_id)


@given(names, ids, names, ids)
def test_no_two_organisations_share_an_id(first, first_id, second, second_id):
    same = scoped_id(first, first_id) == scoped_id(second, second_id)
    assert same == ((first, first_id) == (second, second_id))
    assert scoped_id(first, first_id) != scoped_id("", second_id)


@given(names, ids)
def test_the_callers_id_is_restored(organisation, given_id):
    assert unscoped_id(scoped_id(organisation, given_id)) == given_id
    assert unscoped_id(scoped_id(None, given_id)) == given_id


def test_a_scoped_id_fits_into_a_key_of_the_store():
    assert len(scoped_id("ü" * 200, "")) < 60
