"""Tie the parts of the agent process together."""

import asyncio
import logging
import random
from functools import partial

from fescuedrum import __version__
from fescuedrum.conf.document import ServiceKind
from fescuedrum.decisions.admission import Admission, RefusalReason, Refused
from fescuedrum.decisions.limits import EndpointLimit, Phase, StartLimiter
from fescuedrum.decisions.queueing import build_queue
from fescuedrum.decisions.sharing import effective_weights
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
# For the word that the agent leaves to reach its entries, and for what crossed it to
# come and be refused. With the agent gone it would end as unknown and never run.
WORD_SECONDS = 0.5
# For the last bytes on their way to entries, and for these to close: the longest that
# an entry which does not may hold up the end, and what there is beyond `drain_seconds`.
LEAVE_SECONDS = 5.0
LATE_LEAVE_SECONDS = 0.5
# A large fleet's entries send heartbeats more seldom; so many may be missed.
SILENT_BEATS = 4


class Agent:
    """Own the gate, the ledger and all sessions of one agent process."""

    __slots__ = (
        "configuration",
        "faults",
        "gate",
        "incarnation",
        "keyed",
        "metrics",
        "peers",
        "pulls",
        "sequence",
        "session",
        "sessions",
        "settings",
        "single_session",
        "tickets",
    )

    def __init__(self, settings, incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.gate = build_gate(settings, random.Random(incarnation))
        self.gate.wake_after = self.admit_after
        self.faults = FaultPoint(settings.fault_step)
        self.keyed = KeyedRequests(settings, incarnation, self.faults)
        # The zone may be out: until the configuration tells, nothing is run.
        self.gate.close(zone_out=True)
        self.configuration = Configuration()
        self.configuration.subscribe(self.configuration_changed)
        self.pulls = PullThrottle()
        self.sessions = set()
        self.tickets = {}
        self.peers = Peers(settings.peer_keys, settings.peer_tls, self.hello)
        self.session = None
        self.single_session = None
        self.sequence = 0
        self.metrics = AgentMetrics()
        self.metrics.watch(self)
        live_fields["version"] = lambda: self.configuration.version

    async def run(self):
        """Serve until a signal, then drain and stop."""
        stop = stop_event()
        on_reload(self.peers.certificates.reload)
        self.session = open_session(keep_connections=True)
        self.single_session = open_session(keep_connections=False)
        server = await self.peers.listen(
            self.serve_connection, self.settings.host, self.settings.port
        )
        reload = asyncio.create_task(self.peers.certificates.follow())
        operations = Operations(self)
        await operations.start()
        log_event(logger, AgentStarted(__version__))
        beat = asyncio.create_task(self.run_periodic_tasks())
        stop_on_failure([beat, reload], stop)
        lag = asyncio.create_task(measure_loop_delay(self.metrics.loop_delay))
        await stop.wait()
        deadline = await self.drain()
        await cancel([beat, lag, reload])
        server.close()
        await self.take_leave(deadline)
        for session in list(self.sessions):
            session.connection.close()
        await self.session.close()
        await self.single_session.close()
        await operations.stop()
        log_event(logger, AgentStopped())

    async def serve_connection(self, reader, writer):
        session = Session(self, reader, writer)
        try:
            await session.run()
        except ProtocolError as error:
            log_event(logger, EntryRefused(str(error)))
        finally:
            self.sessions.discard(session)

    def greet(self, session):
        """Take up a session whose peer has proved itself."""
        self.sessions.add(session)
        session.connection.send(heartbeat=self.heartbeat(session))

    async def drain(self):
        """Refuse new work and let running requests end; return the time for that."""
        log_event(logger, AgentDraining(len(self.tickets)))
        self.gate.close(leaving=True)
        self.send_heartbeats()
        loop = asyncio.get_running_loop()
        now = loop.time()
        deadline = now + self.settings.drain_seconds
        heard = now + WORD_SECONDS
        while (self.busy() or loop.time() < heard) and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        unsent = sum(session.connection.unsent_bytes for session in self.sessions)
        seconds = round(loop.time() - now, 3)
        log_event(logger, AgentDrained(len(self.tickets), unsent, seconds))
        return deadline

    async def take_leave(self, deadline):
        """Wait a little until the entries have read all."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        end = min(now + LEAVE_SECONDS, max(deadline, now + LATE_LEAVE_SECONDS))
        while loop.time() < end:
            for session in self.sessions:
                # Again each time: an entry's handshake may end meanwhile.
                if not session.connection.finished:
                    session.connection.finish()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            if not any(session.connection.may_lose_data for session in self.sessions):
                return

    def busy(self):
        """Tell whether a stop must wait, in its time.

        The failure: a booking ran, and the end of its answer stands in this process
        behind a slow link. Lost with the process, it ends as unknown at its entry.
        """
        if self.tickets or any(session.busy for session in self.sessions):
            return True
        return self.keyed.has_unacknowledged(asyncio.get_running_loop().time())

    async def run_periodic_tasks(self):
        while True:
            now = asyncio.get_running_loop().time()
            self.gate.sweep(now)
            self.keyed.sweep(now)
            self.close_silent_sessions(now)
            self.send_due_heartbeats()
            await asyncio.sleep(self.settings.heartbeat_seconds)

    def close_silent_sessions(self, now):
        """Close connections on which nothing has come for too long.

        An entry that was paused must not go on where it stopped: what it was about
        to send may have been fenced and forgotten. It finds its connection closed.
        """
        for session in list(self.sessions):
            if now - session.heard_at > self.allowed_silence(session):
                log_event(logger, EntrySilent(session.peer))
                session.connection.writer.transport.abort()

    def allowed_silence(self, session):
        limit = self.settings.session_silence_seconds
        return max(limit, SILENT_BEATS * session.beat_interval)

    def send_due_heartbeats(self):
        """Send heartbeats to the entries whose wanted interval has passed."""
        now = asyncio.get_running_loop().time()
        # A timer may fire a little early; half a tick is the nearest one.
        early = self.settings.heartbeat_seconds / 2
        due = [each for each in self.sessions if now >= each.next_beat - early]
        for session in due:
            session.next_beat = now + session.beat_interval
        self.send_heartbeats(due)

    def send_heartbeats(self, sessions=None):
        """Tell all entries, or those given."""
        self.sequence += 1
        for session in self.sessions if sessions is None else sessions:
            session.connection.send(heartbeat=self.heartbeat(session))

    def hello(self):
        return Hello(
            instance=self.settings.name,
            incarnation=self.incarnation,
            role="agent",
            zone=self.settings.zone,
            endpoint=self.settings.endpoint,
            service_name=self.settings.service,
        )

    def heartbeat(self, session):
        gate = self.gate
        load = LoadReport(
            running=gate.running,
            waiting=gate.queue.length,
            limit=gate.limit.limit,
            warm=gate.warm,
            received=session.received,
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

    def heard(self, session, heartbeat):
        """Pull the document from an entry that runs a newer version."""
        session.heartbeats_received += 1
        session.beat_interval = (heartbeat.wanted_interval_ms or 0) / 1000
        announced, in_force = heartbeat.version or 0, self.configuration.version
        now = asyncio.get_running_loop().time()
        if self.pulls.should_pull(announced, in_force, now):
            session.connection.send(pull=Pull())

    def configuration_changed(self):
        was_out = self.gate.zone_out
        self.gate.close(zone_out=self.configuration.is_zone_out(self.settings.zone))
        if was_out and not self.gate.zone_out:
            # Whatever was done to the zone, nothing shows that the endpoint is warm.
            self.gate.limit.reset(Phase.COLD)
        document = self.configuration.document
        weights = effective_weights(document, self.settings.service)
        self.gate.queue.set_weights(weights)
        self.bound_limit()
        self.send_heartbeats()

    def bound_limit(self):
        """Follow the limits that the document sets for this endpoint."""
        settings, limit = self.settings, self.gate.limit
        endpoint = self.configuration.endpoints.get(settings.endpoint)
        cold = endpoint.cold_limit if endpoint else None
        warm = endpoint.warm_limit if endpoint else None
        limit.bound(cold or settings.cold_limit, warm or settings.warm_limit)
        self.gate.set_pace(self.pace(limit.floor))

    def pace(self, floor):
        """Return the pace of starts; plain services are given none.

        Their calls are short and many, and a cap on starts would be one on throughput.
        """
        service = self.configuration.services.get(self.settings.service)
        is_engine = service is not None and service.kind is ServiceKind.ENGINE
        if not is_engine or not self.settings.pace_seconds:
            return None
        return StartLimiter(floor, self.settings.pace_seconds)

    def submit(self, session, request):
        """Take a request or find its answer: (answer, None) or (None, Refused)."""
        now = asyncio.get_running_loop().time()
        if request.key:
            self.faults.crash_if_set(ProtocolStep.AGENT_RECEIVED)
            found, reason = self.keyed.find(request)
            if found is not None or reason is not None:
                return found, reason and Refused(reason, 0.0)
        answer = Answer()
        client = self.session if request.idempotent else self.single_session
        execution = Execution(client, self.settings.endpoint_url, request, answer)
        place = (session, request.number)
        ticket = Ticket(request, answer, execution, partial(self.finished, place), now)
        # Noted before the gate: it may start the request, or refuse it, at once.
        self.tickets[place] = ticket
        if request.key:
            self.keyed.start(request, answer, now)
        if refused := self.gate.offer(ticket.work, now):
            del self.tickets[place]
            if request.key:
                self.keyed.withdraw(request)
            return None, refused
        return answer, None

    def admit_after(self, seconds):
        """Let the gate admit what waits, a little later."""
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, lambda: self.gate.admit_waiting(loop.time()))

    def finished(self, place, ticket):
        """Settle a request that ended, or that waited and was given up."""
        self.tickets.pop(place, None)
        now = asyncio.get_running_loop().time()
        if ticket.request.key:
            self.keyed.finish(ticket.request, ticket.answer, now)
        if ticket.ran:
            self.metrics.ran(ticket, now)
            self.gate.finish(ticket.work, ticket.result(now), now)

    def abandon(self, session):
        """Free what an entry that is gone had asked for and nobody else can ask for."""
        for place in list(self.tickets):
            if place[0] is session and self.tickets[place].request.idempotent:
                self.cancel(*place)

    def cancel(self, session, number):
        """Free the endpoint's work for a caller who left, if it may be cut."""
        ticket = self.tickets.get((session, number))
        if ticket is None:
            return
        if self.gate.withdraw(ticket.work):
            ticket.refuse(Refused(RefusalReason.WITHDRAWN, 0.0))
        # A non-idempotent request runs on: its effect can't be taken back.
        elif ticket.request.idempotent:
            ticket.task.cancel()


def build_gate(settings, chooser):
    limit = EndpointLimit(settings.cold_limit, settings.warm_limit, settings.warm_after)
    queue = build_queue(settings.queue_policy)
    gate = Gate(limit, queue, Admission(chooser), settings.queue_limit)
    gate.admit_all = not settings.admission
    return gate
