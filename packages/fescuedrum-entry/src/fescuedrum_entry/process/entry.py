"""Create, start and stop the components of the entry process."""

import asyncio
import collections
import logging
import random

import aiohttp
from aiohttp import web

from fescuedrum import __version__, serving
from fescuedrum.answers.connection import AnswerConnector
from fescuedrum.decisions.duties.stopping import StopPlan
from fescuedrum.decisions.returning.retries import ServiceRetries
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import (
    EntryDrained,
    EntryDraining,
    EntryStarted,
    EntryStopped,
)
from fescuedrum.faults import FaultPoint
from fescuedrum.logs import live_fields
from fescuedrum.metrics import measure_loop_delay
from fescuedrum.platform.client import PlatformClient
from fescuedrum.platform.leases import Lease
from fescuedrum.process import cancel, on_reload, stop_event, stop_on_failure
from fescuedrum.tls import Certificates
from fescuedrum.versions.configuration import Configuration
from fescuedrum.wire.gen.frames.ttypes import Hello
from fescuedrum.wire.gen.members.ttypes import Heartbeat
from fescuedrum.wire.peers import Peers
from fescuedrum_entry.connection.callers import CallersRunner
from fescuedrum_entry.connection.link import Link
from fescuedrum_entry.operators import fairness, keys, requests, routes as operators
from fescuedrum_entry.operators.access import SignInLimit, require_role
from fescuedrum_entry.operators.accounts import Role
from fescuedrum_entry.process.ages import LEASE_NAME, ClaimAges
from fescuedrum_entry.process.claims import ClaimWriter
from fescuedrum_entry.process.fairness import FairnessReporter
from fescuedrum_entry.process.members import Members
from fescuedrum_entry.process.metrics import EntryMetrics
from fescuedrum_entry.process.router import Router
from fescuedrum_entry.request import handler
from fescuedrum_entry.request.quota import Quota
from fescuedrum_entry.request.selection import PendingCalls
from fescuedrum_entry.request.trace import TraceBuffer
from fescuedrum_entry.version.following import ConfigurationFollower

logger = logging.getLogger(__name__)


class Entry:
    """Hold the links, the configuration and the HTTP server of one entry process."""

    __slots__ = (
        "background",
        "callers",
        "callers_tls",
        "claims",
        "configuration",
        "configuration_follower",
        "fairness",
        "faults",
        "incarnation",
        "link_tasks",
        "links",
        "members",
        "metrics",
        "peers",
        "pending_calls",
        "platform",
        "quota",
        "random",
        "retries",
        "router",
        "running",
        "settings",
        "sign_in_limit",
        "stop_plan",
        "traces",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.sign_in_limit = SignInLimit()
        self.incarnation = incarnation
        self.configuration = Configuration()
        self.configuration.subscribe(self.send_heartbeats)
        self.configuration_follower = None
        self.members = Members(self)
        self.links = {}
        self.link_tasks = {}
        self.peers = Peers(settings.peer_keys, settings.peer_tls, self.hello)
        # The server of callers' connections, once it is running.
        self.callers = None
        self.callers_tls = Certificates()
        self.platform = None
        self.random = random.Random(incarnation)
        self.router = Router(self, settings.routing_policy, self.random)
        self.configuration.subscribe(self.router.refresh_all_targets)
        self.pending_calls = PendingCalls(
            self, settings.endpoint_wait_limit, settings.endpoint_wait_seconds
        )
        self.claims = None
        self.faults = FaultPoint(settings.fault_step)
        self.background = set()
        self.retries = collections.defaultdict(ServiceRetries)
        self.fairness = FairnessReporter(self, settings.fairness_seconds)
        self.configuration.subscribe(self.fairness.configuration_changed)
        self.quota = Quota(self)
        self.running = 0
        self.traces = TraceBuffer(settings.trace_count, settings.trace_slow_seconds)
        self.metrics = EntryMetrics()
        # Set once the process has been asked to stop.
        self.stop_plan = None
        self.metrics.watch(self)
        live_fields["version"] = lambda: self.configuration.version

    async def run(self):
        """Serve until a stop signal, then drain and stop."""
        stop = stop_event()
        on_reload(self.callers_tls.reload, self.peers.certificates.reload)
        async with aiohttp.ClientSession(connector=AnswerConnector()) as session:
            self.platform = PlatformClient(self.settings.platform_url, session)
            tasks = self.start_claims()
            self.configuration_follower = ConfigurationFollower(
                self.configuration, self.platform
            )
            tasks += [
                asyncio.create_task(
                    self.configuration_follower.run(self.members.read_interval)
                ),
                asyncio.create_task(self.members.run()),
                asyncio.create_task(self.fairness.run()),
                asyncio.create_task(self.callers_tls.follow()),
                asyncio.create_task(measure_loop_delay(self.metrics.loop_delay)),
                asyncio.create_task(self.peers.certificates.follow()),
            ]
            stop_on_failure(tasks, stop)
            runner = CallersRunner(self.build_application(), self.settings)
            await runner.setup()
            self.callers = runner.server
            await self.listen(runner)
            peer_server = await self.members.listen()
            log_event(logger, EntryStarted(__version__))
            await stop.wait()
            await self.drain()
            await serving.wait_for_delivery(self.stop_plan, self.callers, runner)
            if peer_server is not None:
                peer_server.close()
            await runner.cleanup()
            await cancel([*tasks, *self.link_tasks.values()])
        log_event(logger, EntryStopped())

    async def listen(self, runner):
        """Listen for callers, with TLS if the settings name a certificate."""
        settings = self.settings
        context = None
        if settings.callers_tls is not None:
            context = self.callers_tls.server_context(settings.callers_tls)
        site = web.TCPSite(runner, settings.host, settings.port, ssl_context=context)
        await site.start()

    @property
    def leaving(self):
        """Return whether the process has been asked to stop."""
        return self.stop_plan is not None

    def build_application(self):
        """Return the HTTP application for callers, operators and health checks."""
        application = web.Application()
        handler.add_routes(application, self)
        application.router.add_get("/healthz", self.healthz)
        application.router.add_get("/readyz", self.readyz)
        # Metrics contain names of organisations, and callers can reach this port.
        metrics = require_role(self, Role.VIEWER, self.expose_metrics)
        application.router.add_get("/metrics", metrics)
        operators.add_routes(application, self)
        requests.add_routes(application, self)
        keys.add_routes(application, self)
        fairness.add_routes(application, self)
        return application

    async def healthz(self, _):
        """Answer that the process is alive."""
        return web.json_response({"alive": True})

    async def readyz(self, _):
        """Answer 200 if the entry should get new callers, 503 otherwise."""
        configuration = self.configuration
        # Requests of callers in a zone out of service would only cross to another.
        zone_out = configuration.is_zone_out(self.settings.zone)
        loaded = configuration.document is not None
        ready = loaded and not self.leaving and not zone_out
        body = {"ready": ready, "version": self.configuration.version}
        return web.json_response(body, status=200 if ready else 503)

    async def expose_metrics(self, _):
        """Answer with all metrics in the exposition format."""
        text, content_type = self.metrics.catalogue.expose()
        return web.Response(body=text, headers={"Content-Type": content_type})

    async def drain(self):
        """Report not ready, announce the stop and wait until running requests end.

        The balancer sends new callers until its next check of /readyz. Closing the
        listener at once would break the connections of these callers.
        """
        loop = asyncio.get_running_loop()
        notice = self.settings.notice_seconds
        seconds = notice + self.settings.drain_seconds
        plan = self.stop_plan = StopPlan(loop.time(), seconds, notice)
        self.send_heartbeats()
        self.callers.start_draining(plan.latest)
        log_event(logger, EntryDraining(self.running, len(self.callers.connections)))
        await serving.wait_until_drained(plan, self.callers, self.count_running)
        seconds = round(loop.time() - plan.began, 3)
        open_connections = len(self.callers.connections)
        log_event(logger, EntryDrained(self.running, open_connections, seconds))

    def count_running(self):
        """Return the number of requests and tasks that a stop waits for.

        It includes requests whose body is still being received and operators' changes
        that are being written to the store. Otherwise the process could end first, and
        the caller or operator could not know whether the request or change took effect.
        """
        return self.running + len(self.background) + self.callers.count_active()

    def start_claims(self):
        """Create the claim writer; start and return the tasks deleting old claims."""
        settings = self.settings
        holder = f"{settings.name}-{self.incarnation}"
        lease = Lease(self.platform, LEASE_NAME, holder, self.random)
        ages = ClaimAges(self.platform, lease, settings.claim_bucket_seconds)
        self.claims = ClaimWriter(
            self.platform, settings.claim_group_seconds, ages, holder
        )
        return [
            asyncio.create_task(lease.run()),
            asyncio.create_task(ages.run(settings.claim_buckets_kept)),
        ]

    def get_retry_budgets(self, service):
        """Return the retry and hedge budgets of a service at this entry."""
        return self.retries[service]

    def spawn(self, coroutine):
        """Run a coroutine that may outlive its request; a stop waits for it."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def send_heartbeats(self):
        """Send a heartbeat to every linked agent and entry at once."""
        self.members.send_heartbeats()
        for link in self.links.values():
            link.send(heartbeat=self.heartbeat())

    def update_links(self, instances):
        """Link to exactly these agents; return whether some links must close later."""
        agents = {each.name: each for each in instances}
        for name, instance in agents.items():
            if name not in self.links:
                link = Link(self, instance)
                self.links[name] = link
                self.link_tasks[name] = asyncio.create_task(link.run())
        for name in [*self.links]:
            if name not in agents and self.can_unlink(name):
                self.link_tasks.pop(name).cancel()
                self.router.forget(self.links.pop(name))
        return len(self.links) > len(agents)

    def can_unlink(self, name):
        """Return whether a link that is no longer wanted can be closed now."""
        link = self.links[name]
        # The list lags: an instance missing from it keeps its link while connected.
        listed = {each.name for each in self.members.instances}
        return link.connection is None or (name in listed and not link.exchanges)

    def served_zones(self):
        """Return, for each service, the set of zones with usable endpoints."""
        served = {}
        for link in self.links.values():
            if link.usable:
                served.setdefault(link.instance.service, set()).add(link.instance.zone)
        return served

    def describe_members(self):
        """Return the status of each member that this entry reports to operators."""
        return self.members.describe()

    def hello(self):
        """Return the frame that introduces this entry on a connection."""
        return Hello(
            instance=self.settings.name,
            incarnation=self.incarnation,
            role="entry",
            zone=self.settings.zone,
        )

    def heartbeat(self):
        """Return a heartbeat frame with this entry's current state."""
        return Heartbeat(
            version=self.configuration.version,
            leaving=self.leaving,
            wanted_interval_ms=int(self.members.interval() * 1000),
        )
