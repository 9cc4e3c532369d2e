"""Outcomes of requests, and typed refusals."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran, as far as is known."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was refused or aborted."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    SENDER_BEHIND = "sender_behind"
    RECEIVER_BEHIND = "receiver_behind"
    NO_ENDPOINT = "no_endpoint"
    DEADLINE = "deadline"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_ENDED = "endpoint_ended"
    BROKEN_ANSWER = "broken_answer"
    HELD_BACK = "held_back"
    NOT_READY = "not_ready"
    PLATFORM_OUT = "platform_out"
    WRITE_BUDGET = "write_budget"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    KEY_REFUSED = "key_refused"
    KEYS_FULL = "keys_full"
    KEYS_SUSPENDED = "keys_suspended"
    ANSWER_NOT_KEPT = "answer_not_kept"
    INCARNATION_GONE = "incarnation_gone"
    IN_PROGRESS = "in_progress"
    WRONG_SIDECAR = "wrong_sidecar"
    WEIGHTS_UNKNOWN = "weights_unknown"
    ALREADY_DELIVERED = "already_delivered"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    FINDINGS = "findings"
    INTERNAL = "internal"


# One side lacks a configuration revision that the other has; the request is retried once both
# have it.
BEHIND = frozenset((Reason.SENDER_BEHIND, Reason.RECEIVER_BEHIND))

STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHORIZED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.DEADLINE: 504,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ENDPOINT_ENDED: 502,
    Reason.BROKEN_ANSWER: 502,
    Reason.KEY_REUSED: 422,
    Reason.KEY_EXPIRED: 410,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.INCARNATION_GONE: 409,
    Reason.IN_PROGRESS: 409,
    Reason.ALREADY_DELIVERED: 409,
    Reason.SUPERSEDED: 409,
    Reason.CONFLICT: 412,
    Reason.FINDINGS: 422,
    Reason.INTERNAL: 500,
}
DEFAULT_STATUS = 503
DEFAULT_RETRY_AFTER_S = 1


@dataclass(frozen=True)
class Refusal:
    """A typed refusal, as it is sent to a caller.

    :param outcome: whether the request ran, as far as is known
    :param retry_after_s: seconds after which to retry; 0 if a retry will not help
    :param number: number of the refusal of a key; the key runs only with this number in
        ``X-Refusal``
    :param place: the invalid part of the request, empty if there is none
    """

    reason: Reason
    outcome: Outcome
    message: str
    retry_after_s: int = 0
    place: str = ""
    number: int = 0

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return STATUS.get(self.reason, DEFAULT_STATUS)

    @classmethod
    def not_run(cls, reason: Reason, message: str, retry_after_s: int = 0) -> Refusal:
        """Refuse a request that was not run."""
        return cls(reason, Outcome.NOT_RUN, message, retry_after_s)

    @classmethod
    def unknown(cls, reason: Reason, message: str, retry_after_s: int = 0) -> Refusal:
        """Refuse a request that may have run."""
        return cls(reason, Outcome.UNKNOWN, message, retry_after_s)


class RefusedError(Exception):
    """Carries a refusal to the handler that responds with it."""

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(f"{refusal.reason}: {refusal.message}")


def bad_request(place: str, message: str) -> RefusedError:
    """Return the error for a malformed request, with its invalid part."""
    return RefusedError(Refusal(Reason.BAD_REQUEST, Outcome.NOT_RUN, message, place=place))


__all__ = [
    "BEHIND",
    "DEFAULT_RETRY_AFTER_S",
    "Outcome",
    "Reason",
    "Refusal",
    "RefusedError",
    "bad_request",
]
