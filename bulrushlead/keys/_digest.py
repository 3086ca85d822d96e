"""Digest of a keyed request, and fingerprint of a key."""

import hashlib

DIGEST_BYTES = 16


def request_digest(method: str, path_qs: str, body: bytes) -> bytes:
    """Return the digest over method, path and body.

    Two requests with one key are the same if their digests are equal.

    Parameters
    ----------
    method : str
        HTTP method.
    path_qs : str
        Path with query string.
    body : bytes
        The whole body.

    Returns
    -------
    bytes
        `DIGEST_BYTES` bytes of a cryptographic hash, so that no caller can
        construct two different requests with the same digest.
    """
    head = f"{method}\n{path_qs}\n".encode()
    return hashlib.sha256(head + body).digest()[:DIGEST_BYTES]


def key_fingerprint(service: str, key: str) -> int:
    """Return the 64-bit fingerprint of a key.

    Parameters
    ----------
    service, key : str
        The key, and the service within which it is unique.
    """
    digest = hashlib.blake2b(f"{service}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
