"""Which organisation holds a key, by the declared resources of the product's own gateways."""

from __future__ import annotations

from threadramp.core.chain import ConfigurationChain
from threadramp.fleet.organisations import digest
from threadramp.gateway.organisation_keys import OrganisationKeys
from threadramp.wire.messages import Change


def declared(revision: int, name: str, *keys: str) -> Change:
    spec = {"key_digests": [digest(key.encode()).hex() for key in keys]}
    return Change(revision, f"change-{revision}", "organisation", name, spec)


def test_holders_follow_the_declared_resources():
    chain = ConfigurationChain()
    keys = OrganisationKeys(chain)
    assert keys.holder(b"k1") is None
    chain.apply([declared(1, "acme", "k1", "k2"), declared(2, "rival", "k3")])
    assert [keys.holder(one) for one in (b"k1", b"k2", b"k3", b"")] == [
        "acme", "acme", "rival", None,
    ]  # fmt: skip
    chain.apply([declared(3, "acme", "k2")])
    assert keys.holder(b"k1") is None


def test_a_key_of_two_is_nobodys():
    chain = ConfigurationChain()
    chain.apply([declared(1, "acme", "k1"), declared(2, "rival", "k1")])
    assert OrganisationKeys(chain).holder(b"k1") is None
