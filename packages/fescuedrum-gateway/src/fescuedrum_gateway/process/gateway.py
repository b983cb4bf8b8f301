"""Tie the parts of the gateway process together."""

import asyncio
import collections
import logging
import random

import aiohttp
from aiohttp import web

from fescuedrum import __version__, serving
from fescuedrum.conf.routing import RoutingDocument, RoutingTable
from fescuedrum.decisions.experts.pace import PassTimer
from fescuedrum.decisions.retries import SharedRetryBudget
from fescuedrum.decisions.returns import PatienceTracker
from fescuedrum.decisions.stopping import StopPlan
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import (
    AddressNotWritten,
    GatewayDrained,
    GatewayDraining,
    GatewayStarted,
    GatewayStopped,
    SettingsReloaded,
    TaskFailed,
)
from fescuedrum.events.tables import OperatorsRowNotUnderstood
from fescuedrum.exceptions import RowNotUnderstood, StoreUnavailable
from fescuedrum.metrics import measure_loop_delay
from fescuedrum.process import cancel, on_reload
from fescuedrum.wire.gen.gateways.ttypes import Beacon
from fescuedrum_gateway.connection.callers import build_server
from fescuedrum_gateway.connection.endpoints import open_endpoint_session, open_socket
from fescuedrum_gateway.process import followers
from fescuedrum_gateway.process.directory import EndpointDirectory
from fescuedrum_gateway.process.duty import GroupSupervisor
from fescuedrum_gateway.process.followers import TableFollower
from fescuedrum_gateway.process.metrics import GatewayMetrics
from fescuedrum_gateway.process.peers import (
    ENDPOINTS,
    OPERATORS,
    Peers,
    encode_limits,
    encode_loads,
)
from fescuedrum_gateway.request.handler import RequestHandler
from fescuedrum_gateway.version.configuration import RoutingConfiguration
from fescuedrum_gateway.version.replica import Replica

logger = logging.getLogger(__name__)

# Pause before the own address is written again; the seeds serve meanwhile.
ANNOUNCE_RETRY_SECONDS = 1.0
# Pause before a failed task runs again, so that a lasting fault does not fill the log.
FAILED_TASK_SECONDS = 0.5
# New connections that may wait to be accepted: a burst must not have to dial again.
ACCEPT_BACKLOG = 1024


class Gateway:
    """Own the configuration, the directory and the servers of one gateway process."""

    __slots__ = (
        "adapter",
        "callers",
        "configuration",
        "directory",
        "followers",
        "incarnation",
        "metrics",
        "pass_timers",
        "patience",
        "peers",
        "random",
        "reread",
        "retries",
        "running",
        "session",
        "settings",
        "stop_plan",
        "store",
        "store_session",
    )

    def __init__(self, settings, adapter, incarnation, reread=None):
        self.settings = settings
        # Returns the settings as they are now, or None when they can't be used.
        self.reread = reread or (lambda: None)
        self.adapter = adapter
        self.incarnation = incarnation
        self.random = random.Random(incarnation)
        self.configuration = RoutingConfiguration()
        self.peers = Peers(settings, incarnation)
        self.peers.build_beacon = self.build_beacon
        # Length of passes by name of service, as the own streams show it.
        self.pass_timers = collections.defaultdict(PassTimer)
        self.directory = EndpointDirectory(
            settings,
            adapter,
            self.configuration,
            self.peers,
            self.pass_timers,
            self.random,
        )
        self.directory.announce_change = self.peers.announce_change
        self.patience = collections.defaultdict(PatienceTracker)
        self.retries = collections.defaultdict(self.build_retries)
        self.followers = []
        # The server that holds callers' connections.
        self.callers = build_server(RequestHandler(self).handle, settings)
        # Set once the process was told to stop.
        self.stop_plan = None
        self.metrics = GatewayMetrics()
        self.metrics.watch(self)
        self.running = 0
        self.session = None
        self.store = None
        self.store_session = None

    def build_retries(self):
        settings = self.settings
        return SharedRetryBudget(
            settings.retry_share, settings.retry_slack, settings.retry_window_seconds
        )

    async def run(self, stop):
        """Serve until stop, an event, is set; then drain."""
        on_reload(self.reload)
        connector = aiohttp.TCPConnector(limit=0, socket_factory=open_socket)
        async with (
            aiohttp.ClientSession(connector=connector) as self.store_session,
            open_endpoint_session() as self.session,
        ):
            self.store = self.adapter.open_store(
                self.settings.platform_url, self.store_session
            )
            self.build_followers()
            await self.peers.open()
            runners = await self.listen()
            lasting = [each.run for each in self.followers]
            engines = self.adapter.open_engines(
                self.store_session, self.settings.link_megabits
            )
            duty = GroupSupervisor(self, engines)
            lasting += [
                self.peers.run,
                self.announce,
                duty.run,
                self.measure_loop_delay,
            ]
            tasks = [asyncio.create_task(keep_running(work)) for work in lasting]
            log_event(logger, GatewayStarted(__version__))
            await stop.wait()
            await self.drain()
            callers, own = runners
            await serving.wait_for_delivery(self.stop_plan, self.callers, callers)
            cut = len(self.callers.connections)
            await callers.cleanup()
            await own.cleanup()
            await cancel(tasks)
            self.peers.close()
        log_event(logger, GatewayStopped(cut))

    def build_followers(self):
        tables = (
            (OPERATORS, self.adapter.operators_table, self.take_operators_rows),
            (ENDPOINTS, self.adapter.endpoints_table, self.take_endpoint_rows),
        )
        for name, table, take in tables:
            follower = TableFollower(
                name,
                Replica(table),
                self.store,
                self.peers,
                self.store_session,
                self.settings,
                self.random,
            )
            follower.take = take
            follower.store_changed = self.judge_store
            self.followers.append(follower)
        self.peers.on_beacon = self.peer_heard

    async def listen(self):
        """Open the ports for callers, the balancer and peers."""
        settings = self.settings
        control = web.Application()
        control.router.add_get("/readyz", self.readyz)
        control.router.add_get("/metrics", self.expose_metrics)
        followers.add_routes(control, self.followers)
        callers = web.ServerRunner(self.callers, shutdown_timeout=0.1)
        own = web.AppRunner(control, access_log=None, shutdown_timeout=0.1)
        peer_address = f"{settings.host}:{settings.peer_port}"
        await start(own, settings.ready_address, peer_address)
        await start(callers, settings.callers_address)
        return callers, own

    @property
    def leaving(self):
        return self.stop_plan is not None

    @property
    def ready(self):
        listed = self.followers and self.followers[1].replica.loaded
        return not self.leaving and self.configuration.table is not None and listed

    async def readyz(self, _):
        body = {"ready": bool(self.ready), "version": self.configuration.version}
        return web.json_response(body, status=200 if self.ready else 503)

    async def expose_metrics(self, _):
        text, content_type = self.metrics.catalogue.expose()
        return web.Response(body=text, headers={"Content-Type": content_type})

    def configuration_age(self):
        """Return for how many seconds the configuration has been in force."""
        read_at = self.configuration.read_at
        if read_at is None:
            return -1.0
        return asyncio.get_running_loop().time() - read_at

    def retries_left(self):
        """Return the repeats left to the service that has the fewest; -1 for none."""
        now, entries = (
            asyncio.get_running_loop().time(),
            self.peers.count_sharing_gateways(),
        )
        left = [budget.left(now, entries) for budget in self.retries.values()]
        return min(left, default=-1.0)

    # What the platform and peers tell

    def take_operators_rows(self, rows):
        for row in rows:
            self.take_operators_row(row)
        self.tell_versions()

    def take_operators_row(self, row):
        try:
            if row.value is not None:
                said = self.adapter.read_operators_row(row)
                if isinstance(said, RoutingDocument):
                    now = asyncio.get_running_loop().time()
                    self.configuration.update_if_newer(RoutingTable(said), now)
                    return
            self.directory.take_zone(row)
        except RowNotUnderstood as error:
            log_event(
                logger, OperatorsRowNotUnderstood(row.key, row.version, error.detail)
            )

    def take_endpoint_rows(self, rows):
        self.directory.take_endpoint_rows(rows)
        self.tell_versions()

    def tell_versions(self):
        """Tell peers that a table has changed; at once where they learn it from here.

        If those that learn from others also told at once, each change of a row would
        send a beacon from every gateway to every other.
        """
        if self.store_answers:
            self.peers.broadcast_now()
        else:
            self.peers.announce_change()

    @property
    def store_answers(self):
        """Tell whether the store answers this gateway; False while it rests."""
        return any(each.store_answers for each in self.followers)

    def judge_store(self):
        """Tell the directory whether the store is away for all gateways heard."""
        presences = self.directory.presences
        if self.store_answers or self.peers.store_answers_elsewhere():
            presences.store_returned(asyncio.get_running_loop().time())
        else:
            presences.store_lost()

    def peer_heard(self, peer):
        if peer.rate_reports:
            self.directory.merge_rate_reports(peer.host, peer.rate_reports)
        if self.directory.presences.store_unreachable and peer.store_answers:
            self.judge_store()
        for follower in self.followers:
            follower.peer_heard(peer)

    def build_beacon(self):
        """Return a beacon of what this process knows and has at the endpoints."""
        now = asyncio.get_running_loop().time()
        operators, endpoints = (each.replica.version for each in self.followers)
        return Beacon(
            leaving=self.leaving or None,
            store_answers=self.store_answers,
            operators_version=operators,
            endpoints_version=endpoints,
            loads=encode_loads(self.directory.own_loads()),
            limits=encode_limits(self.directory.rate_limits, now) or None,
        )

    def reload(self):
        """Take the seeds of the settings as they are now.

        Without a handler the signal would end the process. Addresses and bounds hold
        for the life of the process.
        """
        settings = self.reread()
        if settings is not None:
            log_event(logger, SettingsReloaded(settings.seeds))
            self.settings.seeds = settings.seeds
            self.add_seeds()

    def add_seeds(self):
        for host in self.settings.seed_hosts:
            self.peers.add_host(host)

    async def announce(self):
        """Write this gateway's address where others find it, and learn theirs."""
        self.add_seeds()
        table, settings = self.adapter.gateways_table, self.settings
        while True:
            try:
                await self.store.put_row(table, settings.name, settings.host.encode())
                for row in (await self.store.read_table(table)).rows:
                    self.peers.add_host(row.value.decode(errors="replace"))
                return
            except StoreUnavailable as error:
                log_event(logger, AddressNotWritten(error.detail))
                await asyncio.sleep(ANNOUNCE_RETRY_SECONDS)

    async def measure_loop_delay(self):
        await measure_loop_delay(self.metrics.loop_delay)

    # The end

    async def drain(self):
        """Turn readiness down and let running requests end."""
        loop = asyncio.get_running_loop()
        plan = self.stop_plan = StopPlan(loop.time(), self.settings.stop_seconds)
        self.peers.broadcast_now()
        self.callers.start_draining(plan.latest)
        log_event(logger, GatewayDraining(self.running, len(self.callers.connections)))
        await serving.wait_until_drained(plan, self.callers, lambda: self.running)
        seconds = round(loop.time() - plan.began, 3)
        open_connections = len(self.callers.connections)
        log_event(logger, GatewayDrained(self.running, open_connections, seconds))


async def start(runner, *addresses):
    """Set a server up and listen on addresses."""
    await runner.setup()
    for address in addresses:
        host, _, port = address.rpartition(":")
        site = web.TCPSite(runner, host, int(port), backlog=ACCEPT_BACKLOG)
        await site.start()


async def keep_running(work):
    """Run a lasting task again when it ends on an error that nobody foresaw.

    The process would go on without it on yesterday's configuration, and look healthy;
    ending the process instead would cut its callers off for the same error again.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_event(logger, TaskFailed(), error=error)
            await asyncio.sleep(FAILED_TASK_SECONDS)
