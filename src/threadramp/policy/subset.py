"""Selects the endpoints that a gateway sends heartbeats to, and those of a trainer's steps."""

from __future__ import annotations

from math import ceil
from random import Random
from typing import TYPE_CHECKING

from threadramp.policy.routing import rendezvous

if TYPE_CHECKING:
    from collections.abc import Sequence

SMALL_POOL = 32  # up to this size every gateway talks to every endpoint
SHARD_MARGIN = 1.5  # size of a trainer's shard, relative to an equal share


def gateway_subset(names: Sequence[str], index: int, count: int, coverage: int) -> list[str]:
    """Return the endpoints of one pool that gateway ``index`` of ``count`` sends heartbeats to.

    In each of ``coverage`` rounds the endpoints are shuffled, seeded with the round's number, and
    divided into ``count`` equal parts. Each endpoint so receives heartbeats from about ``coverage``
    gateways, and each gateway has the same number of endpoints.
    """
    ordered = sorted(names)
    if len(ordered) <= SMALL_POOL or count <= coverage:
        return ordered
    chosen: set[str] = set()
    for round_number in range(coverage):
        shuffled = list(ordered)
        Random(round_number).shuffle(shuffled)
        chosen.update(shuffled[index % count :: count])
    return sorted(chosen)


def trainer_shard(trainer: str, names: Sequence[str], trainers: int) -> list[str]:
    """Return the endpoints on which a trainer's steps run; every gateway computes the same."""
    if len(names) <= SMALL_POOL:
        return sorted(names)
    share = ceil(SHARD_MARGIN * len(names) / max(1, trainers))
    return rendezvous(trainer, sorted(names))[: max(SMALL_POOL, share)]


__all__ = ["gateway_subset", "trainer_shard"]
