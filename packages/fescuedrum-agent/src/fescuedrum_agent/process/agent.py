"""Run the agent process: its parts, its sessions, its start and its stop."""

import asyncio
import logging
import random
from functools import partial

from fescuedrum import __version__
from fescuedrum.conf.document import ServiceKind
from fescuedrum.decisions.admitting.admission import Admission, RefusalReason, Refused
from fescuedrum.decisions.admitting.limits import EndpointLimit, Phase, StartLimiter
from fescuedrum.decisions.admitting.queueing import build_queue
from fescuedrum.decisions.admitting.sharing import effective_weights
from fescuedrum.events.event import log_event
from fescuedrum.events.processes import (
    AgentDrained,
    AgentDraining,
    AgentStarted,
    AgentStopped,
    EntryRefused,
    EntrySilent,
)
from fescuedrum.exceptions import ProtocolError
from fescuedrum.faults import FaultPoint, ProtocolStep
from fescuedrum.logs import live_fields
from fescuedrum.metrics import measure_loop_delay
from fescuedrum.once import open_session
from fescuedrum.process import cancel, on_reload, stop_event, stop_on_failure
from fescuedrum.versions.configuration import Configuration
from fescuedrum.versions.pulling import PullThrottle
from fescuedrum.wire.gen.frames.ttypes import Hello
from fescuedrum.wire.gen.members.ttypes import Heartbeat, LoadReport, Pull
from fescuedrum.wire.peers import Peers
from fescuedrum_agent.connection.session import Session
from fescuedrum_agent.process.gate import Gate
from fescuedrum_agent.process.metrics import AgentMetrics
from fescuedrum_agent.process.operations import Operations
from fescuedrum_agent.request.answer import Answer
from fescuedrum_agent.request.execution import Execution
from fescuedrum_agent.request.keyed import KeyedRequests
from fescuedrum_agent.request.ticket import Ticket

logger = logging.getLogger(__name__)

DRAIN_POLL_SECONDS = 0.05
# Time for the notice that the agent leaves to reach its entries, and for requests sent
# before it came to arrive and be refused. If the agent stopped earlier, these would end
# as unknown although they never ran.
LEAVING_NOTICE_SECONDS = 0.5
# Time for the last bytes to reach the entries and for these to close: the longest that
# an entry which doesn't close may delay the stop, and the part of it that is allowed
# beyond `drain_seconds`.
CLOSE_SECONDS = 5.0
LATE_CLOSE_SECONDS = 0.5
# Heartbeats that an entry may miss before its connection is closed. In large fleets
# entries send heartbeats less often.
ALLOWED_MISSED_HEARTBEATS = 4


class Agent:
    """Hold the gate, the ledger and all sessions of one agent process."""

    __slots__ = (
        "configuration",
        "faults",
        "gate",
        "incarnation",
        "keyed",
        "metrics",
        "peers",
        "pooled_session",
        "pull_throttle",
        "sequence",
        "sessions",
        "settings",
        "tickets",
        "unpooled_session",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.gate = build_gate(settings, random.Random(incarnation))
        self.gate.schedule_admission = self.schedule_admission
        self.faults = FaultPoint(settings.fault_step)
        self.keyed = KeyedRequests(settings, incarnation, self.faults)
        # The zone may be out, so nothing runs until the configuration is known.
        self.gate.close(zone_out=True)
        self.configuration = Configuration()
        self.configuration.subscribe(self.on_configuration_change)
        self.pull_throttle = PullThrottle()
        self.sessions = set()
        self.tickets = {}
        self.peers = Peers(settings.peer_keys, settings.peer_tls, self.build_hello)
        self.pooled_session = None
        self.unpooled_session = None
        self.sequence = 0
        self.metrics = AgentMetrics()
        self.metrics.watch(self)
        live_fields["version"] = lambda: self.configuration.version

    async def run(self):
        """Serve until a signal, then drain and stop."""
        stop = stop_event()
        on_reload(self.peers.certificates.reload)
        self.pooled_session = open_session(keep_connections=True)
        self.unpooled_session = open_session(keep_connections=False)
        server = await self.peers.listen(
            self.serve_connection, self.settings.host, self.settings.port
        )
        reload = asyncio.create_task(self.peers.certificates.follow())
        operations = Operations(self)
        await operations.start()
        log_event(logger, AgentStarted(__version__))
        periodic = asyncio.create_task(self.run_periodic_tasks())
        stop_on_failure([periodic, reload], stop)
        loop_delay = asyncio.create_task(measure_loop_delay(self.metrics.loop_delay))
        await stop.wait()
        deadline = await self.drain()
        await cancel([periodic, loop_delay, reload])
        server.close()
        await self.finish_sessions(deadline)
        for session in list(self.sessions):
            session.connection.close()
        await self.pooled_session.close()
        await self.unpooled_session.close()
        await operations.stop()
        log_event(logger, AgentStopped())

    async def serve_connection(self, reader, writer):
        """Serve the connection of an entry until it ends."""
        session = Session(self, reader, writer)
        try:
            await session.run()
        except ProtocolError as error:
            log_event(logger, EntryRefused(str(error)))
        finally:
            self.sessions.discard(session)

    def add_session(self, session):
        """Add a session whose entry is authenticated and send it a heartbeat."""
        self.sessions.add(session)
        session.connection.send(heartbeat=self.build_heartbeat(session))

    async def drain(self):
        """Refuse new work and wait for running requests; return the deadline."""
        log_event(logger, AgentDraining(len(self.tickets)))
        self.gate.close(leaving=True)
        self.send_heartbeats()
        loop = asyncio.get_running_loop()
        now = loop.time()
        deadline = now + self.settings.drain_seconds
        notice_end = now + LEAVING_NOTICE_SECONDS
        while (self.is_busy() or loop.time() < notice_end) and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        unsent = sum(session.connection.unsent_bytes for session in self.sessions)
        seconds = round(loop.time() - now, 3)
        log_event(logger, AgentDrained(len(self.tickets), unsent, seconds))
        return deadline

    async def finish_sessions(self, deadline):
        """End all sessions and wait a short time until the entries have read all."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        end = min(now + CLOSE_SECONDS, max(deadline, now + LATE_CLOSE_SECONDS))
        while loop.time() < end:
            for session in self.sessions:
                # Checked each time, as handshakes may end and add sessions meanwhile.
                if not session.connection.finished:
                    session.connection.finish()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            if not any(session.connection.may_lose_data for session in self.sessions):
                return

    def is_busy(self):
        """Return whether a stop must wait, within its time.

        A request runs, an answer is still to be sent, or an entry may still request an
        answer. Without the wait, a booking that ran ends as unknown at its entry if the
        end of its answer is held up by a slow link when the process stops.
        """
        if self.tickets or any(session.is_busy for session in self.sessions):
            return True
        return self.keyed.has_unacknowledged(asyncio.get_running_loop().time())

    async def run_periodic_tasks(self):
        """Sweep gate and ledger, close silent sessions and send heartbeats, forever."""
        while True:
            now = asyncio.get_running_loop().time()
            self.gate.sweep(now)
            self.keyed.sweep(now)
            self.close_silent_sessions(now)
            self.send_due_heartbeats()
            await asyncio.sleep(self.settings.heartbeat_seconds)

    def close_silent_sessions(self, now):
        """Close connections on which no frame has come for too long.

        An entry that was paused must not continue on its old connection: requests that
        it was about to send may have been fenced, and the fences dropped since. When
        it resumes, it finds its connection closed.
        """
        for session in list(self.sessions):
            if now - session.last_heard_at > self.allowed_silence(session):
                log_event(logger, EntrySilent(session.peer))
                session.connection.writer.transport.abort()

    def allowed_silence(self, session):
        """Return the seconds without frames after which a session is closed."""
        limit = self.settings.session_silence_seconds
        return max(limit, ALLOWED_MISSED_HEARTBEATS * session.heartbeat_interval)

    def send_due_heartbeats(self):
        """Send heartbeats to the entries for which one is due."""
        now = asyncio.get_running_loop().time()
        # A timer may fire slightly early. Heartbeats due within half an interval of
        # the periodic tasks are sent now, as this is the run nearest to their time.
        early = self.settings.heartbeat_seconds / 2
        due = [each for each in self.sessions if now >= each.next_heartbeat_at - early]
        for session in due:
            session.next_heartbeat_at = now + session.heartbeat_interval
        self.send_heartbeats(due)

    def send_heartbeats(self, sessions=None):
        """Send a heartbeat on all sessions, or on those given."""
        self.sequence += 1
        for session in self.sessions if sessions is None else sessions:
            session.connection.send(heartbeat=self.build_heartbeat(session))

    def build_hello(self):
        """Return the frame that identifies this agent in handshakes."""
        return Hello(
            instance=self.settings.name,
            incarnation=self.incarnation,
            role="agent",
            zone=self.settings.zone,
            endpoint=self.settings.endpoint,
            service_name=self.settings.service,
        )

    def build_heartbeat(self, session):
        """Return a heartbeat with the present load, for one session."""
        gate = self.gate
        load = LoadReport(
            running=gate.running,
            waiting=gate.queue.length,
            limit=gate.limit.limit,
            warm=gate.warm,
            received=session.requests_received,
            cost_rate=gate.admission.rate(gate.limit.limit),
            delay=gate.admission.delay,
            answers=gate.answers,
        )
        return Heartbeat(
            version=self.configuration.version,
            leaving=self.gate.leaving,
            load=load,
            sequence=self.sequence,
        )

    def on_heartbeat(self, session, heartbeat):
        """Record an entry's heartbeat and pull the document if its version is newer."""
        session.heartbeats_received += 1
        session.heartbeat_interval = (heartbeat.wanted_interval_ms or 0) / 1000
        announced, in_force = heartbeat.version or 0, self.configuration.version
        now = asyncio.get_running_loop().time()
        if self.pull_throttle.should_pull(announced, in_force, now):
            session.connection.send(pull=Pull())

    def on_configuration_change(self):
        """Apply a new document: zone state, weights of organisations and limits."""
        was_out = self.gate.zone_out
        self.gate.close(zone_out=self.configuration.is_zone_out(self.settings.zone))
        if was_out and not self.gate.zone_out:
            # The endpoint may have been restarted while the zone was out.
            self.gate.limit.reset(Phase.COLD)
        document = self.configuration.document
        weights = effective_weights(document, self.settings.service)
        self.gate.queue.set_weights(weights)
        self.update_limits()
        self.send_heartbeats()

    def update_limits(self):
        """Set the limits that the document, or else the settings, give the endpoint."""
        settings, limit = self.settings, self.gate.limit
        endpoint = self.configuration.endpoints.get(settings.endpoint)
        cold = endpoint.cold_limit if endpoint else None
        warm = endpoint.warm_limit if endpoint else None
        limit.bound(cold or settings.cold_limit, warm or settings.warm_limit)
        self.gate.set_start_limiter(self.build_start_limiter(limit.floor))

    def build_start_limiter(self, floor):
        """Return the limiter of starts for a model engine, or None for others.

        Calls of plain services are short and many, so that a limit on starts would
        limit their throughput.
        """
        service = self.configuration.services.get(self.settings.service)
        is_engine = service is not None and service.kind is ServiceKind.ENGINE
        if not is_engine or not self.settings.pace_seconds:
            return None
        return StartLimiter(floor, self.settings.pace_seconds)

    def submit(self, session, request):
        """Start, queue or find a request; return (answer, None) or (None, Refused)."""
        now = asyncio.get_running_loop().time()
        if request.key:
            self.faults.crash_if_set(ProtocolStep.AGENT_RECEIVED)
            found, reason = self.keyed.find(request)
            if found is not None or reason is not None:
                return found, reason and Refused(reason, 0.0)
        answer = Answer()
        client = self.pooled_session if request.idempotent else self.unpooled_session
        execution = Execution(client, self.settings.endpoint_url, request, answer)
        origin = (session, request.number)
        ticket = Ticket(
            request, answer, execution, partial(self.on_request_end, origin), now
        )
        # Stored before the offer, as the gate may start or refuse the request at once.
        self.tickets[origin] = ticket
        if request.key:
            self.keyed.start(request, answer, now)
        if refused := self.gate.offer(ticket.work, now):
            del self.tickets[origin]
            if request.key:
                self.keyed.withdraw(request)
            return None, refused
        return answer, None

    def schedule_admission(self, seconds):
        """Let the gate admit waiting requests after so many seconds."""
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, lambda: self.gate.admit_waiting(loop.time()))

    def on_request_end(self, origin, ticket):
        """Record the end of a request that ran, or that waited and was refused."""
        self.tickets.pop(origin, None)
        now = asyncio.get_running_loop().time()
        if ticket.request.key:
            self.keyed.finish(ticket.request, ticket.answer, now)
        if ticket.was_started:
            self.metrics.count_run(ticket, now)
            self.gate.finish(ticket.work, ticket.result(now), now)

    def cancel_idempotent(self, session):
        """Cancel the idempotent requests of an entry whose connection ended.

        Nobody else can request their answers.
        """
        for origin in list(self.tickets):
            if origin[0] is session and self.tickets[origin].request.idempotent:
                self.cancel(*origin)

    def cancel(self, session, number):
        """Cancel a request whose caller left, unless it runs and is not idempotent."""
        ticket = self.tickets.get((session, number))
        if ticket is None:
            return
        if self.gate.withdraw(ticket.work):
            ticket.refuse(Refused(RefusalReason.WITHDRAWN, 0.0))
        # A running non-idempotent request continues: its effect can't be undone.
        elif ticket.request.idempotent:
            ticket.task.cancel()


def build_gate(settings, chooser):
    """Return the gate that the settings describe; chooser is its random source."""
    limit = EndpointLimit(settings.cold_limit, settings.warm_limit, settings.warm_after)
    queue = build_queue(settings.queue_policy)
    gate = Gate(limit, queue, Admission(chooser), settings.queue_limit)
    gate.admit_all = not settings.admission
    return gate
