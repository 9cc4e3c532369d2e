"""Structured logs: a line only for a change of state."""

from __future__ import annotations

import sys
from typing import Any

from eliot import log_message, to_file


def log_to_stderr() -> None:
    """Write the log to standard error as JSON lines."""
    to_file(sys.stderr)


def log_state(what: str, **fields: Any) -> None:
    """Log one change of state; never pass a secret."""
    log_message(message_type=f"threadramp:{what}", **fields)


__all__ = ["log_state", "log_to_stderr"]
