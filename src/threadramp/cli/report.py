"""``threadramp report burn`` and ``threadramp report day``."""

from __future__ import annotations

from html import escape
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from threadramp.cli.api import CLIENT_OPTIONS, ClientCommand, ExitCode, command, fail
from threadramp.report.burn import burn_html, burn_report, burn_text
from threadramp.report.day import DayLog
from threadramp.report.lot_times import call_text, lot_plot, lot_text
from threadramp.report.organisation_shares import shares_text

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.report.burn import ObjectiveBurn

DEFAULT_TARGET = "0.95"  # share of good events; the users name none
WINDOW_SHARES = (0.1, 0.3, 1.0)  # of the day
LEAST_SPAN_S = 1.0  # of a plot
FORM_OPTIONS = [
    option("json", None, "Print JSON."),
    option("html", None, "Write an HTML page with a plot to this file.", flag=False),
]


@command
class ReportBurnCommand(ClientCommand):
    """Report on service-level burn."""

    name = "report burn"
    description = "Report how fast the error budgets are spent, over all gateways that are named."
    options = [
        *CLIENT_OPTIONS,
        *FORM_OPTIONS,
    ]

    def run_client(self) -> int:
        """Print the report, and write the page if one is asked for."""
        records = self.operator().burn_records()
        _show(self, burn_report(records), lambda: burn_html(records))
        return ExitCode.OK


@command
class ReportDayCommand(Command):
    """Report on the logs of the platform's processes."""

    name = "report day"
    description = "Report from logs how fast the error budgets of routes and lots were spent."
    arguments = [argument("logs", "Files with the processes' lines.", multiple=True)]
    options = [
        option(
            "target", None, "Share of events that should be good.", False, default=DEFAULT_TARGET
        ),
        *FORM_OPTIONS,
    ]

    def handle(self) -> int:
        """Print the report, and write the page if one is asked for."""
        try:
            target = _share(self.option("target"))
            log = _read_logs(self.argument("logs"))
        except (OSError, ValueError) as error:
            return fail(self, str(error), "nothing was reported", ExitCode.USAGE)
        records = log.records(target)
        span_s = log.span_s
        windows_s = [span_s * share for share in WINDOW_SHARES]
        report = burn_report(records, windows_s)
        _show(
            self,
            report,
            lambda: burn_html(records, windows_s, max(LEAST_SPAN_S, span_s)) + _lots_html(log),
        )
        if not self.option("json"):
            self.line(_tables(log))
        for line in _notes(log):
            self.line_error(line)
        return ExitCode.OK


def _show(asked: Command, report: list[ObjectiveBurn], page: Callable[[], str]) -> None:
    """Print a report, and write its page if one is asked for."""
    if asked.option("html"):
        Path(asked.option("html")).write_text(page(), encoding="utf-8")
    asked.line(msgspec.json.encode(report).decode() if asked.option("json") else burn_text(report))


def _tables(log: DayLog) -> str:
    """Return the tables of organisations, lots and calls to the store, those that say anything."""
    lots = log.lot_times()
    tables = [shares_text(log.organisations)]
    if lots:
        tables += [lot_text(lots), call_text(log.store_calls)]
    return "".join(f"\n{table}\n" for table in tables if table)


def _lots_html(log: DayLog) -> str:
    """Return what the page says of the day's lots and calls."""
    tables = _tables(log)
    plot = lot_plot(log.lot_times()) if tables else ""
    return f"<h1>Lots</h1><pre>{escape(tables)}</pre>{plot}" if tables else ""


def _share(text: str) -> float:
    """Return a share between 0 and 1.

    :raises ValueError: if the text is none
    """
    share = float(text)
    if not 0.0 < share < 1.0:
        raise ValueError(f"target {text}: expected a share between 0 and 1")
    return share


def _read_logs(paths: list[str]) -> DayLog:
    """Read files of log lines.

    :raises OSError: if one can not be read
    """
    log = DayLog()
    for path in paths:
        with Path(path).open(encoding="utf-8", errors="replace") as lines:
            log.read(lines)
    return log


def _notes(log: DayLog) -> list[str]:
    """Return what stands beside the table."""
    notes = []
    if log.store_outages:
        longest = max(away.duration_s for away in log.store_outages)
        notes.append(
            f"the store was away {len(log.store_outages)} times, {longest:.1f} s at the most"
        )
    if log.unreadable:
        notes.append(f"{log.unreadable} lines could not be read")
    return notes


__all__ = ["ReportBurnCommand", "ReportDayCommand"]
