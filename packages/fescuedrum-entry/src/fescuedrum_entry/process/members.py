"""Track the zone's members, exchange digests with other zones, choose connections."""

import asyncio
import json
import logging
import zlib
from dataclasses import dataclass

from fescuedrum.conf import schema
from fescuedrum.decisions.duties.digests import (
    ServiceSum,
    ZoneDigests,
    ZoneSum,
    digest_interval,
    summarise_zone,
)
from fescuedrum.decisions.duties.membership import HeartbeatInfo, Membership
from fescuedrum.decisions.duties.pacing import allowed_silence, send_interval
from fescuedrum.decisions.placing import topology
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import InstancesNotRead
from fescuedrum.exceptions import StoreUnavailable
from fescuedrum.platform.client import load_instances
from fescuedrum.process import cancel
from fescuedrum.wire.gen.members import ttypes as wire
from fescuedrum_entry.connection.peer import Peer, serve_peer

logger = logging.getLogger(__name__)

ENTRY_ROLE, AGENT_ROLE = "entry", "agent"
# Entries that are not readers of their zone poll the platform less often by this.
SLOW_READ_FACTOR = 10
READ_JITTER = 0.2
MAXIMUM_LISTING_BYTES = 16 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """Describe one member to operators."""

    name: str
    role: str
    zone: str
    state: str
    version: int
    silent: bool


class Members:
    """Hold what an entry knows of other processes, and its connections to entries."""

    __slots__ = (
        "channels",
        "damped",
        "digests",
        "entry",
        "entry_count",
        "has_links_to_close",
        "instances",
        "last_zone_entries",
        "loop",
        "membership",
        "peers",
        "seeds",
        "settings",
    )

    def __init__(self, entry):
        self.entry = entry
        self.settings = entry.settings
        self.membership = Membership()
        self.digests = ZoneDigests()
        self.instances = None
        self.entry_count = 0
        self.channels = set()
        # The zone's entries at the last choice of connections; None forces a choice.
        self.last_zone_entries = None
        # Whether there are links to close once no requests run on them.
        self.has_links_to_close = False
        # Members that appear and disappear too often to get new work yet.
        self.damped = set()
        self.peers = {}
        self.seeds = {}
        self.loop = None

    async def run(self):
        """Track the instance list and the members until cancelled."""
        self.loop = asyncio.get_running_loop()
        for seed in self.settings.seeds:
            peer = Peer(self.entry, seed.name, self.settings.zone, seed.host, seed.port)
            self.seeds[seed.name] = asyncio.create_task(peer.run())
        tasks = [
            asyncio.create_task(self.follow_instances()),
            asyncio.create_task(self.update_states()),
            asyncio.create_task(self.send_digests()),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            await cancel([*tasks, *self.seeds.values(), *self.peers.values()])

    async def listen(self):
        """Return the server that other entries connect to, or None without a port."""
        settings = self.settings
        if not settings.peer_port:
            return None

        async def serve(reader, writer):
            await serve_peer(self.entry, reader, writer)

        return await self.entry.peers.listen(serve, settings.host, settings.peer_port)

    # Intervals

    def interval(self):
        """Return the seconds between heartbeats, which grow with the member count."""
        members = len(self.entry.links) + len(self.channels)
        return send_interval(self.settings.heartbeat_seconds, members)

    def allowed_silence(self):
        """Return the seconds without a heartbeat after which a member is suspected."""
        return allowed_silence(self.settings.silence_seconds, self.interval())

    def read_interval(self):
        """Return the seconds until this entry polls the platform again."""
        jitter = self.entry.random.uniform(1 - READ_JITTER, 1)
        seconds = self.settings.poll_seconds * jitter
        if self.entry.configuration.document is None or self.is_reader():
            return seconds
        return seconds * SLOW_READ_FACTOR

    def is_reader(self):
        """Return whether this entry reads the platform on behalf of its zone."""
        # Without a port for peers, no reader could send this entry what it read.
        if not self.settings.peer_port:
            return True
        name, zone = self.settings.name, self.settings.zone
        return topology.is_reader(name, self.zone_entries(), zone)

    def zone_entries(self):
        """Return the names of the live entries of this zone."""
        return self.membership.alive(ENTRY_ROLE, self.settings.zone)

    # Instance list

    async def follow_instances(self):
        """Read the instance list periodically and update the connections."""
        while True:
            try:
                instances = await self.entry.platform.list_instances()
                if instances is not self.instances:
                    self.update_instances(instances)
                    self.broadcast_listing()
                self.choose_connections()
            except StoreUnavailable as error:
                log_event(logger, InstancesNotRead(str(error)))
            await asyncio.sleep(self.read_interval())

    def update_instances(self, instances):
        """Store a new instance list and update members and connections."""
        self.instances = instances
        self.entry_count = sum(each.role == ENTRY_ROLE for each in instances)
        lines = [
            (each.name, each.role, each.zone, each.service)
            for each in instances
            if each.name != self.settings.name
            and (each.zone == self.settings.zone or each.role == AGENT_ROLE)
        ]
        self.membership.listed(lines, self.loop.time())
        self.last_zone_entries = None
        self.choose_connections()

    def choose_connections(self):
        """Open and close connections if the list or the zone's entries changed."""
        entries = frozenset(self.zone_entries())
        if self.last_zone_entries == entries and not self.has_links_to_close:
            return
        self.last_zone_entries = entries
        self.has_links_to_close = self.entry.update_links(self.choose_agents())
        wanted = self.choose_peers()
        for name in [*self.peers]:
            if name not in wanted:
                self.peers.pop(name).cancel()
        for name, peer in wanted.items():
            if name not in self.peers and name not in self.seeds:
                self.peers[name] = asyncio.create_task(peer.run())

    def choose_agents(self):
        """Return the agents to link to: all of this zone and some of other zones."""
        agents = [each for each in self.instances if each.role == AGENT_ROLE]
        remote = {}
        for each in agents:
            if each.zone != self.settings.zone:
                remote.setdefault(each.service, []).append(each.name)
        chosen = topology.choose_remote_agents(self.settings.name, remote)
        return [
            each
            for each in agents
            if each.zone == self.settings.zone or each.name in chosen
        ]

    def choose_peers(self):
        """Return a peer for each entry to connect to, by name.

        These are entries of this zone and, for each other zone that this entry is the
        delegate for, one entry of that zone.
        """
        name, zone = self.settings.name, self.settings.zone
        zones = {}
        for each in self.instances:
            if each.role == ENTRY_ROLE and each.peer_port and each.name != name:
                zones.setdefault(each.zone, []).append(each)
        wanted = [
            each
            for each in zones.pop(zone, ())
            if topology.opens_connection(name, each.name)
        ]
        own_entries = self.zone_entries()
        for other, entries in zones.items():
            if topology.is_zone_delegate(name, own_entries, zone, other):
                names = topology.best([each.name for each in entries], 1, name, other)
                wanted += [each for each in entries if each.name in names]
        return {
            each.name: Peer(self.entry, each.name, each.zone, each.host, each.peer_port)
            for each in wanted
        }

    def broadcast_listing(self):
        """Send the instance list to the zone's entries, so that few need to read it."""
        for channel in self.zone_channels():
            self.send_listing(channel)

    def send_listing(self, channel):
        """Send the instance list, compressed, to the peer of a channel."""
        if self.instances is not None:
            lines = json.dumps([schema.dump(each) for each in self.instances])
            body = zlib.compress(lines.encode())
            channel.connection.send(listing=wire.Listing(body))

    def receive_listing(self, listing):
        """Update the instances from a list that a peer of the zone has read."""
        inflate = zlib.decompressobj()
        lines = json.loads(inflate.decompress(listing.body, MAXIMUM_LISTING_BYTES))
        instances = load_instances(lines)
        if instances != self.instances:
            self.update_instances(instances)

    # Heartbeats

    def opened(self, channel):
        """Add a channel; ask a peer of the zone for the instance list if needed."""
        self.channels.add(channel)
        if self.instances is None and channel.hello.zone == self.settings.zone:
            channel.connection.send(listing_pull=wire.ListingPull())

    def closed(self, channel):
        """Remove a channel; the member is lost if it was the last one to it."""
        self.channels.discard(channel)
        name = channel.hello.instance
        if all(each.hello.instance != name for each in self.channels):
            self.membership.lost(name, self.loop.time())

    def zone_channels(self):
        """Return the channels to entries of this zone."""
        zone = self.settings.zone
        return [each for each in self.channels if each.hello.zone == zone]

    def heard(self, hello, heartbeat):
        """Record a heartbeat of the process that sent this hello."""
        info = HeartbeatInfo(
            hello.instance,
            hello.role,
            hello.zone,
            hello.incarnation,
            sequence=heartbeat.sequence or 0,
            version=heartbeat.version or 0,
            leaving=bool(heartbeat.leaving),
            service=hello.service_name or "",
        )
        self.membership.heard(info, self.loop.time())

    def lost(self, name):
        """Record that the connection to a member ended."""
        self.membership.lost(name, self.loop.time())

    def send_heartbeats(self):
        """Send a heartbeat to every connected entry at once."""
        for channel in self.channels:
            channel.connection.send(heartbeat=self.entry.heartbeat())

    async def update_states(self):
        """Mark silent members as suspected, later remove them; run until cancelled."""
        while True:
            await asyncio.sleep(self.settings.heartbeat_seconds)
            now = self.loop.time()
            self.membership.update_states(now, self.allowed_silence())
            self.damped = self.membership.damped(now)

    def describe(self):
        """Return the status of members of this zone and of linked ones elsewhere."""
        return [
            MemberStatus(
                each.name,
                each.role,
                each.zone,
                each.state.value,
                each.version,
                each.silent,
            )
            for each in self.membership.members.values()
            if each.zone == self.settings.zone or each.name in self.entry.links
        ]

    # Digests

    async def send_digests(self):
        """Send the zone's digest periodically to connected entries of other zones."""
        while True:
            jitter = self.entry.random.uniform(1 - READ_JITTER, 1)
            await asyncio.sleep(digest_interval(self.count_zones()) * jitter)
            frame = dump_digest(self.build_zone_summary(self.settings.zone), 0.0)
            for channel in self.channels:
                if channel.hello.zone != self.settings.zone:
                    channel.connection.send(digest=frame)

    def count_entries(self):
        """Return the number of entries in the instance list, at least 1."""
        return max(self.entry_count, 1)

    def count_zones(self):
        """Return the number of zones in the instance list."""
        return len({each.zone for each in self.instances or ()})

    def build_zone_summary(self, zone):
        """Return the summary of a zone from the heartbeats of its members."""
        links = self.entry.links.values()
        loads = [
            (link.instance.service, link.last_heartbeat.load)
            for link in links
            if link.usable and link.instance.zone == zone
        ]
        known = self.membership.members.values()
        members = [each for each in known if each.zone == zone]
        return summarise_zone(zone, members, loads, self.entry.configuration.version)

    def receive_digest(self, channel, frame):
        """Store a zone's digest; forward it in this zone if it came directly."""
        age = (frame.age_ms or 0) / 1000
        is_new = self.digests.take(load_digest(frame), age, self.loop.time())
        if is_new and channel.hello.zone == frame.zone:
            for each in self.zone_channels():
                each.connection.send(digest=frame)

    def zone_sums(self):
        """Return the latest summary of each zone, by the zone's name."""
        now = self.loop.time()
        sums = {each.zone: each for each, _ in self.digests.current(now)}
        zones = {link.instance.zone for link in self.entry.links.values()}
        for zone in zones | {self.settings.zone}:
            # In this zone all agents are linked: heartbeats are newer than a digest.
            if zone == self.settings.zone or zone not in sums:
                sums[zone] = self.build_zone_summary(zone)
        return sums


def dump_digest(total, age):
    """Return the frame of a zone's summary that is age seconds old."""
    return wire.ZoneDigest(
        zone=total.zone,
        version=total.version,
        lowest_version=total.lowest_version,
        entries=total.entries,
        agents=total.agents,
        silent=total.silent,
        services=[
            wire.ServiceSum(
                each.service, each.endpoints, each.warm, each.limit, each.running
            )
            for each in total.services.values()
        ],
        age_ms=int(age * 1000),
    )


def load_digest(frame):
    """Return the zone's summary that a frame holds."""
    total = ZoneSum(
        frame.zone,
        frame.version or 0,
        frame.lowest_version or 0,
        frame.entries or 0,
        frame.agents or 0,
        frame.silent or 0,
    )
    for each in frame.services or ():
        total.services[each.service_name] = ServiceSum(
            each.service_name,
            each.endpoints or 0,
            each.warm or 0,
            each.limit or 0,
            each.running or 0,
        )
    return total
