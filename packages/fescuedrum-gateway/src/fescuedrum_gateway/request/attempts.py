"""Send a call to endpoints, with retries within the limits of its route."""

import asyncio
import logging
from dataclasses import replace

from fescuedrum.decisions.admitting.feasibility import can_end_in_time
from fescuedrum.decisions.placing.placement import Chosen, RefusalCause, Refused
from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import RequestSent, RetryDenied, SendingFailed
from fescuedrum.exceptions import (
    DeadlinePassed,
    GroupDown,
    Overloaded,
    ProcessStopping,
    Quarantined,
    TooSlow,
    Unavailable,
)
from fescuedrum_gateway.adapter import AnswerHead, ForwardHead
from fescuedrum_gateway.connection.endpoints import OpenedAnswer, send_call
from fescuedrum_gateway.process.filling import Filling
from fescuedrum_gateway.request.admission import build_stopping_error
from fescuedrum_gateway.request.call import Answered, Lost, NotRun
from fescuedrum_gateway.request.evidence import CallEvidence
from fescuedrum_gateway.request.waiting import ServiceWait

logger = logging.getLogger(__name__)

# Time for the answer's way back. Work that an endpoint does in this time is wasted.
ANSWER_TRANSIT_SECONDS = 0.01
# With less time left the answer would be late: a plain request takes some 20 ms.
MINIMUM_SECONDS_LEFT = 0.02
# Status of an endpoint that is another one than the request was meant for.
MISDIRECTED_STATUS = 421


class Attempts:
    """Send one call to one endpoint after another."""

    __slots__ = (
        "attempt_count",
        "call",
        "charged_at_count",
        "endpoint",
        "evidence",
        "gateway",
        "loop",
        "may_have_arrived",
        "place",
        "possible_run",
        "reservation",
        "sent_at",
        "sent_count",
        "tried",
        "wait",
    )

    def __init__(self, call, gateway):
        self.call = call
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        # Attempts that reached the endpoint that was meant, or may have reached it.
        self.attempt_count = 0
        # Whether any endpoint may have received the request, also a wrong one.
        self.may_have_arrived = False
        # Result of the last attempt that may have run.
        self.possible_run = None
        self.tried = set()
        # Endpoint of the last attempt, and when it was sent there.
        self.endpoint = None
        self.sent_at = float("-inf")
        # Place that was granted before the first attempt; None if none was needed.
        self.place = None
        self.sent_count = 0
        # sent_count when a retry was last charged to the budget; None before that.
        self.charged_at_count = None
        self.wait = ServiceWait(self)
        # Reservation at the endpoint of the last attempt.
        self.reservation = None
        # What the attempts show about what ends endpoints.
        self.evidence = CallEvidence(call, gateway.quarantine)

    async def send_with_retries(self, send_once, is_retryable):
        """Send the call until a result is final; return the most significant result.

        If an attempt may have run, its result is returned even if a later one was
        refused or found no endpoint. Otherwise the caller would be told that the
        request has not run.
        """
        last = None
        while True:
            try:
                await self.wait.until_answering()
                result = await send_once()
            except ProcessStopping:
                # The caller is told when to retry, and is served elsewhere at once.
                raise
            except (Overloaded, DeadlinePassed, Quarantined) as error:
                if self.wait.follows(error):
                    continue
                if last is None:
                    raise
                return self.possible_run or last
            if not isinstance(result, NotRun):
                self.possible_run = result
            if self.wait.follows(result):
                last = result
                continue
            if not is_retryable(result) or not self.may_retry():
                return self.possible_run or result
            last = result

    async def take_place(self) -> Filling | None:
        """Wait for a place before the first attempt; raise Overloaded if refused.

        Return the filling of the service if it was just computed.
        """
        if self.tried:
            return None
        self.place = await self.gateway.places.take(self.call)
        return self.place.filling if self.place else None

    def choose_endpoint(self, filling: Filling | None) -> ListedEndpoint:
        """Return an endpoint for the next attempt; raise Overloaded or Unavailable."""
        call = self.call
        placed = self.gateway.directory.choose_endpoint(
            call.service,
            self.tried,
            call.is_caller_retry,
            filling,
            call.tokens,
            self.reserve_retry,
            has_place=self.place is not None and self.place.was_decided,
        )
        match placed:
            case Chosen(endpoint):
                self.raise_if_stopping()
                self.log_choice(placed)
                return endpoint
            case Refused(RefusalCause.GROUPS_OUT):
                raise GroupDown(f"All groups of {call.service} are out.")
            case Refused(RefusalCause.NONE_LISTED):
                raise Unavailable(f"No endpoint of {call.service} is available.")
            case Refused(cause):
                raise Overloaded(f"{call.service}: {cause}.")

    def raise_if_too_slow(self, last_event_id):
        """Raise TooSlow for a stream that can't end before its deadline.

        How much of a resumed stream is left is not known, so it is always sent.
        """
        call, now = self.call, self.loop.time()
        if last_event_id or not call.route.kind.is_stream:
            return
        tokens_per_event = self.gateway.configuration.table.tokens_per_event(
            call.service
        )
        pass_seconds = self.gateway.directory.group_chooser.lasting_pass_seconds(
            call.service
        )
        left = call.deadline - now
        expected = call.head.expected_tokens
        if not can_end_in_time(expected, tokens_per_event, pass_seconds, left):
            raise TooSlow(
                f"{call.service}: an answer of about {expected} tokens does not end "
                f"in {left:.1f} s while a pass takes {pass_seconds:.2f} s."
            )

    def log_choice(self, chosen: Chosen) -> None:
        """Log to which endpoint the call is sent."""
        event = RequestSent(
            request=self.call.head.request_id,
            endpoint=chosen.endpoint.name,
            attempt=self.sent_count + 1,
            running_there=chosen.load.requests,
            version=self.gateway.configuration.version,
            group=self.gateway.directory.group_of(chosen.endpoint) or None,
            is_probe=chosen.is_probe or None,
            parts=self.evidence.parts,
            fingerprint=self.call.fingerprint,
        )
        log_event(logger, event)

    def raise_if_stopping(self):
        """Raise ProcessStopping for a call that the end of this process might cut off.

        A request with a slow body, or one that an endpoint did not run, may be sent
        when much of the time of the stop has passed. A call that may have run is sent
        again nevertheless: its caller has no answer either way, and a refusal would
        say that the call has not run.
        """
        plan = self.gateway.stop_plan
        if plan is None or self.possible_run is not None:
            return
        if not plan.accepts(self.loop.time(), self.call.deadline):
            raise build_stopping_error()

    async def open(self, last_event_id=""):
        """Send the call once; return OpenedAnswer, NotRun or Lost.

        Raise an error if there is no endpoint for it or too little time is left.
        """
        call = self.call
        await self.evidence.until_checked()
        self.evidence.raise_if_quarantined()
        self.raise_if_too_slow(last_event_id or call.head.last_event_id)
        filling = await self.take_place()
        endpoint = self.choose_endpoint(filling)
        # While it waited for a place, it may have been quarantined or tried.
        self.evidence.raise_if_quarantined()
        seconds_left = call.deadline - self.loop.time() - ANSWER_TRANSIT_SECONDS
        if seconds_left < MINIMUM_SECONDS_LEFT:
            raise DeadlinePassed("Too little time is left to send it.")
        send = ForwardHead(
            endpoint_name=endpoint.name,
            seconds_left=seconds_left,
            organisation=call.organisation,
            priority=self.gateway.places.urgency(call),
            last_event_id=last_event_id or call.head.last_event_id,
        )
        self.release_reservation()
        self.evidence.closed()
        self.tried.add(endpoint.name)
        self.endpoint, self.sent_at = endpoint, self.loop.time()
        self.sent_count += 1
        self.gateway.returns.record_sent(call.service)
        self.reservation = self.gateway.directory.reserve(
            endpoint, call.head.prompt_tokens, call.tokens
        )
        self.evidence.sent(endpoint)
        opened = await send_call(
            self.gateway.session, self.gateway.adapter, call, endpoint, send
        )
        self.record_outcome(endpoint, opened)
        if isinstance(opened, OpenedAnswer) and not self.may_need_body:
            call.held.release_body()
        if isinstance(opened, NotRun) and opened.answer is not None:
            everywhere = self.refuses_everywhere(opened.answer.head)
            if everywhere:
                self.gateway.returns.record_refusal(call.service)
            return replace(opened, everywhere=everywhere)
        return opened

    def refuses_everywhere(self, head: AnswerHead) -> bool:
        """Return whether an endpoint's refusal shows that the whole service refuses.

        A refusal of a single group's probe does so; one of several groups may be back
        before the others. An endpoint of another service at the address says nothing.
        """
        groups, service = self.gateway.directory.groups, self.call.service
        if groups.refuses_everywhere(service):
            return True
        is_own = head.status != MISDIRECTED_STATUS
        return is_own and self.wait.is_probe and not groups.membership.is_split(service)

    def record_pass(self, seconds: float | None) -> None:
        """Record an event after a pass of so many seconds; None for the first event."""
        groups, endpoint = self.gateway.directory.groups, self.endpoint
        if seconds is None:
            groups.ran(endpoint, self.sent_at)
            return
        groups.passed(endpoint, seconds)

    @property
    def may_need_body(self):
        """Return whether the call may be sent again after an answer has begun."""
        route = self.call.route
        return route.kind.is_repeatable and self.attempt_count < route.maximum_attempts

    def record_first_event(self):
        """Record that the endpoint has read the prompt and sent its first event."""
        seconds = self.loop.time() - self.call.arrived
        self.gateway.metrics.first_event.labels(self.call.service).observe(seconds)
        self.reservation.mark_prompt_read()

    def end(self):
        """Release what the call holds, and record its wait."""
        self.evidence.closed()
        self.release()
        self.wait.end()

    def release(self):
        """Release the place, and the reservation at the last attempt's endpoint."""
        self.release_reservation()
        if self.place is not None:
            self.place.leave()
            self.place = None

    def release_reservation(self):
        """Release the reservation at the endpoint of the last attempt."""
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def record_outcome(self, endpoint, opened):
        """Record the result of an attempt and what it says about its endpoint."""
        directory = self.gateway.directory
        history = directory.history(endpoint)
        match opened:
            case NotRun(answer=Answered(head)) | OpenedAnswer(head):
                if head.status != MISDIRECTED_STATUS:
                    directory.record_rate(endpoint, head.rate)
                    directory.record_notices(endpoint, head)
            case Lost(head=AnswerHead() as head):
                directory.record_notices(endpoint, head)
        match opened:
            case NotRun(reason, answer):
                self.may_have_arrived |= answer is not None
                self.evidence.closed()
                if answer is None or answer.head.status == MISDIRECTED_STATUS:
                    history.failed(self.loop.time())
                else:
                    self.attempt_count += 1
                    directory.groups.refused(endpoint)
                if opened.is_closed:
                    self.gateway.quarantine.checks.found_closed(endpoint)
                self.gateway.metrics.count_attempt("not-run")
                rest = None if answer is None else answer.head.rest_seconds
                self.log_failure(endpoint, "not run", reason, rest)
            case Lost():
                self.evidence.broke()
                self.may_have_arrived = True
                self.attempt_count += 1
                self.wait.record_taken()
                history.failed(self.loop.time())
                self.gateway.metrics.count_attempt("lost")
                self.count_malformed(opened.broken_rule)
                self.log_failure(endpoint, "lost", opened.description)
            case _:
                self.may_have_arrived = True
                self.attempt_count += 1
                self.gateway.metrics.count_attempt("opened")
                history.succeeded()
                directory.groups.opened(endpoint)
                if not (self.call.route.kind.is_stream and opened.head.succeeded):
                    directory.groups.ran(endpoint, self.sent_at)
                self.wait.record_taken()
                self.gateway.returns.record_answer(self.call.service)

    def record_broken_answer(self, lost: Lost) -> None:
        """Record that an answer broke off after its head."""
        self.evidence.broke()
        self.count_malformed(lost.broken_rule)
        self.log_failure(self.endpoint, "lost", lost.description)

    def count_malformed(self, rule: str) -> None:
        """Count an answer that breaks a rule; none if the rule is empty."""
        if rule:
            self.gateway.metrics.count_malformed(rule)

    def record_deadline_passed(self):
        """Count that the deadline passed while an endpoint had the call."""
        if self.reservation is not None:
            self.gateway.metrics.count_deadline_passed(self.call.service)

    def log_failure(self, endpoint, result, reason, rest_seconds=None):
        """Log an attempt without an answer of the endpoint's own."""
        event = SendingFailed(
            request=self.call.head.request_id,
            endpoint=endpoint.name,
            result=result,
            reason=reason,
            rest_seconds=rest_seconds,
            parts=self.evidence.parts,
            fingerprint=self.call.fingerprint,
        )
        log_event(logger, event)

    @property
    def attempts_left(self) -> int:
        """Return to how many more endpoints the call may be sent."""
        return self.call.route.maximum_attempts - self.attempt_count

    def has_time_left(self, now) -> bool:
        """Return whether enough time is left at a time to send the call."""
        return self.call.deadline - now - ANSWER_TRANSIT_SECONDS >= MINIMUM_SECONDS_LEFT

    def may_retry(self):
        """Return whether the route, the deadline and the retry budget allow a retry.

        Raise ProcessStopping if the route and the deadline allow it but this process
        stops before the deadline.
        """
        now = self.loop.time()
        if self.attempts_left < 1 or not self.has_time_left(now):
            self.log_denied("time" if self.attempts_left else "attempts")
            return False
        self.raise_if_stopping()
        if not self.may_have_arrived:
            # No endpoint received the request, so this is no retry for the budget.
            return True
        if self.charged_at_count == self.sent_count:
            # The retry that was charged before found no endpoint and was not sent.
            return True
        if not self.spend_retry():
            self.log_denied("budget")
            return False
        self.charged_at_count = self.sent_count
        return True

    def reserve_retry(self) -> bool:
        """Charge the retry that follows the next attempt; return False without one."""
        if self.attempts_left <= 1 or not self.has_time_left(self.loop.time()):
            return False
        if not self.spend_retry():
            return False
        self.charged_at_count = self.sent_count + 1
        return True

    def spend_retry(self) -> bool:
        """Take a retry from the budget of the service; return False if none is left."""
        return self.gateway.retries[self.call.service].spend(
            self.loop.time(), self.gateway.peers.count_sharing_gateways()
        )

    def log_denied(self, reason):
        """Log why the call is not sent again."""
        log_event(logger, RetryDenied(self.call.head.request_id, reason))
