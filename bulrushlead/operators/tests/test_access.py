"""TLS of operators' calls.

The tests guard against calls by clients without a certificate of the right authority
and against changes recorded under a name that the client chose itself.
"""

import datetime
import ipaddress

import attrs
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bulrushlead.operators import (
    Credentials,
    OperatorClient,
    OperatorServer,
    RefusedError,
)
from bulrushlead.operators.tests.fake_log import FakeLog, ManualClock
from bulrushlead.operators.tests.samples import BASE
from bulrushlead.results import BulrushleadError, ResultCode

NOT_BEFORE = datetime.datetime(2020, 1, 1)
NOT_AFTER = datetime.datetime(2120, 1, 1)


@attrs.frozen
class Authority:
    """Certificate authority that is generated for a test."""

    folder: object
    name: str
    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate

    def issue(self, common_name, **fields) -> Credentials:
        key = ec.generate_private_key(ec.SECP256R1())
        alternative_names = x509.SubjectAlternativeName(
            [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
        )
        certificate = (
            _certificate_builder(common_name, self.certificate.subject, key)
            .add_extension(alternative_names, critical=False)
            .sign(self.key, hashes.SHA256())
        )
        file_stem = f"{self.name}-{common_name}"
        return Credentials(
            _write_key(self.folder / f"{file_stem}.key", key),
            _write_certificate(self.folder / f"{file_stem}.pem", certificate),
            _write_certificate(self.folder / f"{self.name}.pem", self.certificate),
            **fields,
        )


def make_authority(folder, name) -> Authority:
    key = ec.generate_private_key(ec.SECP256R1())
    constraints = x509.BasicConstraints(ca=True, path_length=None)
    certificate = (
        _certificate_builder(name, _x509_name(name), key)
        .add_extension(constraints, critical=True)
        .sign(key, hashes.SHA256())
    )
    return Authority(folder, name, key, certificate)


def _x509_name(name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _certificate_builder(name, issuer, key):
    return (
        x509.CertificateBuilder()
        .subject_name(_x509_name(name))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(NOT_BEFORE)
        .not_valid_after(NOT_AFTER)
    )


def _write_key(path, key) -> str:
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(path)


def _write_certificate(path, certificate) -> str:
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return str(path)


@pytest.fixture
def authority(tmp_path):
    return make_authority(tmp_path, "authority")


@pytest.fixture
async def tls_server(authority):
    credentials = authority.issue("control", allowed_authors=("ana", "omar"))
    server = OperatorServer("127.0.0.1", 0, FakeLog(1).replicas[0], credentials)
    await server.start()
    yield server
    await server.close()


async def apply_as(server, credentials, author="somebody"):
    address = f"127.0.0.1:{server.bound_port}"
    client = OperatorClient([address], ManualClock(), credentials, timeout_ms=300)
    try:
        await client.apply(BASE, 0, author=author)
        return (await client.history(1))[0].author
    finally:
        await client.close()


async def test_author_is_the_common_name_of_the_certificate(tls_server, authority):
    assert await apply_as(tls_server, authority.issue("ana"), author="omar") == "ana"


async def test_author_outside_the_allowed_list_is_refused(tls_server, authority):
    with pytest.raises(RefusedError) as caught:
        await apply_as(tls_server, authority.issue("eve"))
    assert caught.value.code is ResultCode.NOT_AUTHORISED
    assert "'eve'" in caught.value.detail


async def test_client_without_a_certificate_is_refused(tls_server):
    with pytest.raises(RefusedError) as caught:
        await apply_as(tls_server, None)
    assert caught.value.code is ResultCode.NOT_AUTHORISED
    assert "present a certificate signed by its authority" in caught.value.detail
    assert tls_server.backend.state.current.revision == 0


async def test_certificate_of_another_authority_is_refused(
    tls_server, authority, tmp_path
):
    other = make_authority(tmp_path, "other").issue("ana")
    one_way_trust = attrs.evolve(
        other, authority_path=authority.issue("x").authority_path
    )
    for credentials in (other, one_way_trust):
        with pytest.raises(RefusedError) as caught:
            await apply_as(tls_server, credentials)
        assert caught.value.code is ResultCode.NOT_AUTHORISED
    assert "present a certificate signed by its authority" in caught.value.detail
    assert tls_server.backend.state.current.revision == 0


@pytest.mark.parametrize(
    ("field", "content", "code"),
    [
        ("key_path", None, ResultCode.SETTINGS_UNREADABLE),
        ("key_path", b"no key", ResultCode.SETTINGS_INVALID),
        ("certificate_path", b"no certificate", ResultCode.SETTINGS_INVALID),
        ("authority_path", b"no certificate", ResultCode.SETTINGS_INVALID),
    ],
)
async def test_unusable_tls_files_are_named_at_start(
    authority, tmp_path, field, content, code
):
    path = tmp_path / "broken.pem"
    if content is not None:
        path.write_bytes(content)
    broken = attrs.evolve(authority.issue("control"), **{field: str(path)})
    server = OperatorServer("127.0.0.1", 0, FakeLog(1).replicas[0], broken)
    with pytest.raises(BulrushleadError, match=r"broken\.pem") as caught:
        await server.start()
    assert caught.value.code is code
    await server.close()
