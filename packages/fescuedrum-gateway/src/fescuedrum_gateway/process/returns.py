"""Hold one gateway's state of callers who return or wait after an outage."""

import asyncio
import collections

from fescuedrum.decisions.admitting.rooms import CALLER_RETRY_SHARE
from fescuedrum.decisions.returning.retries import DecayingCount
from fescuedrum.decisions.returning.returns import retry_delay
from fescuedrum.decisions.returning.schedule import (
    ReturnLedger,
    ServiceState,
    tell_return,
)
from fescuedrum.decisions.returning.waiting import (
    RELEASE_SECONDS,
    Waiter,
    WaitingRequests,
)
from fescuedrum.exceptions import Unavailable
from fescuedrum_gateway.request.admission import build_stopping_error

# Window in which a service's new callers are counted.
DEMAND_SECONDS = 2.0
# Share of the latest request in the mean duration of requests.
LATEST_SHARE = 0.05


class ServiceReturns:
    """The callers of one service who were told to return, or who wait."""

    __slots__ = ("futures", "ledger", "new_callers", "seconds", "timer", "waiting")

    def __init__(self):
        self.ledger = ReturnLedger()
        self.waiting = WaitingRequests()
        # What each waiting request awaits.
        self.futures: dict[Waiter, asyncio.Future] = {}
        self.timer = None
        self.new_callers = DecayingCount(DEMAND_SECONDS)
        # Mean duration of a request; None before the first has ended.
        self.seconds = None

    def record_seconds(self, seconds: float) -> None:
        """Include the duration of a request in the mean."""
        if self.seconds is None:
            self.seconds = seconds
        self.seconds += LATEST_SHARE * (seconds - self.seconds)


class Returns:
    """Tell refused callers when to return; let returned ones wait in an outage."""

    __slots__ = ("gateway", "loop", "services")

    def __init__(self, gateway):
        self.gateway = gateway
        self.loop = asyncio.get_running_loop()
        self.services = collections.defaultdict(ServiceReturns)

    def is_in_force(self, service: str) -> bool:
        """Return whether callers of a service are treated as described here.

        Where places are not given out by urgency, callers who waited would take those
        of new ones who are as urgent and can still be on time.
        """
        return self.gateway.places.find(service) is not None

    def has_groups(self, service: str) -> bool:
        """Return whether several groups of a service are known."""
        return self.gateway.directory.groups.membership.is_split(service)

    def is_down(self, service: str) -> bool:
        """Return whether all of a service refuses requests."""
        return self.gateway.directory.groups.refuses_everywhere(service)

    def rank(self, call) -> int:
        """Return the rank of a call, 0 being the most urgent."""
        return self.gateway.places.rank(call)

    def free_places(self, service: str) -> float:
        """Return this gateway's part of the places left to callers who return."""
        filling = self.gateway.directory.filling(service)
        return self.own_part(
            max(CALLER_RETRY_SHARE * filling.places - filling.taken, 0)
        )

    def own_part(self, count: float) -> float:
        """Return this gateway's part of a count over all gateways."""
        return count / self.gateway.peers.count_sharing_gateways()

    # What happens to requests

    def record_arrival(self, call) -> None:
        """Count a new caller."""
        if not call.is_caller_retry and self.is_in_force(call.service):
            self.services[call.service].new_callers.add(self.loop.time())

    def record_end(self, call, seconds: float) -> None:
        """Record how long an answered request took."""
        if self.is_in_force(call.service):
            self.services[call.service].record_seconds(seconds)

    def record_sent(self, service: str) -> None:
        """Record that a request is sent to an endpoint of a service."""
        if state := self.services.get(service):
            state.waiting.record_sent(self.loop.time())

    def record_answer(self, service: str) -> None:
        """Record that an endpoint of a service answers; release who waits for it."""
        state = self.services.get(service)
        if state is None or not state.waiting or state.waiting.is_answering:
            return
        state.waiting.record_answer()
        self.restart(service, state)

    def record_refusal(self, service: str) -> None:
        """Record that the whole of a service refuses requests."""
        if state := self.services.get(service):
            state.waiting.record_refusal()

    # Times to return

    def delay(self, call, patience: float, error) -> float:
        """Return the seconds after which a refused caller should return.

        call is None if the request was refused before its service was known.
        """
        if call is None or call.is_caller_retry or not self.is_in_force(call.service):
            return retry_delay(patience, self.gateway.random)
        state = self.services[call.service]
        tracker = self.gateway.patience_trackers[call.route.name]
        told = tell_return(
            patience,
            self.loop.time(),
            self.describe(call.service, state, error),
            state.ledger,
            self.gateway.random,
            recognised_after=tracker.recognised_after(patience),
        )
        self.gateway.metrics.returns.told.labels(call.service, told.when).inc()
        return told.seconds

    def describe(self, service: str, state: ServiceReturns, error) -> ServiceState:
        """Return what is known of a service when it refuses a caller with an error."""
        if isinstance(error, Unavailable) or self.is_down(service):
            return ServiceState(is_down=True)
        now, taken = self.loop.time(), self.gateway.directory.filling(service).taken
        freed = taken / state.seconds if state.seconds else 0.0
        return ServiceState(
            is_down=False,
            free_per_second=self.own_part(freed),
            demand_per_second=state.new_callers.value(now) / DEMAND_SECONDS,
        )

    # Waiting

    def is_awaited(self, service: str) -> bool:
        """Return whether a service is down, or others wait for their turn there.

        A caller that returns while others are released would otherwise go before them.
        """
        if self.is_down(service):
            return True
        state = self.services.get(service)
        return bool(state and state.waiting)

    def is_answering(self, service: str) -> bool:
        """Return whether a service has answered since requests began to wait for it."""
        return self.services[service].waiting.is_answering

    def has_room(self, service: str) -> bool:
        """Return whether another request may wait here; never without endpoints."""
        places = self.gateway.directory.count_places(service)
        return places > 0 and self.services[service].waiting.has_room(
            self.own_part(places)
        )

    async def wait(self, service: str, waiter: Waiter) -> bool:
        """Wait until a request may be sent; return False if its wait is over.

        Raise ProcessStopping if this process stops.
        """
        if self.gateway.stop_plan is not None:
            raise build_stopping_error()
        state = self.services[service]
        if not state.waiting:
            # An answer before this wait says nothing of the service now.
            state.waiting.record_refusal()
        released = state.futures[waiter] = self.loop.create_future()
        state.waiting.add(waiter)
        self.count_waiting(service, state)
        if state.timer is None:
            self.restart(service, state)
        try:
            async with asyncio.timeout_at(waiter.until):
                await released
        except TimeoutError:
            return False
        finally:
            state.waiting.remove(waiter)
            del state.futures[waiter]
            self.count_waiting(service, state)
        return True

    def count_waiting(self, service: str, state: ServiceReturns) -> None:
        gauge = self.gateway.metrics.returns.waiting.labels(service)
        gauge.set(len(state.waiting))

    def restart(self, service: str, state: ServiceReturns) -> None:
        """Release those who are due now instead of at the next regular time."""
        if state.timer is not None:
            state.timer.cancel()
        state.timer = self.loop.call_soon(self.release_due, service, state)

    def release_due(self, service: str, state: ServiceReturns) -> None:
        """Release the requests that are due, and do so again as long as any waits."""
        state.timer = None
        if not state.waiting:
            return
        if self.has_groups(service) and not self.is_down(service):
            # Another gateway may have found that a group is back.
            state.waiting.record_answer()
        free = self.free_places(service)
        for waiter in state.waiting.due(self.loop.time(), free):
            resolve(state.futures[waiter])
        state.timer = self.loop.call_later(
            RELEASE_SECONDS, self.release_due, service, state
        )

    def stop(self) -> None:
        """Refuse all who wait, as this process stops."""
        for state in self.services.values():
            for future in state.futures.values():
                resolve(future, build_stopping_error())


def resolve(future: asyncio.Future, error: Exception | None = None) -> None:
    """End what a request awaits, unless it has ended already."""
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
