"""Check TLS between processes, and the reload of renewed certificates."""

import asyncio
import os
import ssl

import pytest
from support.callers import build_entry
from support.peers import Authority

from fescuedrum.tls import TlsFiles
from fescuedrum.wire.peers import Peers
from fescuedrum_entry.connection.callers import CallersRunner


async def listen(files):
    peers = Peers([], files, None)

    async def serve(reader, writer):
        writer.write(await reader.readline())
        writer.close()

    server = await peers.listen(serve, "127.0.0.1", 0)
    return peers, server, server.sockets[0].getsockname()[1]


async def exchange(peers, port):
    """Exchange a line with a server; return the serial number of its certificate."""
    reader, writer = await peers.connect("127.0.0.1", port)
    writer.write(b"line\n")
    assert await reader.readline() == b"line\n"
    serial = writer.get_extra_info("peercert")["serialNumber"]
    writer.close()
    return serial


async def test_a_renewed_certificate_is_used_without_a_restart(tmp_path):
    """Guard against an expired certificate in a process that runs for months.

    A renewal writes two files; while certificate and key don't match, the old pair must
    stay in use.
    """
    authority = Authority(tmp_path)
    files = authority.issue("agent")
    peers, server, port = await listen(files)
    client = Peers([], authority.issue("entry"), None)
    first = await exchange(client, port)
    old_key = (tmp_path / "agent.key").read_bytes()
    authority.issue("agent")
    new_key = (tmp_path / "agent.key").read_bytes()
    (tmp_path / "agent.key").write_bytes(old_key)
    peers.certificates.refresh()
    assert await exchange(client, port) == first
    (tmp_path / "agent.key").write_bytes(new_key)
    os.utime(files.key, ns=(1, 1))
    peers.certificates.refresh()
    assert await exchange(client, port) != first
    server.close()


async def test_both_sides_refuse_a_peer_of_another_authority(tmp_path):
    (tmp_path / "ours").mkdir()
    (tmp_path / "theirs").mkdir()
    ours, theirs = Authority(tmp_path / "ours"), Authority(tmp_path / "theirs")
    _, server, port = await listen(ours.issue("agent"))
    # It trusts the agent but presents a certificate that the agent does not trust.
    issued = theirs.issue("entry")
    untrusted_files = TlsFiles(issued.certificate, issued.key, str(ours.path))
    with pytest.raises((OSError, asyncio.IncompleteReadError, AssertionError)):
        await exchange(Peers([], untrusted_files, None), port)
    with pytest.raises(ssl.SSLCertVerificationError):
        await exchange(Peers([], theirs.issue("other"), None), port)
    server.close()


async def test_a_certificate_for_another_address_is_refused(tmp_path):
    authority = Authority(tmp_path)
    _, server, port = await listen(authority.issue("agent", host="127.0.0.9"))
    with pytest.raises(ssl.SSLCertVerificationError):
        await exchange(Peers([], authority.issue("entry"), None), port)
    server.close()


async def test_callers_reach_an_entry_over_tls_with_the_newest_certificate(tmp_path):
    """Check a renewal of the callers' certificate while connections stay open."""
    authority = Authority(tmp_path)
    files = authority.issue("entry")
    entry = build_entry(callers_tls=files)
    entry.settings.port = 0
    runner = CallersRunner(entry.build_application(), entry.settings)
    await runner.setup()
    await entry.listen(runner)
    port = runner.addresses[0][1]
    context = ssl.create_default_context(cafile=str(authority.path))
    serials = []
    for _ in range(2):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
        serials.append(writer.get_extra_info("peercert")["serialNumber"])
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert b"200 OK" in await reader.read()
        authority.issue("entry")
        entry.callers_tls.refresh()
    await runner.cleanup()
    assert serials[0] != serials[1]
