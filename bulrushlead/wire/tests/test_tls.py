"""Only processes with certificates of the same authority accept each other."""

import datetime
import ipaddress

import attrs
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bulrushlead.clock import MonotonicClock
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.wire import (
    MessageClient,
    MessageServer,
    client_context,
    message,
    server_context,
)


@message("test.tls_echo")
class Echo:
    text: str


@attrs.frozen
class Files:
    certificate_file: str
    key_file: str
    authority_file: str


def build_x509_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Authority:
    """Certificate authority that writes certificates and keys as PEM files."""

    def __init__(self, folder, name):
        self.folder, self.name = folder, name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self.sign(name, self.key.public_key(), is_authority=True)
        self.path = str(folder / f"{name}.pem")
        self.write_certificate(self.path, self.certificate)

    def sign(self, name, public_key, is_authority=False):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(build_x509_name(name))
            .issuer_name(build_x509_name(self.name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        )
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        if not is_authority:
            builder = builder.add_extension(
                x509.SubjectAlternativeName([address]), critical=False
            )
        return builder.sign(self.key, hashes.SHA256())

    def write_certificate(self, path, certificate):
        with open(path, "wb") as file:
            file.write(certificate.public_bytes(serialization.Encoding.PEM))

    def issue_files(self, name):
        key = ec.generate_private_key(ec.SECP256R1())
        paths = [str(self.folder / f"{name}.{kind}") for kind in ("crt", "key")]
        self.write_certificate(paths[0], self.sign(name, key.public_key()))
        with open(paths[1], "wb") as file:
            file.write(
                key.private_bytes(
                    serialization.Encoding.PEM,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                )
            )
        return Files(paths[0], paths[1], self.path)


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path, "authority")


@pytest.fixture
async def server(authority):
    files = authority.issue_files("server")
    server = MessageServer("127.0.0.1", 0, ssl_context=server_context(files))

    async def echo(request):
        return request

    server.register_handler(Echo, echo)
    await server.start()
    yield server
    await server.close()


async def call(server, context):
    client = MessageClient(
        f"127.0.0.1:{server.bound_port}", MonotonicClock(), ssl_context=context
    )
    try:
        return await client.call(Echo("hello"), 10_000)
    finally:
        await client.close()


async def test_client_with_a_signed_certificate_is_answered(server, authority):
    context = client_context(authority.issue_files("entry"))
    assert await call(server, context) == Echo("hello")


async def test_client_without_a_certificate_is_refused(server):
    with pytest.raises(BulrushleadError):
        await call(server, None)


async def test_client_certificate_of_another_authority_is_refused(
    server, authority, tmp_path
):
    other = Authority(tmp_path, "other").issue_files("stranger")
    # The client trusts the server, but the server does not trust the authority
    # that signed the certificate of the client.
    files = attrs.evolve(other, authority_file=authority.path)
    with pytest.raises(BulrushleadError):
        await call(server, client_context(files))


async def test_client_does_not_trust_a_server_of_another_authority(server, tmp_path):
    files = Authority(tmp_path, "other").issue_files("stranger")
    with pytest.raises(BulrushleadError) as caught:
        await call(server, client_context(files))
    assert caught.value.code is ResultCode.PEER_UNREACHABLE


def test_error_names_missing_files(tmp_path):
    files = Files(str(tmp_path / "none.crt"), "none.key", "none.pem")
    with pytest.raises(BulrushleadError) as caught:
        server_context(files)
    assert caught.value.code is ResultCode.SETTINGS_UNREADABLE
    assert "none.crt" in caught.value.detail
