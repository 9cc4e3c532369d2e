"""Keys in callers' headers: what is one, and that none goes on."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from urllib3 import HTTPHeaderDict

from threadramp.platform.headers import caller_key, sample_headers, stream_headers, to_endpoint

KEY = "8m82thhkmgjqnirth5mg"


@pytest.mark.parametrize(
    ("sent", "key"),
    [
        (f"Bearer {KEY}", KEY),
        (f"bearer {KEY}", KEY),
        (f"BEARER {KEY}", KEY),
        (f"Bearer   {KEY}", KEY),
        (f"Bearer {KEY}  ", KEY),
        (f"  Bearer {KEY}", KEY),
        ("Bearer a+b/c==", "a+b/c=="),
        ("", ""),
        (" ", ""),
        ("Bearer", ""),
        ("Bearer ", ""),
        (KEY, ""),
        (f"Basic {KEY}", ""),
        (f"Token {KEY}", ""),
        (f"Bearer:{KEY}", ""),
        (f"Bearer\t{KEY}", ""),
        (f"Bearer {KEY} {KEY}", ""),
        (f"Bearer {KEY}, Bearer {KEY}", ""),
        (f"Bearer other, Bearer {KEY}", ""),
        (f"Basic x, Bearer {KEY}", ""),
        (f"Bearer {KEY},", ""),
        (f"BearerBearer {KEY}", ""),
        (f'Bearer realm="x" {KEY}', ""),
        (f"Bearer {KEY}\x00", ""),
        (f"Bearer {KEY}\u00fc", ""),
    ],
)
def test_what_is_a_key(sent, key):
    assert caller_key(HTTPHeaderDict({"authorization": sent})) == key.encode()


def test_nothing_sent_is_told_from_no_key():
    assert caller_key(HTTPHeaderDict()) is None
    repeated = HTTPHeaderDict([("Authorization", "Bearer a"), ("authorization", "Bearer b")])
    assert caller_key(repeated) == b""


@given(st.text(st.characters(max_codepoint=255), max_size=60))
def test_any_bytes_are_a_key_or_none(sent):
    found = caller_key(HTTPHeaderDict({"Authorization": sent}))
    assert found == b"" or sent.strip(" ").lower().startswith("bearer ")
    assert not any(sign in found for sign in b" ,\t\r\n\0")


SPELLINGS = ["Authorization", "authorization", "AUTHORIZATION", "aUTHORIZATION ", "Authorization"]
NAMES = ["X-Tenant", "x-tenant", "X-TENANT", "X_Tenant", "x_tenant", "X-Tenant "]


@pytest.mark.parametrize(
    "name", [*SPELLINGS, "Proxy-Authorization", "X-Api-Key", "Cookie", "X-Key"]
)
@pytest.mark.parametrize("scheme", ["Bearer ", "bearer ", "", "Token ", "key="])
def test_a_key_never_goes_on(name, scheme):
    given_headers = [("Host", "h"), ("Authorization", f"Bearer {KEY}"), (name, f"{scheme}{KEY}")]
    for organisation in ("acme", ""):
        headers = to_endpoint(given_headers, 1.0, "i", organisation)
        assert KEY not in repr(headers)
        assert headers["Host"] == "h"


@pytest.mark.parametrize(
    "sent", ["Basic dXNlcjpwYXNz", "Digest x", "", "Bearer", f"Bearer {KEY},x"]
)
def test_other_credentials_stay_here_too(sent):
    headers = to_endpoint([("Host", "h"), ("Authorization", sent)], 1.0, "i", "acme")
    assert set(headers) == {"Host", "X-Tenant", "X-Deadline-Ms", "X-Expect-Instance"}


@pytest.mark.parametrize("name", NAMES)
@pytest.mark.parametrize(("organisation", "told"), [("acme", "acme"), ("", None)])
def test_what_a_caller_says_of_itself_never_stands(name, organisation, told):
    claimed = [(name, "victim"), (name.swapcase(), "other"), ("Host", "h")]
    for headers in (
        to_endpoint(claimed, 1.0, "i", organisation),
        stream_headers(claimed, 1.0, "i", 0, 1, organisation),
        sample_headers(claimed, "s", 1.0, "i", 0, 1, organisation),
    ):
        assert headers.get("X-Tenant") == told
        assert "victim" not in repr(headers)
        assert "other" not in repr(headers)


def test_a_short_key_takes_no_other_header_along():
    sent = [("Host", "a"), ("Authorization", "Bearer a"), ("X-Model", "alpha"), ("X-Odd", "a")]
    headers = to_endpoint(sent, 1.0, "i", "acme")
    assert (headers["Host"], headers["X-Model"]) == ("a", "alpha")
    assert "X-Odd" not in headers


def test_where_no_organisations_are_named_headers_pass_as_before():
    sent = [("Authorization", "Basic x"), ("X-Tenant", "mine")]
    headers = to_endpoint(sent, 1.0, "i")
    assert (headers["Authorization"], headers["X-Tenant"]) == ("Basic x", "mine")
