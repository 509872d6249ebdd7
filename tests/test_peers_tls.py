"""Mutual TLS between daemons, with certificates that change.

Only certificates of the fleet's authority may connect, and replacing
the files must take effect without a restart.
"""

import datetime
import ipaddress
from pathlib import Path
from typing import NamedTuple

import grpc
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from plantainsail.daemon import Daemon
from plantainsail.peers.credentials import TlsStore
from plantainsail.peers.links import PeerLinks
from plantainsail.peers.messages import make_heartbeat
from plantainsail.settings import TlsFiles
from tests.standins.platform import Platform, start_daemon

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


class Authority(NamedTuple):
    """A certificate authority."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate


def name_of(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def build(
    subject: str,
    key: ec.EllipticCurvePrivateKey,
    issuer: x509.Name,
    signer: ec.EllipticCurvePrivateKey,
    is_authority: bool,
) -> x509.Certificate:
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    return (
        x509.CertificateBuilder()
        .subject_name(name_of(subject))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(START)
        .not_valid_after(END)
        .add_extension(x509.BasicConstraints(is_authority, None), True)
        .add_extension(x509.SubjectAlternativeName([address]), False)
        .sign(signer, hashes.SHA256())
    )


def make_authority() -> Authority:
    key = ec.generate_private_key(ec.SECP256R1())
    return Authority(key, build("ca", key, name_of("ca"), key, True))


def write_files(folder: Path, authority: Authority) -> TlsFiles:
    """Write a new key and certificate under an authority."""
    folder.mkdir(exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = build(
        "entry", key, authority.certificate.subject, authority.key, False
    )
    encoding = serialization.Encoding.PEM
    files = TlsFiles(*(str(folder / n) for n in ("cert", "key", "ca")))
    Path(files.certificate).write_bytes(certificate.public_bytes(encoding))
    Path(files.private_key).write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    Path(files.authority).write_bytes(
        authority.certificate.public_bytes(encoding)
    )
    return files


def remove(file: str) -> None:
    Path(file).unlink()


async def can_reach(daemon: Daemon, tls: TlsStore | None) -> bool:
    links = PeerLinks(daemon.node.links.token, tls)
    message = make_heartbeat(
        daemon.node.incarnation._replace(address="127.0.0.1:1"),
        is_draining=False,
        is_unsure=False,
    )
    try:
        await links.heartbeat(daemon.node.incarnation.address, message)
    except grpc.RpcError:
        return False
    finally:
        await links.close()
    return True


@pytest.mark.filterwarnings("ignore")
async def test_only_certificates_of_the_authority_can_connect(
    platform: Platform, tmp_path: Path
) -> None:
    authority = make_authority()
    files = write_files(tmp_path / "own", authority)
    daemon = await start_daemon(platform.settings()._replace(peer_tls=files))
    same_authority_files = write_files(tmp_path / "friend", authority)
    other_authority_files = write_files(
        tmp_path / "stranger", make_authority()
    )
    mixed_files = other_authority_files._replace(authority=files.authority)
    assert await can_reach(daemon, TlsStore(same_authority_files))
    assert not await can_reach(daemon, TlsStore(mixed_files))
    assert not await can_reach(daemon, TlsStore(other_authority_files))
    assert not await can_reach(daemon, None)
    await daemon.stop()


async def test_reload_uses_changed_files_and_keeps_old_ones_if_unreadable(
    platform: Platform, tmp_path: Path
) -> None:
    first, second = make_authority(), make_authority()
    files = write_files(tmp_path / "own", first)
    daemon = await start_daemon(platform.settings()._replace(peer_tls=files))
    new_authority_files = write_files(tmp_path / "friend", second)
    assert not await can_reach(daemon, TlsStore(new_authority_files))
    write_files(tmp_path / "own", second)
    assert daemon.node.tls is not None
    assert daemon.node.tls.reload()
    assert not daemon.node.tls.reload()
    assert await can_reach(daemon, TlsStore(new_authority_files))
    remove(files.private_key)
    assert not daemon.node.tls.reload()
    assert await can_reach(daemon, TlsStore(new_authority_files))
    await daemon.stop()
