"""Whether the store showed just now that the right to the duties is this gateway's."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.fleet.fenced_lock import FencedLock

# For which a proof holds, from when the store was asked. With the time for which what was sent may
# lie in this box's kernel it is less than half of the time for which the next holder waits.
PROVEN_S = 0.6


class RecentProof:
    """The last proof that the right is ours; its age counts from the question, not the answer."""

    def __init__(self, right: FencedLock) -> None:
        self.right = right
        self.number = 0
        self.asked_at = float("-inf")

    def note(self, number: int, asked_at: float) -> None:
        """Note that the store showed it.

        :param asked_at: time at which it was asked
        """
        self.number = number
        self.asked_at = asked_at

    def is_there(self, number: int) -> bool:
        """Return whether a number is proven to be ours; asks the store if the last proof is old."""
        if self.still_holds(number):
            return True
        asked_at = self.right.clock.now()
        if self.right.verified_token() != number:
            return False
        self.note(number, asked_at)
        return self.still_holds(number)

    def still_holds(self, number: int) -> bool:
        """Return whether the last proof is of a number, and not too old; asks nobody."""
        return number == self.number and self.right.clock.now() - self.asked_at <= PROVEN_S


__all__ = ["PROVEN_S", "RecentProof"]
