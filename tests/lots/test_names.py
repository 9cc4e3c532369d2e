"""Names of lots and samples of several organisations."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from threadramp.lots.names import given_name, is_sound, kept_name

names = st.text(min_size=1, max_size=120)
ids = st.text(max_size=20).filter(is_sound)


@given(names, ids, names, ids)
def test_no_two_organisations_share_a_name(one, its, other, others):
    same = kept_name(one, its) == kept_name(other, others)
    assert same == ((one, its) == (other, others))
    assert kept_name(one, its) != kept_name("", others)


@given(names, ids)
def test_the_callers_id_comes_back(organisation, given_id):
    assert given_name(kept_name(organisation, given_id)) == given_id
    assert given_name(kept_name(None, given_id)) == given_id


def test_a_name_fits_into_a_key_of_the_store():
    assert len(kept_name("ü" * 200, "")) < 60
