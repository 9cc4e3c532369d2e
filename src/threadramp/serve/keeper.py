"""The role on boxes with a disk: it keeps nothing, so that such a box can go at any time.

What must last lies in the platform's store; see docs/design/platform.md for what was weighed.
"""

from __future__ import annotations

from threadramp.serve.process import ROLES, Process


@ROLES.register("keeper")
class Keeper(Process):
    """Waits for its stop."""

    def start(self) -> None:
        """Start nothing."""


__all__ = ["Keeper"]
