"""Typed errors of the client library."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.config.findings import Finding
    from threadramp.wire.outcomes import Refusal


class ClientError(Exception):
    """Base of the client library's errors."""


class UnreachableError(ClientError):
    """No gateway answered."""


class RequestRefusedError(ClientError):
    """The request was refused; it did not run if ``refusal.outcome`` says so."""

    def __init__(self, refusal: Refusal, findings: tuple[Finding, ...] = ()) -> None:
        self.refusal = refusal
        self.findings = findings
        lines = [f"{refusal.reason.value} ({refusal.outcome.value}): {refusal.message}"]
        super().__init__("\n".join(lines + [str(finding) for finding in findings]))


class OutcomeUnknownError(ClientError):
    """Whether the request ran is not known; it is not run again.

    :param key: the ticket with which to ask later
    """

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        super().__init__(f"outcome unknown: {reason}")


class LotError(ClientError):
    """A lot that came whole but is not what was asked for."""


__all__ = [
    "ClientError",
    "LotError",
    "OutcomeUnknownError",
    "RequestRefusedError",
    "UnreachableError",
]
