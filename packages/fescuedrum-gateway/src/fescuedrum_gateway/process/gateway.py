"""Assemble a gateway process: its parts, its servers, its start and its stop."""

import asyncio
import collections
import logging
import random

import aiohttp
from aiohttp import web

from fescuedrum import __version__, serving
from fescuedrum.answers.connection import AnswerConnector
from fescuedrum.conf.routing import RoutingDocument, RoutingTable
from fescuedrum.decisions.admitting.memory import MemoryBound
from fescuedrum.decisions.duties.stopping import StopPlan
from fescuedrum.decisions.experts.pace import PassTimers
from fescuedrum.decisions.returning.retries import SharedRetryBudget
from fescuedrum.decisions.returning.returns import PatienceTracker
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
from fescuedrum.events.tables import (
    OperatorsRowNotApplied,
    OperatorsRowNotUnderstood,
)
from fescuedrum.exceptions import RowNotUnderstood, StoreUnavailable
from fescuedrum.metrics import measure_loop_delay
from fescuedrum.process import cancel, on_reload
from fescuedrum_gateway.connection.callers import build_server
from fescuedrum_gateway.connection.endpoints import open_endpoint_session, open_socket
from fescuedrum_gateway.process import followers
from fescuedrum_gateway.process.beacons.beacon import build_beacon
from fescuedrum_gateway.process.directory import EndpointDirectory
from fescuedrum_gateway.process.duty import GroupSupervisor
from fescuedrum_gateway.process.followers import TableFollower
from fescuedrum_gateway.process.group_exchange import GroupExchange
from fescuedrum_gateway.process.memory import GatewayMemory
from fescuedrum_gateway.process.metrics import GatewayMetrics
from fescuedrum_gateway.process.peers import ENDPOINTS, OPERATORS, Peers
from fescuedrum_gateway.process.places import Places
from fescuedrum_gateway.process.quarantine import GatewayQuarantine
from fescuedrum_gateway.process.quarantine_rows import QuarantineRows
from fescuedrum_gateway.process.returns import Returns
from fescuedrum_gateway.request.handler import RequestHandler
from fescuedrum_gateway.version.configuration import RoutingConfiguration
from fescuedrum_gateway.version.replica import Replica

logger = logging.getLogger(__name__)

# Pause before writing this gateway's address again after a failure. Until then other
# gateways are found through the seeds.
REGISTER_RETRY_SECONDS = 1.0
# Pause before restarting a failed task, so that a lasting fault does not fill the log.
TASK_RESTART_SECONDS = 0.5
# New connections that may wait to be accepted. With fewer, a burst of callers would
# have to connect again.
ACCEPT_BACKLOG = 1024


class Gateway:
    """Own the configuration, the endpoints and the servers of one gateway process."""

    __slots__ = (
        "adapter",
        "caller_server",
        "configuration",
        "directory",
        "followers",
        "group_exchange",
        "incarnation",
        "memory",
        "metrics",
        "pass_timers",
        "patience_trackers",
        "peers",
        "places",
        "quarantine",
        "random",
        "read_settings",
        "retries",
        "returns",
        "running",
        "session",
        "settings",
        "stop_plan",
        "store",
        "store_session",
        "supervisor",
    )

    def __init__(self, settings, adapter, incarnation, read_settings=None):
        self.settings = settings
        # Returns the settings as they are now, or None if they are invalid.
        self.read_settings = read_settings or (lambda: None)
        self.adapter = adapter
        self.incarnation = incarnation
        self.random = random.Random(incarnation)
        self.configuration = RoutingConfiguration()
        self.peers = Peers(settings, incarnation)
        self.peers.build_beacon = self.build_beacon
        # Duration of passes by service and group, measured on this gateway's streams.
        self.pass_timers = PassTimers()
        self.directory = EndpointDirectory(
            settings,
            adapter,
            self.configuration,
            self.peers,
            self.pass_timers,
            self.random,
        )
        self.directory.announce_change = self.on_load_change
        self.quarantine = GatewayQuarantine(self.directory, self.peers)
        self.group_exchange = GroupExchange(self.directory.groups)
        self.patience_trackers = collections.defaultdict(PatienceTracker)
        self.retries = collections.defaultdict(self.build_retry_budget)
        self.returns = Returns(self)
        self.followers = []
        # Server for the callers' connections.
        self.caller_server = build_server(RequestHandler(self).handle, settings)
        # Set once the process has been told to stop.
        self.stop_plan = None
        self.metrics = GatewayMetrics()
        self.memory = GatewayMemory(
            MemoryBound.of_machine(settings.memory_megabytes),
            self.metrics.streams_ended.inc,
        )
        self.metrics.watch(self)
        self.quarantine.count_end = self.metrics.count_endpoint_end
        self.directory.group_chooser.on_probe = self.metrics.groups.count_probe
        self.places = Places(
            settings,
            self.configuration,
            self.directory,
            self.peers,
            self.metrics.places,
            random.Random(incarnation),
        )
        self.running = 0
        self.session = None
        self.store = None
        self.store_session = None
        # Manages the groups of ranks; None until the gateway runs.
        self.supervisor = None

    def build_retry_budget(self):
        """Return the budget of retries of one service."""
        settings = self.settings
        return SharedRetryBudget(
            settings.retry_share, settings.retry_slack, settings.retry_window_seconds
        )

    async def run(self, stop):
        """Serve until the event stop is set; then drain and close everything."""
        on_reload(self.reload)
        connector = AnswerConnector(limit=0, socket_factory=open_socket)
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
            background_tasks = [each.run for each in self.followers]
            engines = self.adapter.open_engines(
                self.store_session, self.settings.link_megabits
            )
            self.supervisor = GroupSupervisor(self, engines)
            background_tasks += [
                self.peers.run,
                self.register_address,
                self.keep_quarantine,
                self.supervisor.run,
                self.measure_loop_delay,
                self.memory.run,
            ]
            tasks = [
                asyncio.create_task(rerun_on_error(work)) for work in background_tasks
            ]
            log_event(logger, GatewayStarted(__version__))
            await stop.wait()
            await self.drain()
            caller_runner, control_runner = runners
            await serving.wait_for_delivery(
                self.stop_plan, self.caller_server, caller_runner
            )
            await self.supervisor.finish_change(self.stop_plan.latest)
            cut_connections = len(self.caller_server.connections)
            await caller_runner.cleanup()
            await control_runner.cleanup()
            await cancel(tasks)
            self.quarantine.close()
            self.peers.close()
        log_event(logger, GatewayStopped(cut_connections))

    def build_followers(self):
        """Create the followers of the operators' table and the list of endpoints."""
        tables = (
            (OPERATORS, self.adapter.operators_table, self.apply_operators_rows),
            (ENDPOINTS, self.adapter.endpoints_table, self.apply_endpoint_rows),
        )
        for name, table, on_rows in tables:
            follower = TableFollower(
                name,
                Replica(table),
                self.store,
                self.peers,
                self.store_session,
                self.settings,
                self.random,
            )
            follower.on_rows = on_rows
            follower.on_store_state_change = self.update_store_state
            self.followers.append(follower)
        self.peers.on_beacon = self.on_peer_beacon

    async def listen(self):
        """Open the ports for callers, the balancer and peers; return two runners."""
        settings = self.settings
        control = web.Application()
        control.router.add_get("/readyz", self.readyz)
        control.router.add_get("/metrics", self.expose_metrics)
        followers.add_routes(control, self.followers)
        caller_runner = web.ServerRunner(self.caller_server, shutdown_timeout=0.1)
        control_runner = web.AppRunner(control, access_log=None, shutdown_timeout=0.1)
        peer_address = f"{settings.host}:{settings.peer_port}"
        await start_server(control_runner, settings.ready_address, peer_address)
        await start_server(caller_runner, settings.callers_address)
        return caller_runner, control_runner

    @property
    def leaving(self):
        """Return whether the process has been told to stop."""
        return self.stop_plan is not None

    @property
    def ready(self):
        """Return whether requests can be served: configured, listed, not leaving."""
        listed = self.followers and self.followers[1].replica.loaded
        return not self.leaving and self.configuration.table is not None and listed

    async def readyz(self, _):
        """Answer the balancer: 200 if this gateway is ready, else 503."""
        body = {"ready": bool(self.ready), "version": self.configuration.version}
        return web.json_response(body, status=200 if self.ready else 503)

    async def expose_metrics(self, _):
        """Answer with the metrics."""
        self.metrics.groups.refresh(self.directory)
        text, content_type = self.metrics.catalogue.expose()
        return web.Response(body=text, headers={"Content-Type": content_type})

    def configuration_age(self):
        """Return the seconds since the configuration came in force; -1 for none."""
        in_force_since = self.configuration.in_force_since
        if in_force_since is None:
            return -1.0
        return asyncio.get_running_loop().time() - in_force_since

    def retries_left(self):
        """Return the retries left to the service that has the fewest; -1 for none."""
        now, gateways = (
            asyncio.get_running_loop().time(),
            self.peers.count_sharing_gateways(),
        )
        left = [budget.left(now, gateways) for budget in self.retries.values()]
        return min(left, default=-1.0)

    def count_rows_left_out(self):
        """Return how many rows of the list of endpoints name no endpoint."""
        known = self.directory.presences.by_name
        return sum(key not in known for key in self.followers[1].replica.rows)

    # Changes from the platform and from peers

    def apply_operators_rows(self, rows):
        """Apply changed rows of the operators' table."""
        for row in rows:
            self.apply_operators_row(row)
        self.announce_versions()

    def apply_operators_row(self, row):
        """Apply a configuration, or pass on a row that concerns a zone.

        The copy of the table already counts the row as taken, so an error here must not
        keep the rows after it from being applied.
        """
        try:
            if row.value is not None:
                decoded = self.adapter.read_operators_row(row)
                if isinstance(decoded, RoutingDocument):
                    now = asyncio.get_running_loop().time()
                    self.configuration.update_if_newer(RoutingTable(decoded), now)
                    return
            self.directory.apply_zone_row(row)
        except RowNotUnderstood as error:
            log_event(
                logger, OperatorsRowNotUnderstood(row.key, row.version, error.detail)
            )
        except Exception as error:
            log_event(logger, OperatorsRowNotApplied(row.key, row.version), error=error)

    def apply_endpoint_rows(self, rows):
        """Apply changed rows of the list of endpoints."""
        self.directory.take_endpoint_rows(rows)
        self.announce_versions()

    def announce_versions(self):
        """Send peers the new versions of the tables; at once if the store answers here.

        Peers may learn of the change from this gateway then. If gateways that learned
        it from others sent it at once as well, each changed row would cause a beacon
        from every gateway to every other.
        """
        if self.store_answers:
            self.peers.broadcast_now()
        else:
            self.peers.announce_change()

    @property
    def store_answers(self):
        """Return whether the store answers; False while others follow it."""
        return any(each.store_answers for each in self.followers)

    def update_store_state(self):
        """Note in the directory whether the store answers any gateway that is heard."""
        presences = self.directory.presences
        if self.store_answers or self.peers.store_answers_elsewhere():
            presences.store_returned(asyncio.get_running_loop().time())
        else:
            presences.store_lost()

    def on_peer_beacon(self, peer):
        """Use what a peer's beacon says of endpoints, prompts, the store and tables."""
        self.group_exchange.merge(peer)
        self.quarantine.merge(peer)
        self.places.wake()
        if peer.rate_reports:
            self.directory.merge_rate_reports(peer.host, peer.rate_reports)
        if self.directory.presences.store_unreachable and peer.store_answers:
            self.update_store_state()
        for follower in self.followers:
            follower.on_peer_beacon(peer)

    def on_load_change(self, zone):
        """Announce a change of this gateway's load at the endpoints of a zone."""
        self.peers.announce_change(zone)
        self.places.wake()

    def build_beacon(self):
        """Return a beacon with what this gateway tells the others."""
        return build_beacon(self)

    def reload(self):
        """Apply the seeds of the present settings; other settings need a restart.

        Without this handler the signal would end the process.
        """
        settings = self.read_settings()
        if settings is not None:
            log_event(logger, SettingsReloaded(settings.seeds))
            self.settings.seeds = settings.seeds
            self.add_seeds()

    def add_seeds(self):
        """Add the seeds' addresses to the peers."""
        for host in self.settings.seed_hosts:
            self.peers.add_host(host)

    async def register_address(self):
        """Write this gateway's address to the store and read those of the others."""
        self.add_seeds()
        table, settings = self.adapter.gateways_table, self.settings
        while True:
            try:
                await self.store.put_row(table, settings.name, settings.host.encode())
                for row in (await self.store.read_table(table)).rows:
                    self.peers.learn_host((row.value or b"").decode(errors="replace"))
                return
            except StoreUnavailable as error:
                log_event(logger, AddressNotWritten(error.detail))
                await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def keep_quarantine(self):
        """Read the quarantined parts from the store, and write changes, for ever."""
        rows = QuarantineRows(self.quarantine)
        await rows.run(self.store, self.adapter.quarantine_table)

    async def measure_loop_delay(self):
        """Measure the delay of the event loop for ever."""
        await measure_loop_delay(self.metrics.loop_delay)

    # Stopping

    async def drain(self):
        """Report not ready and wait for running requests to end."""
        loop = asyncio.get_running_loop()
        plan = self.stop_plan = StopPlan(loop.time(), self.settings.stop_seconds)
        self.returns.stop()
        self.peers.broadcast_now()
        self.caller_server.start_draining(plan.latest)
        log_event(
            logger, GatewayDraining(self.running, len(self.caller_server.connections))
        )
        await serving.wait_until_drained(plan, self.caller_server, lambda: self.running)
        seconds = round(loop.time() - plan.began, 3)
        open_connections = len(self.caller_server.connections)
        log_event(logger, GatewayDrained(self.running, open_connections, seconds))


async def start_server(runner, *addresses):
    """Set up a server and listen on addresses."""
    await runner.setup()
    for address in addresses:
        host, _, port = address.rpartition(":")
        site = web.TCPSite(runner, host, int(port), backlog=ACCEPT_BACKLOG)
        await site.start()


async def rerun_on_error(work):
    """Run a background task and restart it when it raises an unexpected exception.

    Without the restart the process would look healthy and keep an old configuration;
    ending the process instead would cut off its callers, and the error would recur.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            log_event(logger, TaskFailed(), error=error)
            await asyncio.sleep(TASK_RESTART_SECONDS)
