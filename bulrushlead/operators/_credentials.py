"""TLS credentials of operators' calls, loaded from files."""

import ssl
from pathlib import Path

import attrs
import grpc

from bulrushlead.results import BulrushleadError, ResultCode


@attrs.frozen
class Credentials:
    """Paths of the TLS files of a client or server of operators' calls.

    Parameters
    ----------
    key_path : str
        Private key, in PEM format.
    certificate_path : str
        Certificate of the key, in PEM format. The common name of a client's
        certificate is the author of its changes.
    authority_path : str
        Certificate of the authority that signs the peer's certificate, in PEM
        format.
    server_name : str
        Name to expect in the server's certificate instead of its IP address; used
        by clients only.
    allowed_authors : tuple of str
        Common names that may call; empty admits every client whose certificate the
        authority signed. Used by servers only.
    """

    key_path: str
    certificate_path: str
    authority_path: str
    server_name: str = ""
    allowed_authors: tuple[str, ...] = ()

    def for_server(self) -> grpc.ServerCredentials:
        """Return server credentials that require a signed client certificate.

        Raises
        ------
        BulrushleadError
            With ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID`` and the path of
            the file.
        """
        key, certificate, authority = self._load_files()
        return grpc.ssl_server_credentials(
            [(key, certificate)], authority, require_client_auth=True
        )

    def for_client(self) -> grpc.ChannelCredentials:
        """Return channel credentials that present the client certificate.

        Raises
        ------
        BulrushleadError
            With ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID`` and the path of
            the file.
        """
        key, certificate, authority = self._load_files()
        return grpc.ssl_channel_credentials(authority, key, certificate)

    def _load_files(self) -> tuple[bytes, bytes, bytes]:
        contents = tuple(
            _read_file(path)
            for path in (self.key_path, self.certificate_path, self.authority_path)
        )
        # gRPC reports an invalid key only when a connection fails, so check here.
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        try:
            context.load_cert_chain(self.certificate_path, self.key_path)
        except (ssl.SSLError, ValueError) as error:
            raise _invalid_file_error(
                f"{self.key_path} is not the key of {self.certificate_path}", error
            ) from error
        try:
            context.load_verify_locations(self.authority_path)
        except (ssl.SSLError, ValueError) as error:
            raise _invalid_file_error(
                f"{self.authority_path} is not a certificate", error
            ) from error
        return contents


def _read_file(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise BulrushleadError(
            ResultCode.SETTINGS_UNREADABLE,
            f"cannot read TLS file {path}: {error.strerror}; check the path",
        ) from error


def _invalid_file_error(detail: str, error: Exception) -> BulrushleadError:
    return BulrushleadError(
        ResultCode.SETTINGS_INVALID, f"{detail}: {str(error)[:200]}; use PEM format"
    )
