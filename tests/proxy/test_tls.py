"""TLS of the callers' listener, and mutual TLS between VMs."""

from __future__ import annotations

import datetime
import json
import pathlib
import ssl

import anyio
import anyio.abc
import httpx
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from zinniastand_proxy import daemon, settings
from zinniastand_standins import site

pytestmark = pytest.mark.anyio

DAY = datetime.timedelta(days=1)
SERVICE_PLAN = site.plan_lookups(targets=1, slots=4, work_time=0.0)


class Authority:
    """A certificate authority that writes its files to a folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "ca")])
        builder = self._start_certificate(self._name, self._key).add_extension(
            x509.BasicConstraints(ca=True, path_length=None), critical=True
        )
        self.path = folder / "ca.pem"
        signed = builder.sign(self._key, hashes.SHA256())
        self.path.write_bytes(signed.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> dict[str, str]:
        """Issue a certificate for a DNS name; return its section of the settings."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
        builder = self._start_certificate(subject, key).add_extension(
            x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False
        )
        certificate = self._folder / f"{name}.pem"
        signed = builder.sign(self._key, hashes.SHA256())
        certificate.write_bytes(signed.public_bytes(serialization.Encoding.PEM))
        private_key = self._folder / f"{name}.key"
        private_key.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        paths = {"certificate": certificate, "key": private_key, "authority": self.path}
        return {field: str(path) for field, path in paths.items()}

    def _start_certificate(
        self, subject: x509.Name, key: ec.EllipticCurvePrivateKey
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - DAY)
            .not_valid_after(now + DAY)
        )


async def start_daemon(
    local_site: site.Site, group: anyio.abc.TaskGroup, vm: str, **changes: object
) -> daemon.Daemon:
    """Start a daemon whose peer URL is a TLS one; `changes` replaces settings."""
    document = local_site.make_settings(vm)
    document["peers"]["url"] = document["peers"]["url"].replace("ws://", "wss://")
    document.update(changes)
    process = daemon.Daemon(settings.parse(json.dumps(document), vm).ok)
    await group.start(process.run)
    local_site.list_vm(vm, "dc-1", document["peers"]["url"])
    return process


def list_alive(process: daemon.Daemon) -> set[str]:
    """Return the names of the other VMs that a daemon considers alive."""
    return {member.vm for member in process.list_members()}


async def test_vm_with_a_certificate_of_another_name_is_not_let_in(
    tmp_path: pathlib.Path,
) -> None:
    # Two VMs have certificates of the same authority for their own names and become
    # members of one fleet. The third one's certificate is for another name, so neither
    # of them may accept it.
    authority = Authority(tmp_path)
    async with anyio.create_task_group() as group:
        local_site = site.Site(group)
        await local_site.start_platform()
        await local_site.start_targets([SERVICE_PLAN])
        local_site.publish()
        first = await start_daemon(
            local_site, group, "vm-1", peers_tls=authority.issue("vm-1")
        )
        second = await start_daemon(
            local_site, group, "vm-2", peers_tls=authority.issue("vm-2")
        )
        impostor = await start_daemon(
            local_site, group, "vm-3", peers_tls=authority.issue("somebody")
        )
        with anyio.fail_after(20):
            while not (list_alive(first) and list_alive(second)):
                await anyio.sleep(0.1)
        await anyio.sleep(3)
        assert list_alive(first) == {"vm-2"}
        assert list_alive(second) == {"vm-1"}
        assert list_alive(impostor) == set()
        group.cancel_scope.cancel()


async def test_callers_are_served_over_tls(tmp_path: pathlib.Path) -> None:
    authority = Authority(tmp_path)
    identity = authority.issue("localhost")
    del identity["authority"]
    async with anyio.create_task_group() as group:
        local_site = site.Site(group)
        await local_site.start_platform()
        await local_site.start_targets([SERVICE_PLAN])
        local_site.publish()
        process = await start_daemon(
            local_site, group, "vm-1", callers_tls=identity,
            peers_tls=authority.issue("vm-1"),
        )  # fmt: skip
        context = ssl.create_default_context(cafile=str(authority.path))
        async with httpx.AsyncClient(verify=context, http2=True) as client:
            with anyio.fail_after(20):
                while not process.table.routers:
                    await anyio.sleep(0.05)
            reply = await client.get(f"https://localhost:{process.caller_port}/items/1")
        assert reply.status_code == 200
        assert reply.http_version == "HTTP/2"
        group.cancel_scope.cancel()
