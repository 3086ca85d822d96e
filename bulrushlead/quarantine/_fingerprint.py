"""Which requests are the same one, sent again."""

import hashlib

from bulrushlead.http1 import Request

FINGERPRINT_BYTES = 16
# What names the caller in HTTP itself (RFC 9110, section 11.6.2). Other fields may
# differ between two tries of one request: identifiers, deadlines, traces, framing.
CALLER_HEADER = b"authorization"


def request_fingerprint(request: Request, organisation: str = "") -> str:
    """Return a digest of what stays the same when a caller sends a request again.

    It covers method, host, target, the caller and the body without its transfer coding.
    The caller is its organisation, which may use several keys, or else whoever the
    credentials name. The digest is cryptographic: nobody can send a request that has
    the fingerprint of another caller's request.

    Parameters
    ----------
    request : Request
        The request.
    organisation : str
        Organisation of the caller; empty if it has none.

    Returns
    -------
    str
        Hexadecimal digits, which show neither credentials nor body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    caller = request.header(CALLER_HEADER) or b""
    if organisation:
        digest.update(b"organisation")
        caller = organisation.encode()
    parts = (
        request.method,
        (request.header(b"host") or b"").lower(),
        request.target,
        caller,
    )
    for part in parts:
        # The lengths keep two requests apart whose parts are divided differently.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(request.body_digest)
    return digest.hexdigest()
