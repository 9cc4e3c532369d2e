"""Answers an operator's ``Inspect`` request: what a process knows about one object of a kind.

Each fact names its source and its age. A process registers functions for the kinds that it knows;
for any other kind the reply holds no facts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.fleet import Believed, Fact, Inspect

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

KINDS = ("configuration", "duty", "endpoint", "lot", "member", "organisation", "pool", "request")


class InspectHandler:
    """Answers ``Inspect`` requests with the facts of the functions registered for the kind."""

    def __init__(self) -> None:
        self.sources: dict[str, list[Callable[[str], Iterable[Fact]]]] = {}

    def register(self, kind: str, source: Callable[[str], Iterable[Fact]]) -> None:
        """Add a source of facts about a kind.

        :param source: is called with the name that the request asks for
        """
        self.sources.setdefault(kind, []).append(source)

    def handle(self, request: Inspect) -> Believed:
        """Return all facts about the requested object."""
        facts = [
            fact for source in self.sources.get(request.kind, ()) for fact in source(request.name)
        ]
        return Believed(tuple(facts))


__all__ = ["KINDS", "InspectHandler"]
