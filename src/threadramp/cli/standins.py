"""``threadramp standin``: run a stand-in by itself."""

from __future__ import annotations

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option

from threadramp.cli.api import ExitCode, command, fail
from threadramp.platform.standins import cloud, endpoint, store
from threadramp.standins import engine, platform, service
from threadramp.standins.server import STANDINS

# Importing a module registers its stand-ins.
_MODULES = (cloud, endpoint, engine, platform, service, store)


@command
class StandInCommand(Command):
    """Run a stand-in."""

    name = "standin"
    description = "Run a stand-in of the platform or of an endpoint, for demos and proofs."
    arguments = [argument("kind", "Which stand-in."), argument("listen", "IP:PORT.")]
    options = [option("options", "o", "Settings and switches as JSON.", flag=False)]

    def handle(self) -> int:
        """Serve until ended."""
        kind = self.argument("kind")
        if kind not in STANDINS:
            hint = f"known: {', '.join(sorted(STANDINS))}"
            return fail(self, f"no stand-in {kind!r}", hint, ExitCode.USAGE)
        options = msgspec.json.decode(self.option("options") or "{}")
        STANDINS[kind](options).serve(self.argument("listen"))
        return ExitCode.OK


__all__ = ["StandInCommand"]
