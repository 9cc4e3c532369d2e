"""``threadramp report burn``."""

from __future__ import annotations

from pathlib import Path

import msgspec
from cleo.helpers import option

from threadramp.cli.api import CLIENT_OPTIONS, ClientCommand, ExitCode, command
from threadramp.report.burn import burn_html, burn_report, burn_text


@command
class ReportBurnCommand(ClientCommand):
    """Report on service-level burn."""

    name = "report burn"
    description = "Report how fast the error budgets are spent, over all gateways that are named."
    options = [
        *CLIENT_OPTIONS,
        option("json", None, "Print JSON."),
        option("html", None, "Write an HTML page with a plot to this file.", flag=False),
    ]

    def run_client(self) -> int:
        """Print the report, and write the page if one is asked for."""
        records = self.operator().burn_records()
        report = burn_report(records)
        if self.option("html"):
            Path(self.option("html")).write_text(burn_html(records), encoding="utf-8")
        shown = msgspec.json.encode(report).decode() if self.option("json") else burn_text(report)
        self.line(shown)
        return ExitCode.OK


__all__ = ["ReportBurnCommand"]
