"""What the commands share: registration, exit codes, how errors are shown."""

from __future__ import annotations

import os
from enum import IntEnum
from typing import TYPE_CHECKING, Any

from cleo.commands.command import Command
from cleo.helpers import option

from threadramp.client.errors import (
    ClientError,
    OutcomeUnknownError,
    RequestRefusedError,
    UnreachableError,
)
from threadramp.client.operator import OperatorClient
from threadramp.config.findings import FindingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from threadramp.config.findings import Finding

COMMANDS: list[type[Command]] = []
GATEWAYS_VARIABLE = "THREADRAMP_GATEWAYS"
TOKEN_VARIABLE = "THREADRAMP_TOKEN"  # noqa: S105 - the name of a variable, no secret

CLIENT_OPTIONS = [
    option("gateways", "g", "Gateways, separated by commas.", flag=False),
    option("token", "t", "Bearer token of your role.", flag=False),
]


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    UNKNOWN = 5


def command(cls: type[Command]) -> type[Command]:
    """Register a command with the application."""
    COMMANDS.append(cls)
    return cls


class ClientCommand(Command):
    """Base of the commands that talk to gateways."""

    def run_client(self) -> int:
        """Do the command's work and return its exit code."""
        raise NotImplementedError

    def handle(self) -> int:
        """Do the work; show an error with what to do about it."""
        try:
            return self.run_client()
        except FindingsError as error:
            return show_findings(self, error.findings)
        except RequestRefusedError as error:
            return self._refused(error)
        except OutcomeUnknownError as error:
            return fail(
                self, str(error), f"ask later: threadramp request {error.key}", ExitCode.UNKNOWN
            )
        except UnreachableError as error:
            hint = f"check --gateways or {GATEWAYS_VARIABLE}"
            return fail(self, str(error), hint, ExitCode.UNREACHABLE)
        except ClientError as error:
            return fail(self, str(error), "", ExitCode.REFUSED)

    def gateways(self) -> list[str]:
        """Return the gateways to ask."""
        text = self.option("gateways") or os.environ.get(GATEWAYS_VARIABLE, "")
        if not text:
            raise UnreachableError("no gateway is named")
        return [item if "://" in item else f"http://{item}" for item in text.split(",")]

    def token(self) -> str:
        """Return the bearer token."""
        return self.option("token") or os.environ.get(TOKEN_VARIABLE, "")

    def operator(self) -> OperatorClient:
        """Return a client with the operator's role."""
        return OperatorClient(self.gateways(), self.token())

    def _refused(self, error: RequestRefusedError) -> int:
        refusal = error.refusal
        if error.findings:
            return show_findings(self, list(error.findings))
        hint = f"come back in {refusal.retry_after_s} s" if refusal.retry_after_s else refusal.place
        return fail(self, str(error), hint, ExitCode.REFUSED)


def fail(shown_by: Command, message: str, hint: str, code: ExitCode) -> int:
    """Show an error on standard error and return its code."""
    tail = f" ({hint})" if hint else ""
    shown_by.line_error(f"error: {message}{tail}")
    return code


def show_findings(shown_by: Command, findings: list[Finding]) -> int:
    """Show all findings on standard error."""
    for finding in findings:
        shown_by.line_error(str(finding))
    shown_by.line_error(f"{len(findings)} finding(s); nothing was changed")
    return ExitCode.FINDINGS


def run_daemon(shown_by: Command, path: str, start: Callable[[Any], int]) -> int:
    """Check a settings file and run a daemon with it."""
    from threadramp.config.settings import check_settings
    from threadramp.report.log import log_to_stderr

    result = check_settings(path)
    if result.is_error():
        return show_findings(shown_by, result.error)
    log_to_stderr()
    return start(result.ok)


__all__ = [
    "CLIENT_OPTIONS",
    "COMMANDS",
    "ClientCommand",
    "ExitCode",
    "command",
    "fail",
    "run_daemon",
    "show_findings",
]
