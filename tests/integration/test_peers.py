"""Check that the processes of a site authenticate each other, also over TLS."""

import asyncio
import signal

import pytest
from support.peers import Authority, build_agent_side, build_entry_side, build_key

from fescuedrum.conf import schema
from fescuedrum.exceptions import PeerRefusedError
from fescuedrum.tls import Certificates
from fescuedrum.wire import codec
from fescuedrum.wire.connection import FrameConnection
from fescuedrum.wire.gen.frames import ttypes as frames
from fescuedrum.wire.handshake import Keyring
from fescuedrum_bench.callers import Caller
from fescuedrum_bench.member import PORT
from fescuedrum_bench.site import Site, SiteShape


async def test_requests_pass_a_site_whose_processes_use_tls(tmp_path):
    """Check TLS between peers, and new certificates, if all share one server name."""
    authority = Authority(tmp_path)
    files = authority.issue("peers", dns="peers.test")
    settings = {"peer_tls": schema.dump(files)}
    shape = SiteShape(
        zones=2,
        engines=1,
        services=1,
        entry_settings=settings,
        agent_settings=settings,
    )
    async with Site(shape, ["club"]) as site:
        callers = [
            Caller(site.session, entry.url, "club", site.keys["club"])
            for entry in site.entries
        ]
        records = [await caller.book("order-1") for caller in callers]
        records += [await caller.stream("advice") for caller in callers]
        # A connection without TLS gets no handshake.
        stranger = await open_connection(site.agents[0])
        stranger.send(hello=frames.Hello(role="entry", nonce=b"n" * 32))
        assert b"agent" not in await stranger.reader.read()
        stranger.close()
        first = await shown_certificate(site.agents[0], files)
        authority.issue("peers", dns="peers.test")
        for member in [*site.entries, *site.agents]:
            member.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(20):
            while await shown_certificate(site.agents[0], files) == first:
                await asyncio.sleep(0.05)
        records += [await caller.book("order-2") for caller in callers]
    assert all(record.whole for record in records)


async def shown_certificate(member, files):
    """Return the serial number of the certificate that a process uses now."""
    context = Certificates().client_context(files)
    _, writer = await asyncio.open_connection(
        member.host, PORT, ssl=context, server_hostname=files.server_name
    )
    serial = writer.get_extra_info("peercert")["serialNumber"]
    writer.transport.abort()
    return serial


async def test_an_agent_runs_no_request_of_an_unauthenticated_peer():
    """Guard against running a request of an attacker who connects to an agent.

    The agent must neither run it nor reveal anything about itself.
    """
    shape = SiteShape(entries=1, engines=0, services=1)
    order = frames.Request(
        number=1, attempt=1, method="POST", path="/bookings", budget_ms=1000, window=1
    )
    async with Site(shape, ["club"]) as site:
        agent = site.agents[0]
        blunt = await open_connection(agent)
        blunt.send(request=order)
        assert await blunt.receive() is None
        guesser = await open_connection(agent)
        side = build_entry_side(Keyring([build_key("guess")]), agent.name)
        guesser.send_all(side.open())
        challenge = codec.get_body(await guesser.receive())
        assert isinstance(challenge, frames.Challenge)
        guesser.send_all(side.receive(challenge))
        guesser.send(request=order)
        assert await guesser.receive() is None
        executions = await site.fetch_json(f"{site.endpoints[0].url}/executions")
    assert executions == {}


async def open_connection(member):
    """Return a connection to the peer port of a process."""
    return FrameConnection(*await asyncio.open_connection(member.host, PORT))


async def test_an_entry_sends_no_request_to_a_process_without_the_key():
    """Guard against an attacker who takes over the address of an agent."""
    async with asyncio.timeout(20):
        seen = []

        async def pretend(reader, writer):
            connection = FrameConnection(reader, writer)
            side = build_agent_side(Keyring([build_key("guess")]))
            while (frame := await connection.receive()) is not None:
                body = codec.get_body(frame)
                seen.append(body)
                # Without the key it can't check the entry's proof; it continues anyway.
                side.keyring = Keyring([])
                answers = side.receive(body) if len(seen) < 3 else []
                connection.send_all(answers)

        server = await asyncio.start_server(pretend, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        near = FrameConnection(*await asyncio.open_connection("127.0.0.1", port))
        with pytest.raises(PeerRefusedError, match="proved no key"):
            await near.handshake(build_entry_side(Keyring([build_key("site")])))
        near.close()
        server.close()
    assert {type(body) for body in seen} == {frames.Hello, frames.Proof}
