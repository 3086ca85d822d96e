"""Digest that tells whether two requests with one key are the same."""

import hashlib

DIGEST_BYTES = 16


def request_digest(method: str, path_qs: str, body: bytes) -> bytes:
    """Return the digest over method, path and body.

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
        `DIGEST_BYTES` bytes; a cryptographic hash, so that no caller can make
        two requests that pass for one.
    """
    head = f"{method}\n{path_qs}\n".encode()
    return hashlib.sha256(head + body).digest()[:DIGEST_BYTES]


def key_print(service: str, key: str) -> int:
    """Return the 64-bit fingerprint of a key.

    Parameters
    ----------
    service, key : str
        The key, and the service within which it is unique.
    """
    digest = hashlib.blake2b(f"{service}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
