"""The share of its calls that each organisation had served, compared with all calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    pass

STARVED_SHARE = 0.25  # of the served share of all calls; an organisation below it counts as starved
MIN_CALLS = 4  # fewer are too few to tell whether an organisation is starved
MAX_ROWS = 20  # of the table, lowest served share first


@dataclass
class OrganisationShare:
    """The calls of one organisation.

    :param served: calls answered with success
    :param good: calls answered with success within the target latency of their route
    """

    name: str
    calls: int = 0
    served: int = 0
    good: int = 0

    @property
    def served_share(self) -> float:
        """Return the share of calls that were served, in time or late."""
        return self.served / self.calls if self.calls else 0.0


class OrganisationShares:
    """Counts the responses to the calls of each organisation."""

    def __init__(self) -> None:
        self.rows: dict[str, OrganisationShare] = {}

    def record(self, name: str, served: bool, good: bool) -> None:
        """Count the response to one call."""
        row = self.rows.setdefault(name, OrganisationShare(name))
        row.calls += 1
        row.served += served
        row.good += good

    def worst_first(self) -> list[OrganisationShare]:
        """Return all organisations, lowest served share first."""
        return sorted(self.rows.values(), key=lambda row: (row.served_share, -row.calls, row.name))

    def starved(self) -> list[str]:
        """Return the organisations whose served share is far below that of all calls."""
        calls = sum(row.calls for row in self.rows.values())
        overall_share = sum(row.served for row in self.rows.values()) / calls if calls else 0.0
        return [
            row.name
            for row in self.worst_first()
            if row.calls >= MIN_CALLS and row.served_share < STARVED_SHARE * overall_share
        ]


def shares_text(shares: OrganisationShares) -> str:
    """Return a table, or an empty text if no call named an organisation."""
    if not shares.rows:
        return ""
    lines = [f"{'organisation':24} {'asked':>6} {'served':>7} {'in time':>8}"]
    lines += map(_format_row, shares.worst_first()[:MAX_ROWS])
    starved = shares.starved()
    lines.append(f"served less than a quarter as often as all: {', '.join(starved) or 'nobody'}")
    return "\n".join(lines)


def _format_row(row: OrganisationShare) -> str:
    good_share = row.good / row.calls
    return f"{row.name:24} {row.calls:6d} {row.served_share:7.3f} {good_share:8.3f}"


__all__ = ["OrganisationShare", "OrganisationShares", "shares_text"]
