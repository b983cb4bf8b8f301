"""Choose endpoints for a call and send it, as often as the call allows."""

import asyncio
import logging
from dataclasses import replace

from fescuedrum.decisions.placement import Chosen, RefusalCause, Refused
from fescuedrum.decisions.presence import ListedEndpoint
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import RequestSent, SendingFailed
from fescuedrum.exceptions import (
    DeadlinePassed,
    Overloaded,
    ProcessStopping,
    Unavailable,
)
from fescuedrum_gateway.adapter import SendHead
from fescuedrum_gateway.connection.endpoints import Opened, open_answer
from fescuedrum_gateway.request.admission import refuse_at_stop
from fescuedrum_gateway.request.call import Answered, Lost, NotRun

logger = logging.getLogger(__name__)

# The answer needs the way back; what the endpoint does after it is wasted.
WAY_SECONDS = 0.01
# Work with less than this left would end late; a plain request takes some 20 ms.
LEAST_SECONDS = 0.02
# The endpoint at the address is another than the one that was meant.
MISDIRECTED_STATUS = 421


class Attempts:
    """Send one call to one endpoint after the other."""

    __slots__ = (
        "arrived",
        "call",
        "gateway",
        "loop",
        "ran",
        "reservation",
        "sent",
        "tried",
    )

    def __init__(self, call, gateway):
        self.call = call
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        # Sendings that an endpoint may have run, or has refused to run.
        self.sent = 0
        # Whether any endpoint may have seen the request, be it another than was meant.
        self.arrived = False
        # The newest result of a sending that may have run.
        self.ran = None
        self.tried = set()
        # What the endpoint of the newest sending is charged with.
        self.reservation = None

    async def send_until_settled(self, send_once, is_open):
        """Send as often as is allowed; return the result that tells most.

        A repeat that is refused, or finds no place, must not hide that the sending
        before it may have run: the caller would be told that it has not.
        """
        last = None
        while True:
            try:
                result = await send_once()
            except ProcessStopping:
                # Told when to come back, the caller is served elsewhere at once.
                raise
            except (Overloaded, DeadlinePassed):
                if last is None:
                    raise
                return self.ran or last
            if not isinstance(result, NotRun):
                self.ran = result
            if not is_open(result) or not self.may_send_again():
                return self.ran or result
            last = result

    def choose(self) -> ListedEndpoint:
        """Return an endpoint; raise Overloaded or Unavailable."""
        call = self.call
        placed = self.gateway.directory.choose_endpoint(
            call.service, self.tried, call.is_caller_retry
        )
        match placed:
            case Chosen(endpoint, load):
                self.check_stop()
                self.log_choice(endpoint, load)
                return endpoint
            case Refused(RefusalCause.NONE_LISTED):
                raise Unavailable(f"No endpoint of {call.service} may get work.")
            case Refused(cause):
                raise Overloaded(f"{call.service}: {cause}.")

    def log_choice(self, endpoint, load):
        event = RequestSent(
            request=self.call.head.request_id,
            endpoint=endpoint.name,
            attempt=len(self.tried) + 1,
            running_there=load.requests,
            version=self.gateway.configuration.version,
        )
        log_event(logger, event)

    def check_stop(self):
        """Refuse to begin what the end of this process might cut.

        A slow body brings a request here long after it came, and one that was not run
        at an endpoint is sent anew when much of the stop's time has passed. What may
        have run is sent again all the same: cut now or later, its caller has no answer,
        and no refusal could say that it has not run.
        """
        plan = self.gateway.stop_plan
        if plan is None or self.ran is not None:
            return
        if not plan.accepts(self.loop.time(), self.call.ends_at):
            raise refuse_at_stop()

    async def open(self, last_event_id=""):
        """Send the call once: Opened, NotRun or Lost; raise when it can't be sent."""
        call = self.call
        endpoint = self.choose()
        left = call.ends_at - self.loop.time() - WAY_SECONDS
        if left < LEAST_SECONDS:
            raise DeadlinePassed("Too little time is left to send it.")
        send = SendHead(
            endpoint_name=endpoint.name,
            patience=left,
            organisation=call.organisation,
            priority=call.priority,
            last_event_id=last_event_id or call.head.last_event_id,
        )
        self.release()
        self.tried.add(endpoint.name)
        self.reservation = self.gateway.directory.reserve(
            endpoint, call.head.prompt_tokens
        )
        opened = await open_answer(
            self.gateway.session, self.gateway.adapter, call, endpoint, send
        )
        self.settle(endpoint, opened)
        if isinstance(opened, NotRun) and opened.answer is not None:
            everywhere = self.refusals.is_service_wide(self.loop.time())
            return replace(opened, everywhere=everywhere)
        return opened

    @property
    def refusals(self):
        return self.gateway.directory.refusals[self.call.service]

    def first_event(self):
        """Note that the endpoint has read the prompt."""
        seconds = self.loop.time() - self.call.arrived
        self.gateway.metrics.first_event.labels(self.call.service).observe(seconds)
        self.reservation.mark_prompt_read()

    def release(self):
        """Take the newest sending's charge off its endpoint."""
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def settle(self, endpoint, opened):
        """Note what the sending says of its endpoint."""
        directory = self.gateway.directory
        history = directory.history(endpoint)
        match opened:
            case NotRun(answer=Answered(head)) | Opened(head):
                if head.status != MISDIRECTED_STATUS:
                    directory.record_rate(endpoint, head.rate)
        match opened:
            case NotRun(reason, answer):
                self.arrived |= answer is not None
                if answer is None or answer.head.status == MISDIRECTED_STATUS:
                    history.failed(self.loop.time())
                else:
                    self.sent += 1
                    self.refusals.refused(endpoint.name, self.loop.time())
                self.gateway.metrics.sent("not-run")
                self.log_end(endpoint, "not run", reason)
            case Lost(reason):
                self.arrived = True
                self.sent += 1
                history.failed(self.loop.time())
                self.gateway.metrics.sent("lost")
                self.log_end(endpoint, "lost", reason)
            case _:
                self.arrived = True
                self.sent += 1
                self.gateway.metrics.sent("opened")
                history.succeeded()
                self.refusals.answered()

    def log_end(self, endpoint, result, reason):
        request_id = self.call.head.request_id
        log_event(logger, SendingFailed(request_id, endpoint.name, result, reason))

    def may_send_again(self):
        """Tell whether the route, the time and the service's budget allow another.

        Raise ProcessStopping if only the stop of this process is against it.
        """
        call = self.call
        if self.sent >= call.route.maximum_attempts:
            return False
        now = self.loop.time()
        if call.ends_at - now - WAY_SECONDS < LEAST_SECONDS:
            return False
        self.check_stop()
        if not self.arrived:
            # Nothing has arrived anywhere, so that it is no repeat.
            return True
        return self.gateway.retries[call.service].spend(
            now, self.gateway.peers.count_sharing_gateways()
        )
