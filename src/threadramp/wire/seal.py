"""Authenticates messages between the processes of a fleet with its shared key."""

from __future__ import annotations

import hashlib
import hmac

TAG_BYTES = 16


class Seal:
    """Signs messages with the shared key of the fleet.

    :param key: the shared key, of any length
    """

    def __init__(self, key: str) -> None:
        self._key = hashlib.sha256(key.encode()).digest()

    def tag(self, body: bytes) -> bytes:
        """Return the authentication tag of ``body``."""
        return hashlib.blake2b(body, key=self._key, digest_size=TAG_BYTES).digest()

    def wrap(self, body: bytes) -> bytes:
        """Return ``body`` prefixed with its tag."""
        return self.tag(body) + body

    def unwrap(self, sealed: bytes) -> bytes | None:
        """Return the body, none if its tag is invalid."""
        body = sealed[TAG_BYTES:]
        if not hmac.compare_digest(sealed[:TAG_BYTES], self.tag(body)):
            return None
        return body

    @property
    def token(self) -> str:
        """Return the bearer token with which gateways authenticate to sidecars."""
        return self.tag(b"sidecar-http").hex()


def digest(body: bytes) -> str:
    """Return a short digest of a body, to compare two bodies."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


__all__ = ["Seal", "digest"]
