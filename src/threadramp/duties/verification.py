"""Whether the store has recently confirmed that this gateway holds the lock for the duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadramp.fleet.fenced_lock import FencedLock

# How long a verification is valid, from when the store was asked. Together with the time that sent
# bytes may stay in this box's kernel it is less than half of the next holder's takeover delay.
VERIFICATION_TTL_S = 0.6


class RecentVerification:
    """The last verification of the lock; its age counts from the question, not the answer."""

    def __init__(self, lock: FencedLock) -> None:
        self.lock = lock
        self.fencing_token = 0
        self.asked_at = float("-inf")

    def record(self, fencing_token: int, asked_at: float) -> None:
        """Record that the store confirmed the lock.

        :param asked_at: time at which the store was asked
        """
        self.fencing_token = fencing_token
        self.asked_at = asked_at

    def verify(self, fencing_token: int) -> bool:
        """Return whether a fencing token is valid; asks the store unless verified recently."""
        if self.is_fresh(fencing_token):
            return True
        asked_at = self.lock.clock.now()
        if self.lock.verified_token() != fencing_token:
            return False
        self.record(fencing_token, asked_at)
        return self.is_fresh(fencing_token)

    def is_fresh(self, fencing_token: int) -> bool:
        """Return whether the last verification is of this token and recent; asks nobody."""
        return (
            fencing_token == self.fencing_token
            and self.lock.clock.now() - self.asked_at <= VERIFICATION_TTL_S
        )


__all__ = ["VERIFICATION_TTL_S", "RecentVerification"]
