"""Which organisation holds a key, by the declared resources."""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.fleet.organisations import digest

if TYPE_CHECKING:
    from threadramp.core.chain import ConfigurationChain


class OrganisationKeys:
    """Finds holders by the digests of keys, worked out once for each revision."""

    def __init__(self, chain: ConfigurationChain) -> None:
        self.chain = chain
        self.revision = -1
        self.holders: dict[str, str] = {}

    def holder(self, key: bytes) -> str | None:
        """Return the organisation that holds a key; none if nobody does, or more than one."""
        if self.revision != self.chain.revision:
            self._read()
        return self.holders.get(digest(key).hex())

    def _read(self) -> None:
        revision = self.chain.revision
        found: dict[str, str] = {}
        shared = set()
        for name, spec in self.chain.of_kind("organisation").items():
            for one in spec.key_digests:
                if found.setdefault(one, name) != name:
                    shared.add(one)
        self.holders = {one: name for one, name in found.items() if one not in shared}
        self.revision = revision


__all__ = ["OrganisationKeys"]
