"""Selects the endpoint for a call."""

from __future__ import annotations

from hashlib import blake2b
from math import inf, log
from typing import TYPE_CHECKING

from threadramp.config.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence
    from random import Random

    from threadramp.core.membership import Member

ROUTINGS: Registry[type[Routing]] = Registry()


class Routing:
    """Base of the routing policies.

    :param random: a seeded source
    """

    def __init__(self, random: Random) -> None:
        self.random = random

    def choose(self, candidates: Sequence[Member], outstanding: dict[str, int]) -> Member:
        """Return one of the candidates, of which there is at least one.

        :param outstanding: number of open calls of this gateway, by endpoint
        """
        raise NotImplementedError


@ROUTINGS.register("round_robin")
class RoundRobin(Routing):
    """Uses each endpoint in turn."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self.turn = 0

    def choose(self, candidates: Sequence[Member], outstanding: dict[str, int]) -> Member:
        """Return the candidate whose turn it is."""
        self.turn += 1
        return candidates[self.turn % len(candidates)]


@ROUTINGS.register("two_choice")
class TwoChoice(Routing):
    """Uses the less loaded of two random endpoints, by the loads that their sidecars report."""

    def choose(self, candidates: Sequence[Member], outstanding: dict[str, int]) -> Member:
        """Return the candidate with the shorter expected wait."""
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda member: _load(member, outstanding.get(member.name, 0)))


def rendezvous(key: str, names: Sequence[str]) -> list[str]:
    """Return ``names`` in the order of their rendezvous hashes with ``key``."""

    def weight(name: str) -> bytes:
        return blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)


def weighted_rendezvous(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return names in the order of their rendezvous hashes with ``key``.

    Over many keys each name comes first for a part of them that is proportional to its weight, and
    a change of one weight moves no keys between the other names.

    :param weights: by name; all of them count alike if none is positive
    """
    is_weighted = any(weight > 0 for weight in weights.values())

    def score(name: str) -> tuple[float, str]:
        weight = weights[name] if is_weighted else 1.0
        draw = 1.0 - hash_fraction(f"{key}\0{name}")  # above 0
        return (-log(draw) / weight if weight > 0 else inf, name)

    return sorted(weights, key=score)


def hash_fraction(name: str) -> float:
    """Return a number from 0 to 1 from the hash of a name, evenly distributed over many names."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest()) / 2**32


def _load(member: Member, outstanding: int) -> float:
    report = member.report
    if report is None:
        return float(outstanding)
    reported = report.running + report.queued
    return max(outstanding, reported) / max(1, report.slots)


__all__ = [
    "ROUTINGS",
    "RoundRobin",
    "Routing",
    "TwoChoice",
    "hash_fraction",
    "rendezvous",
    "weighted_rendezvous",
]
