"""Authenticate messages between the system's processes with the fleet's key."""

from __future__ import annotations

import hashlib
import hmac

TAG_BYTES = 16


class Seal:
    """Signs byte strings with the fleet's key.

    :param key: the fleet's key, of any length
    """

    def __init__(self, key: str) -> None:
        self._key = hashlib.sha256(key.encode()).digest()

    def tag(self, body: bytes) -> bytes:
        """Return the authentication tag of ``body``."""
        return hashlib.blake2b(body, key=self._key, digest_size=TAG_BYTES).digest()

    def wrap(self, body: bytes) -> bytes:
        """Return ``body`` with its tag before it."""
        return self.tag(body) + body

    def unwrap(self, sealed: bytes) -> bytes | None:
        """Return the body, or none if the tag is not the fleet's."""
        body = sealed[TAG_BYTES:]
        if not hmac.compare_digest(sealed[:TAG_BYTES], self.tag(body)):
            return None
        return body

    @property
    def token(self) -> str:
        """Return the bearer token that sidecars expect of gateways."""
        return self.tag(b"sidecar-http").hex()


def digest(body: bytes) -> str:
    """Return the short digest by which two bodies are told apart."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


__all__ = ["Seal", "digest"]
