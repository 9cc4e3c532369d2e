"""Commands around keys: ``ticket`` and ``request``."""

from __future__ import annotations

import msgspec
from cleo.helpers import argument, option

from threadramp.cli.api import CLIENT_OPTIONS, ClientCommand, ExitCode, command
from threadramp.client.caller import CallerClient
from threadramp.wire.outcomes import Outcome


@command
class TicketCommand(ClientCommand):
    """Take a ticket."""

    name = "ticket"
    description = "Take a ticket for one call that must not repeat."
    arguments = [argument("pool", "Pool that the call is for.")]
    options = CLIENT_OPTIONS

    def run_client(self) -> int:
        """Print the ticket."""
        self.line(CallerClient(self.gateways(), self.token()).ticket(self.argument("pool")))
        return ExitCode.OK


@command
class RequestCommand(ClientCommand):
    """Settle an unknown outcome."""

    name = "request"
    description = "Show what became of a request by its ticket, or by an own key with --pool."
    arguments = [argument("key", "Ticket or own key.")]
    options = [*CLIENT_OPTIONS, option("pool", "p", "Pool of an own key.", flag=False)]

    def run_client(self) -> int:
        """Print the settlement; the exit code says whether it is definite."""
        client = CallerClient(self.gateways(), self.token())
        settlement = client.settle(self.argument("key"), self.option("pool") or "")
        self.line(msgspec.json.encode(settlement).decode())
        is_definite = settlement["outcome"] != Outcome.UNKNOWN.value
        return ExitCode.OK if is_definite else ExitCode.UNKNOWN


__all__ = ["RequestCommand", "TicketCommand"]
