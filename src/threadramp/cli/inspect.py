"""Commands that show: ``get`` and ``status``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from cleo.helpers import argument, option

from threadramp.cli.api import CLIENT_OPTIONS, ClientCommand, ExitCode, command

if TYPE_CHECKING:
    from threadramp.wire.status import EndpointStatus, FleetStatus

COLUMNS = ("endpoint", "pool", "data centre", "state", "rev", "weights", "busy", "problems")


@command
class GetCommand(ClientCommand):
    """Show what is declared."""

    name = "get"
    description = "Show declared resources with their revisions."
    arguments = [
        argument("kind", "Kind of resource.", optional=True),
        argument("name", "Name of the resource.", optional=True),
    ]
    options = CLIENT_OPTIONS

    def run_client(self) -> int:
        """Show one resource or a list, as JSON lines."""
        kind = self.argument("kind") or ""
        name = self.argument("name")
        if name:
            shown = [self.operator().get(kind, name)]
        else:
            shown = self.operator().list(kind)["resources"]
        for resource in shown:
            self.line(msgspec.json.encode(resource).decode())
        return ExitCode.OK


@command
class StatusCommand(ClientCommand):
    """Show what holds."""

    name = "status"
    description = "Show what holds: revisions in force, verified weights, states."
    options = [*CLIENT_OPTIONS, option("json", None, "Print JSON.")]

    def run_client(self) -> int:
        """Show the status as a table or as JSON."""
        status = self.operator().status()
        if self.option("json"):
            self.line(msgspec.json.encode(status).decode())
            return ExitCode.OK
        self.line(_summary(status))
        table = self.table(list(COLUMNS), [_row(endpoint) for endpoint in status.endpoints])
        table.render()
        return ExitCode.OK


def _summary(status: FleetStatus) -> str:
    in_force = ", ".join(
        f"{count} at revision {revision}" for revision, count in sorted(status.in_force.items())
    )
    text = f"{status.gateway}: revision {status.revision}; endpoints: {in_force or 'none'}"
    return text + ("; the key-value service has forgotten writes" if status.regressed else "")


def _row(endpoint: EndpointStatus) -> list[str]:
    weights = ", ".join(f"{model}={version}" for model, version in endpoint.weights.items())
    busy = f"{endpoint.running}+{endpoint.rollouts}/{endpoint.slots}"
    return [
        endpoint.name,
        endpoint.pool,
        endpoint.data_centre,
        endpoint.state,
        str(endpoint.revision),
        weights or "-",
        busy,
        "; ".join(endpoint.problems) or "-",
    ]


__all__ = ["GetCommand", "StatusCommand"]
