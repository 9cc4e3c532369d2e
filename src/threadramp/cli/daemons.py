"""``threadramp gateway`` and ``threadramp sidecar``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.commands.command import Command
from cleo.helpers import argument

from threadramp.cli.api import ExitCode, command, fail, run_daemon
from threadramp.gateway.daemon import GatewayDaemon
from threadramp.sidecar.daemon import SidecarDaemon

if TYPE_CHECKING:
    from threadramp.config.settings import Settings


@command
class GatewayCommand(Command):
    """Run a gateway."""

    name = "gateway"
    description = "Run a gateway."
    arguments = [argument("settings", "Settings file (TOML).")]

    def handle(self) -> int:
        """Run until a planned stop."""
        return run_daemon(self, self.argument("settings"), self._start)

    def _start(self, settings: Settings) -> int:
        if settings.gateway is None:
            return fail(self, "the file has no table [gateway]", "", ExitCode.FINDINGS)
        GatewayDaemon.from_config(settings).run()
        return ExitCode.OK


@command
class SidecarCommand(Command):
    """Run a sidecar."""

    name = "sidecar"
    description = "Run the sidecar of one endpoint."
    arguments = [argument("settings", "Settings file (TOML).")]

    def handle(self) -> int:
        """Run until a planned stop."""
        return run_daemon(self, self.argument("settings"), self._start)

    def _start(self, settings: Settings) -> int:
        if settings.sidecar is None:
            return fail(self, "the file has no table [sidecar]", "", ExitCode.FINDINGS)
        SidecarDaemon.from_config(settings).run()
        return ExitCode.OK


__all__ = ["GatewayCommand", "SidecarCommand"]
