"""What a process believes of one thing, since when and by which source, for operators.

Each kind of thing has one function, which a process registers with what it needs; a process that
knows nothing of a kind says so.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.wire.fleet import Believed, Fact, Inspect

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

KINDS = ("configuration", "duty", "endpoint", "lot", "member", "organisation", "request")


class InspectHandler:
    """Answers what one process believes; its functions are called with the name that is asked."""

    def __init__(self) -> None:
        self.by_kind: dict[str, list[Callable[[str], Iterable[Fact]]]] = {}

    def register(self, kind: str, tell: Callable[[str], Iterable[Fact]]) -> None:
        """Let a function tell of a kind."""
        self.by_kind.setdefault(kind, []).append(tell)

    def handle(self, ask: Inspect) -> Believed:
        """Return all that is believed of the thing that is asked about."""
        rows = [fact for tell in self.by_kind.get(ask.kind, ()) for fact in tell(ask.name)]
        return Believed(tuple(rows))


__all__ = ["KINDS", "InspectHandler"]
