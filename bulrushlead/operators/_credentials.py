"""Keys from files for operators' calls."""

import ssl
from pathlib import Path

import attrs
import grpc

from bulrushlead.results import BulrushleadError, ResultCode


@attrs.frozen
class Credentials:
    """Paths of the keys of one side of operators' calls.

    Parameters
    ----------
    key_path : str
        Private key, PEM.
    certificate_path : str
        Certificate of the key, PEM; its common name is the author of changes.
    authority_path : str
        Certificate of the authority that signs the other side, PEM.
    server_name : str
        Name to expect in the server's certificate instead of its IP number; used
        by the calling side only.
    allowed_authors : tuple of str
        Common names that may call; empty admits every client that the authority
        signed. Used by the answering side only.
    """

    key_path: str
    certificate_path: str
    authority_path: str
    server_name: str = ""
    allowed_authors: tuple[str, ...] = ()

    def for_server(self) -> grpc.ServerCredentials:
        """Return credentials that require a signed client certificate.

        Raises
        ------
        BulrushleadError
            With ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID`` naming the file.
        """
        key, certificate, authority = self._read()
        return grpc.ssl_server_credentials(
            [(key, certificate)], authority, require_client_auth=True
        )

    def for_client(self) -> grpc.ChannelCredentials:
        """Return credentials that prove who calls.

        Raises
        ------
        BulrushleadError
            With ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID`` naming the file.
        """
        key, certificate, authority = self._read()
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def _read(self) -> tuple[bytes, bytes, bytes]:
        contents = tuple(
            _read_file(path)
            for path in (self.key_path, self.certificate_path, self.authority_path)
        )
        # gRPC reports bad keys only when a connection fails.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        try:
            context.load_cert_chain(self.certificate_path, self.key_path)
        except (ssl.SSLError, ValueError) as error:
            raise _invalid(
                f"{self.key_path} is no key of {self.certificate_path}", error
            ) from error
        try:
            context.load_verify_locations(self.authority_path)
        except (ssl.SSLError, ValueError) as error:
            raise _invalid(f"{self.authority_path} is no certificate", error) from error
        return contents


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE,
            f"key file {path}: {error.strerror}; check the path",
        ) from error


def _invalid(detail: str, error: Exception) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.SETTINGS_INVALID, f"{detail}: {str(error)[:200]}; use PEM files"
    )
