"""The times of each lot in the logs: when it was listed, and how long its longest sample waited."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import pygal

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterable, Sequence

COLUMNS = f"{'lot':18} {'model':14} {'step':>5} {'wait s':>7} {'listed s':>9} {'due s':>6}"
MAX_CAUSES = 20  # rows of the table of calls to the store; rarer causes are summed up


@dataclass(frozen=True)
class LotTimes:
    """The times of one lot.

    :param due_s: seconds from its submission until its results are due
    :param listed_s: seconds from its submission to its last listing, none if nothing was listed
    :param wait_s: seconds from its submission until its longest complete sample was first sent to
        an engine, none if unknown
    """

    lot: str
    model: str
    step: int
    due_s: float
    listed_s: float | None
    wait_s: float | None


class LotRuns:
    """Records when samples were sent to engines, and the longest complete sample of each lot."""

    def __init__(self) -> None:
        self.sent_at: dict[str, list[float]] = {}
        self.longest_complete: dict[str, tuple[int, str]] = {}

    def record_sent(self, at: float, samples: Iterable[str]) -> None:
        """Record samples that an engine accepted."""
        for sample in samples:
            self.sent_at.setdefault(sample, []).append(at)

    def record_complete(self, lot: str, sample: str, events: int) -> None:
        """Record a sample whose text is complete.

        :param events: length of its text in events
        """
        self.longest_complete[lot] = max(self.longest_complete.get(lot, (0, "")), (events, sample))

    def wait_of_longest(self, lot: str, submitted_at: float) -> float | None:
        """Return the seconds that a lot's longest sample waited for an engine, none if unknown."""
        _, sample = self.longest_complete.get(lot, (0, ""))
        times = [at for at in self.sent_at.get(sample, ()) if at >= submitted_at]
        return min(times) - submitted_at if times else None


def lot_text(lots: Sequence[LotTimes]) -> str:
    """Return a table with a row for each lot."""
    return "\n".join([COLUMNS, *map(_format_row, lots)])


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
    """Return a plot as an SVG element: seconds to the last listing and seconds of wait, by lot."""
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


def _format_row(lot: LotTimes) -> str:
    label = f"{lot.lot:18} {lot.model:14} {lot.step:5d}"
    return (
        f"{label} {_format_seconds(lot.wait_s):>7} "
        f"{_format_seconds(lot.listed_s):>9} {lot.due_s:6.1f}"
    )


def _format_seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


__all__ = ["LotRuns", "LotTimes", "call_text", "lot_plot", "lot_text"]
