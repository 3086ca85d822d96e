"""TLS contexts for the connections between processes."""

import ssl
from typing import Protocol

from bulrushlead.results import BulrushleadError, ResultCode


class TlsFiles(Protocol):
    """Paths of the PEM files of one process."""

    certificate_file: str
    key_file: str
    authority_file: str


def server_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a server context that requires a certificate signed by the authority.

    Raises
    ------
    BulrushleadError
        With ``SETTINGS_UNREADABLE`` if a file cannot be loaded.
    """
    return _build_context(ssl.PROTOCOL_TLS_SERVER, files)


def client_context(files: TlsFiles) -> ssl.SSLContext:
    """Return a client context that presents the certificate of this process.

    The server's certificate must be signed by the authority. Its name is not
    verified, since processes connect by IP address and the address of a host can
    change.

    Raises
    ------
    BulrushleadError
        With ``SETTINGS_UNREADABLE`` if a file cannot be loaded.
    """
    context = _build_context(ssl.PROTOCOL_TLS_CLIENT, files)
    context.check_hostname = False
    return context


def _build_context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    try:
        context.load_cert_chain(files.certificate_file, files.key_file)
        context.load_verify_locations(files.authority_file)
    except (OSError, ssl.SSLError) as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE,
            f"tls files {files.certificate_file!r}, {files.key_file!r}, "
            f"{files.authority_file!r}: {error}; name readable PEM files",
        ) from error
    context.verify_mode = ssl.CERT_REQUIRED
    return context
