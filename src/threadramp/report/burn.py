"""The report on error budget burn as text, JSON or an HTML page with a plot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pygal

from threadramp.core.burn import WINDOWS_S

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from threadramp.core.burn import BurnPoint, ObjectiveRecord

PLOT_POINTS = 60
PLOT_SPAN_S = 3600.0
MINUTE_S = 60
MINUTES_FROM_S = 300.0  # shorter spans are shown in seconds


class WindowBurn(msgspec.Struct, frozen=True):
    """The burn of one objective over one window.

    :param good_share: share of good events, 1 if there were no events
    :param burn: how many times faster than allowed the error budget is spent; if it stays above 1,
        the objective will be missed
    """

    window_s: float
    events: float
    good_share: float
    burn: float


class ObjectiveBurn(msgspec.Struct, frozen=True):
    """The burn of one objective over all windows.

    :param target: target share of good events
    """

    name: str
    target: float
    windows: tuple[WindowBurn, ...]


def burn_report(
    records: Iterable[ObjectiveRecord], windows_s: Sequence[float] = WINDOWS_S
) -> list[ObjectiveBurn]:
    """Return the burn of each objective over the events of all gateways.

    :param windows_s: lengths of the windows, which all end now
    """
    merged = _merge(records)
    return [
        ObjectiveBurn(
            name,
            target,
            tuple(_window_burn(points, target, span_s, 0.0) for span_s in windows_s),
        )
        for name, (target, points) in merged.items()
    ]


def burn_text(report: list[ObjectiveBurn]) -> str:
    """Return the report as a plain-text table."""
    lines = [f"{'objective':18} {'target':>7} {'window':>8} {'events':>10} {'good':>8} {'burn':>7}"]
    for objective in report:
        for window in objective.windows:
            lines.append(
                f"{objective.name:18} {objective.target:7.3f} {_format_span(window.window_s):>8} "
                f"{window.events:10.0f} {window.good_share:8.4f} {window.burn:7.2f}"
            )
    return "\n".join(lines)


def burn_html(
    records: Iterable[ObjectiveRecord],
    windows_s: Sequence[float] = WINDOWS_S,
    span_s: float = PLOT_SPAN_S,
) -> str:
    """Return a self-contained HTML page with the table and a plot.

    :param span_s: seconds up to now that the plot shows
    """
    records = list(records)
    in_seconds = span_s < MINUTES_FROM_S
    chart = pygal.Line(
        js=(),
        show_dots=False,
        x_title="seconds ago" if in_seconds else "minutes ago",
        y_title="burn",
        height=360,
        disable_xml_declaration=True,
    )
    step_s = span_s / PLOT_POINTS
    ages = [span_s - index * step_s for index in range(PLOT_POINTS)]
    chart.x_labels = [f"{age if in_seconds else age / MINUTE_S:.0f}" for age in ages]
    chart.x_labels_major_count = 7
    chart.show_minor_x_labels = False
    for name, (target, points) in _merge(records).items():
        chart.add(name, [_window_burn(points, target, step_s, age - step_s).burn for age in ages])
    table = burn_text(burn_report(records, windows_s))
    return (
        "<!doctype html><meta charset='utf-8'><title>threadramp: service-level burn</title>"
        f"<h1>Service-level burn</h1><pre>{table}</pre>{chart.render(is_unicode=True)}"
    )


def _format_span(span_s: float) -> str:
    """Return the length of a window in a readable unit."""
    return f"{span_s:.0f} s" if span_s < MINUTES_FROM_S else f"{span_s / MINUTE_S:.0f} min"


def _merge(
    records: Iterable[ObjectiveRecord],
) -> dict[str, tuple[float, list[BurnPoint]]]:
    """Return the target and the points of all records of each objective."""
    merged: dict[str, tuple[float, list[BurnPoint]]] = {}
    for record in records:
        merged.setdefault(record.name, (record.target, []))[1].extend(record.points)
    return merged


def _window_burn(
    points: list[BurnPoint], target: float, span_s: float, min_age_s: float
) -> WindowBurn:
    """Return the burn over the ``span_s`` seconds that ended ``min_age_s`` ago."""
    inside = [point for point in points if min_age_s <= point.age_s < min_age_s + span_s]
    good = sum(point.good for point in inside)
    bad = sum(point.bad for point in inside)
    total = good + bad
    share = good / total if total else 1.0
    return WindowBurn(span_s, total, share, (1 - share) / (1 - target))


__all__ = ["ObjectiveBurn", "WindowBurn", "burn_html", "burn_report", "burn_text"]
