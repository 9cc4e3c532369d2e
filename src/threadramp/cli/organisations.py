"""``threadramp organisation key``: makes a key for an organisation's callers."""

from __future__ import annotations

import secrets

from cleo.commands.command import Command

from threadramp.cli.api import ExitCode, command
from threadramp.fleet.organisations import digest

KEY_BYTES = 24  # 192 bits; nobody guesses one


@command
class OrganisationKeyCommand(Command):
    """Make a key."""

    name = "organisation key"
    description = "Make a key and print it once, with the digest that the configuration names."

    def handle(self) -> int:
        """Print the key for the caller, and what an organisation's resource takes."""
        key = secrets.token_urlsafe(KEY_BYTES)
        self.line(f"key (shown once, for the caller): {key}")
        self.line(f'key_digests = ["{digest(key.encode()).hex()}"]')
        return ExitCode.OK


__all__ = ["OrganisationKeyCommand"]
