"""Names of the HTTP headers that threadramp reads and writes."""

from __future__ import annotations

REQUEST_ID = "X-Request-Id"
ATTEMPT = "X-Attempt"
DEADLINE_MS = "X-Deadline-Ms"
PRIORITY = "X-Priority"
REPEATABLE = "X-Repeatable"
TICKET = "X-Ticket"
IDEMPOTENCY_KEY = "Idempotency-Key"
BINDING = "X-Binding"
CHANGE_ID = "X-Change-Id"
OUTCOME = "X-Outcome"
REVISION = "X-Revision"
REFUSAL = "X-Refusal"
BODY_DIGEST = "X-Body-Digest"
REPLAYED = "X-Replayed"
ENDPOINT = "X-Endpoint"
QUEUE = "X-Load"

__all__ = [
    "ATTEMPT",
    "BINDING",
    "BODY_DIGEST",
    "CHANGE_ID",
    "DEADLINE_MS",
    "ENDPOINT",
    "IDEMPOTENCY_KEY",
    "OUTCOME",
    "PRIORITY",
    "QUEUE",
    "REFUSAL",
    "REPEATABLE",
    "REPLAYED",
    "REQUEST_ID",
    "REVISION",
    "TICKET",
]
