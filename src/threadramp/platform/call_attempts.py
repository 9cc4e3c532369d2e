"""Joins the outcomes of several attempts at one call to the store.

A call is attempted on a kept connection, on a new one, through peers, and again after a pause. An
attempt without an answer may have been done, or may be done later, and no later attempt that is
refused changes that. So the call as a whole counts as refused only if each attempt was.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from threadramp.platform.store_model import StoreUnknownError

if TYPE_CHECKING:
    from threadramp.platform.store_model import StoreError

MAX_LISTED_ERRORS = 3  # in the text of a joined error


class CallAttempts:
    """The failed attempts at one call.

    :ivar errors: one for each failed attempt, in order
    """

    def __init__(self) -> None:
        self.errors: list[StoreError] = []

    @property
    def may_be_done(self) -> bool:
        """Return whether an attempt may have been done, or may be done later."""
        return any(isinstance(error, StoreUnknownError) for error in self.errors)

    def record(self, error: StoreError) -> None:
        """Add a failed attempt."""
        self.errors.append(error)

    def failure(self) -> StoreError:
        """Return the error of the call as a whole: the last one that decides its outcome.

        :raises ValueError: if no attempt has failed
        """
        if not self.errors:
            raise ValueError("no attempt has failed")
        if not self.may_be_done or isinstance(self.errors[-1], StoreUnknownError):
            return self.errors[-1]
        return StoreUnknownError(
            "; then ".join(str(error) for error in self.errors[-MAX_LISTED_ERRORS:])
        )


__all__ = ["CallAttempts"]
