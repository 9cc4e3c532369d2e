"""``threadramp config check`` and ``threadramp version``."""

from __future__ import annotations

from cleo.commands.command import Command
from cleo.helpers import argument

from threadramp import VERSION
from threadramp.cli.api import ExitCode, command, show_findings
from threadramp.config.documents import check_document
from threadramp.config.settings import check_settings, load_toml

SETTINGS_TABLES = {"gateway", "sidecar", "platform", "auth"}


@command
class ConfigCheckCommand(Command):
    """Check a settings file or a file of resources."""

    name = "config check"
    description = "Check a settings file or a file of resources; report all findings."
    arguments = [argument("file", "TOML file.")]

    def handle(self) -> int:
        """Check the file by what its tables are."""
        path = self.argument("file")
        loaded = load_toml(path)
        if loaded.is_error():
            return show_findings(self, loaded.error)
        is_settings = bool(SETTINGS_TABLES & set(loaded.ok))
        result = check_settings(path) if is_settings else check_document(path)
        if result.is_error():
            return show_findings(self, result.error)
        self.line(f"{path}: no findings")
        return ExitCode.OK


@command
class VersionCommand(Command):
    """Show the version."""

    name = "version"
    description = "Show the version."

    def handle(self) -> int:
        """Show it."""
        self.line(f"threadramp {VERSION}")
        return ExitCode.OK


__all__ = ["ConfigCheckCommand", "VersionCommand"]
