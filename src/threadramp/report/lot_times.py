"""What became of each lot of a day: how long its longest sample waited, when it was listed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pygal

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable, Sequence

COLUMNS = f"{'lot':18} {'model':14} {'step':>5} {'wait s':>7} {'listed s':>9} {'due s':>6}"
MAX_CAUSES = 20  # lines of the table of calls; the rest is summed


@dataclass(frozen=True)
class LotTimes:
    """One lot.

    :param listed_s: seconds from its hand-in to its last listing, none if nothing was listed
    :param wait_s: seconds before its longest sample was first sent to an engine, none if unknown
    """

    lot: str
    model: str
    step: int
    due_s: float
    listed_s: float | None
    wait_s: float | None


class LotRuns:
    """When samples were sent, and how long those were that came to their end."""

    def __init__(self) -> None:
        self.sent_at: dict[str, list[float]] = {}
        self.longest: dict[str, tuple[int, str]] = {}

    def sent(self, at: float, samples: Iterable[str]) -> None:
        """Note samples that an engine took."""
        for sample in samples:
            self.sent_at.setdefault(sample, []).append(at)

    def whole(self, lot: str, sample: str, events: int) -> None:
        """Note a sample whose text is whole."""
        self.longest[lot] = max(self.longest.get(lot, (0, "")), (events, sample))

    def wait_of_longest(self, lot: str, handed_in: float) -> float | None:
        """Return how long the longest sample of a lot waited, none if that is not known."""
        _, sample = self.longest.get(lot, (0, ""))
        times = [at for at in self.sent_at.get(sample, ()) if at >= handed_in]
        return min(times) - handed_in if times else None


def lot_text(lots: Sequence[LotTimes]) -> str:
    """Return a table with a line for each lot."""
    return "\n".join([COLUMNS, *map(_line, lots)])


def call_text(calls: Counter[tuple[str, str]]) -> str:
    """Return a table of calls to the store by cause and role, the most frequent first."""
    lines = [f"{'calls to the store':30} {'role':10} {'number':>8}"]
    rows = calls.most_common()
    lines += [f"{cause:30} {role:10} {number:8d}" for (cause, role), number in rows[:MAX_CAUSES]]
    rest = sum(number for _, number in rows[MAX_CAUSES:])
    if rest:
        lines.append(f"{'others':30} {'':10} {rest:8d}")
    return "\n".join(lines)


def lot_plot(lots: Sequence[LotTimes]) -> str:
    """Return a plot, as part of a page: seconds to the last listing and of the wait, by lot."""
    chart = pygal.Bar(
        js=(),
        x_title="lots by hand-in",
        y_title="seconds",
        height=360,
        disable_xml_declaration=True,
    )
    chart.x_labels = [str(lot.step) for lot in lots]
    chart.add("hand-in to last listing", [lot.listed_s for lot in lots])
    chart.add("wait of the longest sample", [lot.wait_s for lot in lots])
    return chart.render(is_unicode=True)


def _line(lot: LotTimes) -> str:
    name = f"{lot.lot:18} {lot.model:14} {lot.step:5d}"
    return f"{name} {_seconds(lot.wait_s):>7} {_seconds(lot.listed_s):>9} {lot.due_s:6.1f}"


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


__all__ = ["LotRuns", "LotTimes", "call_text", "lot_plot", "lot_text"]
