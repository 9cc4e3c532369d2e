"""The ``threadramp`` program."""

from __future__ import annotations

import sys

from cleo.application import Application

from threadramp import VERSION
from threadramp.cli import (
    believe,
    check,
    daemons,
    declare,
    inspect,
    keys,
    organisations,
    report,
    standins,
)
from threadramp.cli.api import COMMANDS

# Importing a module registers its commands.
_MODULES = (believe, check, daemons, declare, inspect, keys, organisations, report, standins)


def build_application() -> Application:
    """Return the application with all registered commands."""
    application = Application("threadramp", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the program and return its exit code."""
    return build_application().run()


if __name__ == "__main__":
    sys.exit(main())

__all__ = ["build_application", "main"]
