"""Organisations: who may call, how urgently, how often and where."""

import hashlib

from bulrushlead.wire import message

KEY_DIGEST_BYTES = 16


@message("traffic.organisation")
class Organisation:
    """An organisation whose callers identify themselves by a key.

    Parameters
    ----------
    name : str
        Name of the organisation.
    key_digests : tuple of bytes
        Digests of its keys, see ``key_digest``; without any it cannot call.
    priority : int or None
        Rank of its requests, which replaces that of the route; None to keep that.
    rate_per_s : float
        Requests per second that it may send over all hosts; 0 for no limit.
    burst : float
        Requests that it may send beyond the rate at once.
    allowed_regions : tuple of str
        Regions that may run its requests; all if empty.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


def key_digest(key: bytes) -> bytes:
    """Return the digest by which hosts know a key; it does not reveal the key."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()
