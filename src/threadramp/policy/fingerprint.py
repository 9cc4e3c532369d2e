"""Fingerprints of requests, made of host, method, target, caller and body, not of the id.

The hash is keyed with the caller, so that no caller can construct a request with the fingerprint of
another caller's request, and so that fingerprints in logs reveal nothing about a body.
"""

from __future__ import annotations

from hashlib import blake2b

FINGERPRINT_BYTES = 16  # a collision by chance needs some 1e10 tracked requests
SHORT_BYTES = 6  # in logs and operator commands
# Stands for the method in fingerprints of work of lots. No request line can carry it, so a call and
# a sample that are alike are suspected apart: neither is refused, nor cleared, by the other one.
OWED_METHOD = "POST of a lot"


def fingerprint(host: str, method: str, target: str, caller: str, body: bytes) -> bytes:
    """Return the fingerprint of a request; takes 1.4 ms for a 1 MB body (``bench.slopes``).

    :param target: path and query
    :param caller: identifies the caller, empty if nothing does
    """
    key = blake2b(caller.encode()).digest() if caller else b""
    digest = blake2b(digest_size=FINGERPRINT_BYTES, key=key)
    for part in (host.lower(), method, target):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(body)
    return digest.digest()


def short_fingerprint(full: bytes) -> str:
    """Return the short form of a fingerprint that is used in logs."""
    return full[:SHORT_BYTES].hex()


__all__ = ["OWED_METHOD", "fingerprint", "short_fingerprint"]
