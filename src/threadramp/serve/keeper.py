"""The role of boxes with a disk: it stores nothing, so such a box can be removed at any time.

Persistent data is in the platform's store; docs/design/platform.md compares the alternatives.
"""

from __future__ import annotations

from threadramp.serve.process import ROLES, Process


@ROLES.register("keeper")
class Keeper(Process):
    """Does nothing until it is told to stop."""

    def start(self) -> None:
        """Start nothing: this role has no parts."""


__all__ = ["Keeper"]
