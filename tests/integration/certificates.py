"""Generates TLS certificates for tests."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

LIFETIME = datetime.timedelta(days=1)


def write_certificates(directory: pathlib.Path) -> dict[str, str]:
    """Write a CA and a certificate for 127.0.0.1; return the paths by name.

    :param directory: where the PEM files are written.
    """
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = _sign(
        "authority", authority_key, "authority", authority_key, True
    )
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _sign("instance", key, "authority", authority_key, False)
    contents = {
        "authority": authority.public_bytes(serialization.Encoding.PEM),
        "certificate": certificate.public_bytes(serialization.Encoding.PEM),
        "private_key": key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    }
    for name, content in contents.items():
        (directory / f"{name}.pem").write_bytes(content)
    return {name: str(directory / f"{name}.pem") for name in contents}


def _sign(
    name: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: str,
    issuer_key: ec.EllipticCurvePrivateKey,
    is_authority: bool,
) -> x509.Certificate:
    now = datetime.datetime.now(datetime.UTC)
    loopback = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(_make_name(name))
        .issuer_name(_make_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - LIFETIME)
        .not_valid_after(now + LIFETIME)
        .add_extension(x509.BasicConstraints(is_authority, None), True)
        .add_extension(x509.SubjectAlternativeName([loopback]), False)
        .sign(issuer_key, hashes.SHA256())
    )


def _make_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
