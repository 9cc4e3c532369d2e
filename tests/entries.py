"""What endpoints write of themselves, whole, for tests that spoil or change a part of it."""

from __future__ import annotations

import msgspec

from threadramp.platform.store_model import Item


def entry_fields(pool: str, address: str, **fields) -> dict:
    """Return all that a sound endpoint writes; ``fields`` change or add some."""
    whole = {
        "backend": pool, "address": address, "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "coldMs": 0, "seq": 4,
    }  # fmt: skip
    return {**whole, **fields}


def entry(instance: str, address: str, revision: int, pool: str = "p", **fields) -> Item:
    """Return the item of an endpoint's entry."""
    value = msgspec.json.encode(entry_fields(pool, address, **fields))
    return Item(f"servers/{instance}", value, revision)
