"""Check the beacons that gateways send to each other without delay."""

import asyncio

from support.clock import run_paused
from support.dialect import MemoryRowStore, PlainAdapter
from support.gateways import build_settings

from fescuedrum.wire.datagrams import decode, encode
from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.process.gateway import Gateway

GATEWAYS = 39


class RecordingTransport:
    """Record the beacons that are sent, with their times."""

    def __init__(self):
        self.sent = []

    def close(self):
        self.closed_at = asyncio.get_running_loop().time()

    def sendto(self, payload, address):
        now = asyncio.get_running_loop().time()
        self.sent.append((now, decode(Beacon, payload)))


def build_gateway():
    settings = build_settings("gateway-1", "10.0.0.1", (1, 2, 3))
    gateway = Gateway(settings, PlainAdapter(MemoryRowStore()), incarnation=1)
    gateway.build_followers()
    gateway.peers.transport = RecordingTransport()
    for number in range(2, GATEWAYS + 1):
        gateway.peers.add_host(f"10.0.0.{number}")
    for peer in gateway.peers.hosts.values():
        peer.last_heard_at = 0.0
    return gateway


def test_a_stop_is_announced_at_once_although_beacons_are_rate_limited():
    """Guard against a second in which no gateway manages the groups' expert maps.

    The gateway that manages them stops just after a beacon. Among 39 gateways beacons
    are sent every 0.6 s, and another takes over only when it hears of the stop.
    """

    async def run():
        gateway = build_gateway()
        gateway.peers.broadcast_now()
        gateway.peers.announce_change()
        draining = asyncio.create_task(gateway.drain())
        await asyncio.sleep(0)
        sent = gateway.peers.transport.sent
        draining.cancel()
        return [now for now, beacon in sent if beacon.leaving]

    assert run_paused(run()) == [0.0] * (GATEWAYS - 1)


def test_nothing_is_sent_after_a_gateway_has_closed_its_socket(caplog):
    """Guard against an error in the log of every stopped gateway.

    It comes about when a beacon is due after the socket was closed.
    """

    async def run():
        gateway = build_gateway()
        transport = gateway.peers.transport
        transport.sent.clear()
        gateway.peers.announce_change()
        gateway.peers.close()
        await asyncio.sleep(1.0)
        gateway.peers.announce_change()
        await asyncio.sleep(1.0)
        return transport

    transport = run_paused(run())
    assert transport.closed_at == 0.0
    assert transport.sent == []
    assert caplog.records == []


def test_the_first_answer_tells_a_new_gateway_about_all_others():
    """Guard against an overloaded cold engine.

    It comes about when a new gateway counts only its seeds among the gateways that
    share the engine's limit.
    """

    async def run():
        gateway = build_gateway()
        asking = Beacon(
            instance="new",
            host="10.0.0.9",
            incarnation=2,
            sequence=1,
            wants_answer=True,
        )
        gateway.peers.transport.sent.clear()
        gateway.peers.datagram_received(encode(asking), ("10.0.0.9", 1))
        return [beacon for _, beacon in gateway.peers.transport.sent]

    answers = run_paused(run())
    assert [len(beacon.known_hosts) for beacon in answers] == [GATEWAYS - 1]


async def test_an_urgent_announcement_is_sent_twice():
    """Guard against a lost datagram that leaves a gateway without an urgent change."""
    gateway = build_gateway()
    for peer in gateway.peers.hosts.values():
        peer.last_heard_at = gateway.peers.loop.time()
    sent = gateway.peers.transport.sent
    # Those with which it introduced itself.
    sent.clear()
    gateway.peers.announce_urgently()
    at_once = len(sent)
    gateway.peers.announce_urgently()
    await asyncio.sleep(0.3)
    gateway.peers.close()
    assert (at_once, len(sent)) == (GATEWAYS - 1, 2 * (GATEWAYS - 1))
