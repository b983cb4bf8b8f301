"""Give out the places of contested services: who is served, waits or is refused.

The decision is that of fescuedrum.decisions.admitting.places.
"""

import asyncio
import bisect
import collections
import logging
from collections.abc import Mapping
from dataclasses import replace

from fescuedrum.decisions.admitting.places import (
    PlaceRefusal,
    PlaceRequest,
    PlaceState,
    Refuse,
    Serve,
    Wait,
    decide,
    kept_seconds,
    reserve,
    urgent_rate,
)
from fescuedrum.decisions.returning.returns import RETRY_RANK_PENALTY
from fescuedrum.events.event import log_event
from fescuedrum.events.requests import PlaceRefused
from fescuedrum.exceptions import Overloaded
from fescuedrum_gateway.process.contested import ContestedService
from fescuedrum_gateway.process.filling import Filling
from fescuedrum_gateway.process.place import Place, Waiter
from fescuedrum_gateway.process.place_metrics import REFUSED, SERVED, WAITED

logger = logging.getLogger(__name__)

# Part of a route's target for the first answer for which a request may wait here.
WAIT_SHARE = 1 / 8
# Changes of the loads within this time wake waiting requests once.
WAKE_SECONDS = 0.025


class Places:
    """Own the state of the contested services in one gateway."""

    __slots__ = (
        "configuration",
        "directory",
        "loop",
        "metrics",
        "peers",
        "random",
        "services",
        "settings",
        "wake_timer",
    )

    def __init__(self, settings, configuration, directory, peers, metrics, random):
        self.settings = settings
        self.configuration = configuration
        self.directory = directory
        self.peers = peers
        self.metrics = metrics
        self.random = random
        self.loop = asyncio.get_running_loop()
        # ContestedService by name.
        self.services = {}
        self.wake_timer = None

    # Ranks

    def find(self, name: str) -> ContestedService | None:
        """Return the state of a service if its routes differ in priority, or None."""
        is_contested = name in self.configuration.table.contested_services
        if not is_contested or self.settings.share_places == "off":
            self.services.pop(name, None)
            return None
        if name not in self.services:
            self.services[name] = ContestedService(name, self.peers, self.random)
        service = self.services[name]
        target = self.configuration.table.shortest_targets[name]
        service.urgent_wait_seconds = WAIT_SHARE * target
        return service

    def rank(self, call) -> int:
        """Return the urgency rank of a call, 0 for uncontested services."""
        if self.find(call.service) is None:
            return 0
        return self.new_rank(call) + call.is_caller_retry

    def new_rank(self, call) -> int:
        """Return the rank that the call would have if its caller did not retry."""
        penalty = RETRY_RANK_PENALTY if call.is_caller_retry else 0
        pair = (call.priority - penalty, call.route.priority)
        return bisect.bisect_left(
            self.configuration.table.urgencies[call.service], pair
        )

    def urgency(self, call) -> int:
        """Return the priority to send to an endpoint with a call."""
        service = self.find(call.service)
        if service is None or not service.is_in_force(self.loop.time()):
            return call.priority
        penalty = RETRY_RANK_PENALTY if call.is_caller_retry else 0
        return self.new_rank(call) + penalty

    # Beacons

    def own_demand(self) -> Mapping[str, Mapping[int, float]]:
        """Return the new requests per second of this gateway by service and rank."""
        now = self.loop.time()
        for service in self.services.values():
            service.refresh(now)
        return {name: each.meter.rates(now) for name, each in self.services.items()}

    def own_organisations(self) -> Mapping[str, collections.Counter[str]]:
        """Return the running requests of this gateway by service and organisation."""
        return {name: each.running for name, each in self.services.items()}

    # Decisions

    async def take(self, call) -> Place | None:
        """Return a place for a call, after a wait if needed; raise Overloaded.

        Return None at services that are not contested.
        """
        service = self.find(call.service)
        if service is None:
            return None
        now = self.loop.time()
        wait_until = call.arrived + WAIT_SHARE * call.route.target
        request = PlaceRequest(
            self.rank(call), call.organisation, wait_until - now, self.random.random()
        )
        service.ask(request, now, is_caller_retry=call.is_caller_retry)
        filling = None
        is_in_force = service.is_in_force(now)
        if is_in_force:
            filling = await self.contend(service, request, call)
        else:
            service.serve(request, now)
        return Place(service, call.organisation, filling, was_decided=is_in_force)

    async def contend(
        self, service: ContestedService, request: PlaceRequest, call
    ) -> Filling | None:
        """Wait until a request is served; raise Overloaded if it is refused.

        Return the filling of the service if it was served at once.
        """
        filling = self.directory.filling(service.name)
        state = self.state(service, request, filling)
        decision = decide(request, state)
        if isinstance(decision, Wait):
            if await self.wait(service, request, call.deadline, decision.seconds):
                self.metrics.count(service.name, request.rank, WAITED)
                return None
            filling = self.directory.filling(service.name)
            state = self.state(service, request, filling)
            decision = decide(replace(request, wait_seconds=0.0), state)
        match decision:
            case Serve():
                service.serve(request, self.loop.time())
                self.metrics.count(service.name, request.rank, SERVED)
                return filling
            case Refuse(reason):
                self.record_refusal(service, request, reason, state, call)
                raise Overloaded(f"{service.name}: {reason}.")

    def state(
        self, service: ContestedService, request: PlaceRequest, filling: Filling
    ) -> PlaceState:
        """Return the PlaceState for a request."""
        bound = self.measure_bound(service, filling)
        state = service.state(request, filling, bound, self.loop.time())
        ranks = len(self.configuration.table.urgencies[service.name])
        self.metrics.observe(service.name, state, ranks)
        return state

    def measure_bound(self, service: ContestedService, filling: Filling) -> float:
        """Return the bound on the requests of a service."""
        table = self.configuration.table
        return service.measure_bound(
            table.services[service.name].engine,
            table.allowed_pauses.get(service.name),
            self.directory.high_pass_seconds(service.name),
            filling,
            self.loop.time(),
        )

    def record_refusal(self, service, request, reason, state, call):
        """Count and log a refusal."""
        if reason is not PlaceRefusal.ORGANISATION_OVER_SHARE:
            service.refused_at = self.loop.time()
        self.metrics.count(service.name, request.rank, REFUSED)
        event = PlaceRefused(
            request=call.head.request_id,
            service=service.name,
            rank=request.rank,
            organisation=request.organisation,
            reason=reason,
            taken=state.taken,
            bound=round(state.bound, 1),
            reserve=round(reserve(request.rank, state), 1),
            urgent_per_second=round(urgent_rate(request.rank, state), 1),
            kept_seconds=round(kept_seconds(state), 3),
        )
        log_event(logger, event)

    # Waiting

    async def wait(
        self,
        service: ContestedService,
        request: PlaceRequest,
        deadline: float,
        seconds: float,
    ) -> bool:
        """Wait for a place for some seconds; return whether one was granted."""
        waiter = Waiter(request, (request.rank, deadline), self.loop.create_future())
        service.add_waiter(waiter)
        try:
            async with asyncio.timeout(seconds):
                await waiter.granted
        except TimeoutError:
            return waiter.granted.done() and not waiter.granted.cancelled()
        finally:
            if waiter in service.waiting:
                service.waiting.remove(waiter)
        return True

    def wake(self) -> None:
        """Let waiting requests ask again soon, as the known loads have changed."""
        if self.wake_timer is None and any(
            each.waiting for each in self.services.values()
        ):
            self.wake_timer = self.loop.call_later(WAKE_SECONDS, self.grant)

    def grant(self) -> None:
        """Grant free places to waiting requests in order."""
        self.wake_timer = None
        now = self.loop.time()
        for service in self.services.values():
            if not service.waiting:
                continue
            service.refresh(now)
            filling = self.directory.filling(service.name)
            bound, granted = self.measure_bound(service, filling), 0
            for waiter in list(service.waiting):
                if waiter.granted.done():
                    # Its time is over, and its task has not run since.
                    continue
                state = service.state(waiter.request, filling, bound, now, granted)
                if isinstance(decide(waiter.request, state), Serve):
                    granted += 1
                    service.serve(waiter.request, now)
                    service.waiting.remove(waiter)
                    waiter.granted.set_result(None)
