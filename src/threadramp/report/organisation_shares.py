"""How the calls of each organisation were served, beside those of all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    pass

STARVED_SHARE = 0.25  # of how often all are served; below it an organisation counts as starved
LEAST_CALLS = 4  # fewer say nothing
SHOWN_MOST = 20  # lines, those served least first


@dataclass
class OrganisationShare:
    """The calls of one organisation.

    :param good: answered with success within the target of their route
    """

    name: str
    asked: int = 0
    served: int = 0
    good: int = 0

    @property
    def served_share(self) -> float:
        """Return the share that was served at all."""
        return self.served / self.asked if self.asked else 0.0


class OrganisationShares:
    """Counts answers by organisation."""

    def __init__(self) -> None:
        self.rows: dict[str, OrganisationShare] = {}

    def note(self, name: str, served: bool, good: bool) -> None:
        """Note an answer."""
        row = self.rows.setdefault(name, OrganisationShare(name))
        row.asked += 1
        row.served += served
        row.good += good

    def worst_first(self) -> list[OrganisationShare]:
        """Return all, those that were served least first."""
        return sorted(self.rows.values(), key=lambda row: (row.served_share, -row.asked, row.name))

    def starved(self) -> list[str]:
        """Return the organisations that were served far less often than all."""
        asked = sum(row.asked for row in self.rows.values())
        usual = sum(row.served for row in self.rows.values()) / asked if asked else 0.0
        return [
            row.name
            for row in self.worst_first()
            if row.asked >= LEAST_CALLS and row.served_share < STARVED_SHARE * usual
        ]


def shares_text(shares: OrganisationShares) -> str:
    """Return a table, empty where nobody was named."""
    if not shares.rows:
        return ""
    lines = [f"{'organisation':24} {'asked':>6} {'served':>7} {'in time':>8}"]
    lines += map(_line, shares.worst_first()[:SHOWN_MOST])
    starved = shares.starved()
    lines.append(f"served less than a quarter as often as all: {', '.join(starved) or 'nobody'}")
    return "\n".join(lines)


def _line(row: OrganisationShare) -> str:
    good = row.good / row.asked
    return f"{row.name:24} {row.asked:6d} {row.served_share:7.3f} {good:8.3f}"


__all__ = ["OrganisationShare", "OrganisationShares", "shares_text"]
