"""threadramp: a rollout service that shares engines between callers and trainers."""

from __future__ import annotations

VERSION = "0.1.0"

__all__ = ["VERSION"]
