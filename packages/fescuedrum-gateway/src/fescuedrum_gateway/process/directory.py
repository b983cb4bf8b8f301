"""Track the endpoints of all services and choose one for each request."""

import asyncio
import collections
import logging
from collections.abc import Callable, Mapping

from fescuedrum.conf.routing import RoutedService
from fescuedrum.decisions.admitting.memory import TokenDemand, select_with_room
from fescuedrum.decisions.admitting.rooms import request_limit
from fescuedrum.decisions.placing.coldness import cold_request_limit
from fescuedrum.decisions.placing.notices import EndpointNotices
from fescuedrum.decisions.placing.placement import (
    Chosen,
    EndpointHistory,
    Load,
    Option,
    PlacementLimits,
    RefusalCause,
    Refused,
    choose_endpoint,
    choose_healthy,
    sample_size,
)
from fescuedrum.decisions.placing.presence import EndpointPresence, ListedEndpoint
from fescuedrum.decisions.placing.ratelimits import (
    Limited,
    NotUnderstood,
    Rate,
    RateLimits,
    RateReport,
    Unlimited,
)
from fescuedrum.decisions.placing.shares import BoundShares
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import (
    EndpointGone,
    EndpointLeaves,
    EndpointLimited,
    EndpointListed,
    EndpointRateNotUnderstood,
    EndpointRests,
    EndpointRowNotUnderstood,
    EndpointUnlisted,
    ZoneTakenBack,
    ZoneTakenOut,
)
from fescuedrum.exceptions import RowNotUnderstood
from fescuedrum_gateway.adapter import AnswerHead, ZoneOut
from fescuedrum_gateway.process.filling import Filling
from fescuedrum_gateway.process.group_choice import GroupChooser, GroupRequest
from fescuedrum_gateway.process.group_directory import (
    GroupDirectory,
    GroupPart,
    GroupState,
)
from fescuedrum_gateway.process.reservations import Reservation

logger = logging.getLogger(__name__)


class EndpointDirectory:
    """Hold the endpoints of all services and choose an endpoint for a request."""

    __slots__ = (
        "adapter",
        "announce_change",
        "configuration",
        "group_chooser",
        "groups",
        "histories",
        "loop",
        "notices",
        "pass_timers",
        "peers",
        "presences",
        "random",
        "rate_limits",
        "settings",
        "shares",
        "token_demands",
        "zones_out",
    )

    def __init__(self, settings, adapter, configuration, peers, pass_timers, random):
        self.settings = settings
        self.adapter = adapter
        self.configuration = configuration
        self.peers = peers
        # PassTimers, measured on this gateway's own streams.
        self.pass_timers = pass_timers
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.presences = EndpointPresence()
        self.histories = collections.defaultdict(EndpointHistory)
        self.groups = GroupDirectory(
            settings.host, self.presences, peers, pass_timers, random
        )
        self.group_chooser = GroupChooser(self.groups, self.pass_ratio)
        self.shares = BoundShares(settings.host, settings.zone)
        # By name of service.
        self.token_demands = collections.defaultdict(TokenDemand)
        self.rate_limits = RateLimits()
        self.notices = EndpointNotices()
        self.zones_out = {}
        # Called with an endpoint's zone when this gateway's load there changes.
        self.announce_change = lambda zone: None

    # Rows of the platform's store

    def take_endpoint_rows(self, rows):
        """Apply changed rows of the list of endpoints."""
        now = self.loop.time()
        for row in rows:
            if row.value is None:
                self.presences.unlisted(row.key, now)
                self.forget(row.key)
                log_event(logger, EndpointUnlisted(row.key, row.version))
            else:
                self.apply_endpoint_row(row, now)
        self.expire()

    def apply_endpoint_row(self, row, now):
        """List the endpoint of a row; unlist it if the row can't be decoded."""
        try:
            endpoint = self.adapter.read_endpoint(row)
        except RowNotUnderstood as error:
            # Only this row is dropped; the other rows of the list stay valid.
            self.presences.unlisted(row.key, now)
            log_event(
                logger, EndpointRowNotUnderstood(row.key, row.version, error.detail)
            )
            return
        known = self.presences.by_name.get(endpoint.name)
        if known is not None and known.endpoint.started_at != endpoint.started_at:
            # The endpoint has restarted under its name: its earlier state is invalid.
            self.histories.pop(endpoint.name, None)
            self.rate_limits.forget(endpoint.name)
            self.notices.restarted(endpoint.name, now)
            self.groups.forget(endpoint.name)
        self.presences.listed(endpoint)
        if known is None or known.endpoint != endpoint:
            event = EndpointListed(
                row=row.key,
                row_version=row.version,
                service=endpoint.service,
                endpoint_zone=endpoint.zone,
                state=endpoint.state.value,
                cold_seconds=endpoint.cold_seconds,
            )
            log_event(logger, event)

    def apply_zone_row(self, row):
        """Apply a row by which operators take a zone out of service or put it back."""
        decoded = (
            self.adapter.read_operators_row(row) if row.value is not None else None
        )
        if isinstance(decoded, ZoneOut):
            self.zones_out[row.key] = decoded.zone
            log_event(logger, ZoneTakenOut(decoded.zone, row.key, row.version))
        elif self.zones_out.pop(row.key, None) is not None:
            log_event(logger, ZoneTakenBack(row.key, row.version))

    def expire(self):
        """Drop endpoints whose rows were deleted and not written again in time."""
        for name in self.presences.expire(self.loop.time()):
            self.forget(name)
            log_event(logger, EndpointGone(name))
        self.groups.expire()

    def forget(self, name: str) -> None:
        """Drop the bound shares and the rate limit of an endpoint that is gone."""
        self.shares.forget(name)
        self.rate_limits.forget(name)
        if name not in self.presences.by_name:
            self.groups.forget(name)

    # Rate limits

    def record_rate(self, endpoint: ListedEndpoint, rate: Rate) -> None:
        """Record the rate limit that an endpoint named in its own answer."""
        if isinstance(rate, NotUnderstood):
            log_event(logger, EndpointRateNotUnderstood(endpoint.name, rate.text))
        if self.rate_limits.observe(endpoint.name, rate, self.loop.time()):
            self.log_rate(endpoint.name, rate, "")

    def merge_rate_reports(
        self, host: str, reports: list[tuple[str, RateReport]]
    ) -> None:
        """Merge the rate limits that endpoints named to another gateway."""
        for endpoint, report in reports:
            if endpoint not in self.presences.by_name:
                continue
            if self.rate_limits.merge(endpoint, report):
                self.log_rate(endpoint, report.rate, host)

    def log_rate(self, endpoint: str, rate: Limited | Unlimited, host: str) -> None:
        """Log an endpoint's new rate limit; host is empty if it named it itself."""
        match rate:
            case Limited(per_second):
                log_event(logger, EndpointLimited(endpoint, per_second, host))
            case Unlimited():
                log_event(logger, EndpointLimited(endpoint, None, host))

    # Notices

    def record_notices(self, endpoint: ListedEndpoint, head: AnswerHead) -> None:
        """Record what an endpoint's answer asks of this gateway."""
        now = self.loop.time()
        if head.is_leaving and not self.notices.announce_leave(endpoint, now):
            log_event(logger, EndpointLeaves(endpoint.name))
        seconds = head.rest_seconds
        if seconds and not self.notices.ask_rest(endpoint.name, seconds, now):
            log_event(logger, EndpointRests(endpoint.name, seconds))

    def count_resting(self) -> int:
        """Return how many endpoints get no requests, as they asked for rest."""
        return len(self.notices.resting(self.loop.time()))

    # Choosing

    def usable(self, service: str) -> list[ListedEndpoint]:
        """Return the endpoints of a service that may get requests."""
        self.expire()
        now = self.loop.time()
        zones_out = set(self.zones_out.values())
        return [
            each
            for each in self.presences.ready(service)
            if each.zone not in zones_out and not self.notices.is_leaving(each, now)
        ]

    def filling(self, service: str) -> Filling:
        """Return the usable places of a service and the requests at them."""
        usable, loads = self.usable(service), self.peers.loads()
        now = self.loop.time()
        serving = [
            each
            for each in self.groups.without_those_out(service, usable)
            if not self.notices.is_resting(each.name, now)
            and self.histories[each.name].avoided_until <= now
        ]
        taken = sum(
            # A wrong count of one endpoint must not stand for many places.
            min(max(self.requests_at(each.name, loads), 0), 2 * each.slots)
            for each in serving
        )
        places = sum(each.slots for each in serving)
        return Filling(places, taken, len(serving), usable, loads)

    def count_places(self, service: str) -> int:
        """Return the places of a service, with those of groups that are out."""
        return sum(each.slots for each in self.usable(service))

    def requests_at(self, name: str, loads: Mapping[str, Load]) -> int:
        """Return the requests at an endpoint, with the other gateways' loads."""
        own = self.histories[name].own.requests
        return own + loads[name].requests if name in loads else own

    def choose_endpoint(
        self,
        service,
        tried,
        is_caller_retry,
        filling=None,
        tokens=0,
        reserve_retry=lambda: True,
        *,
        has_place=False,
    ):
        """Return Chosen with an untried endpoint for a request, or Refused.

        filling is that of the service as of now, if it is known. tokens is how many the
        request holds there or may still generate. reserve_retry reserves a retry for
        it, and returns False if it may not be sent again. has_place says that it was
        granted a place by its urgency, which is lower for a caller that retries.
        """
        now = self.loop.time()
        usable = self.usable(service) if filling is None else filling.usable
        untried = [each for each in usable if each.name not in tried]
        if not untried and tried:
            return Refused(RefusalCause.NONE_LISTED)
        awake = [
            each for each in untried if not self.notices.is_resting(each.name, now)
        ]
        if untried and not awake:
            return Refused(RefusalCause.ALL_RESTING)
        self.shares.follow(self.peers.sharing_zones())
        loads = self.peers.loads() if filling is None else filling.loads
        # Whether it gets only what new callers leave free at each endpoint.
        is_late = is_caller_retry and not has_place
        if not self.groups.membership.is_split(service):
            limits = self.limits(service, is_late, len(usable), tokens=tokens)
            return self.place(awake, loads, limits)

        def place(group: str, part: GroupPart) -> Chosen | Refused:
            limits = self.limits(service, is_late, part.usable, group, tokens)
            return self.place(part.awake, loads, limits)

        parts = self.groups.split(usable, awake)
        for part in parts.values():
            part.measure(self.histories, loads, self.is_in_mesh)
        request = GroupRequest(service, tried, is_caller_retry, reserve_retry)
        return self.group_chooser.choose(request, parts, place)

    def place(
        self,
        awake: list[ListedEndpoint],
        loads: dict[str, Load],
        limits: PlacementLimits,
    ) -> Chosen | Refused:
        """Return Chosen with the best of some endpoints of one group, or Refused."""
        now = self.loop.time()
        mesh = [each for each in awake if self.is_in_mesh(each)]
        if len(mesh) < len(awake):
            # Most requests are placed here, which saves building an option for every
            # endpoint of a large fleet.
            options = [self.build_option(each, loads[each.name]) for each in mesh]
            if placed := choose_healthy(options, limits, now, self.random):
                return placed
        options = [self.build_option(each, loads[each.name]) for each in awake]
        return choose_endpoint(options, limits, now, self.random)

    def is_in_mesh(self, endpoint: ListedEndpoint) -> bool:
        """Return whether gateways announce load changes at an endpoint promptly."""
        return self.peers.is_one_mesh or endpoint.zone == self.settings.zone

    def build_option(self, endpoint, other_load):
        """Return an endpoint's Option; other_load is what other gateways have there."""
        history = self.histories[endpoint.name]
        load = Load(
            history.own.requests + other_load.requests,
            history.own.unread_tokens + other_load.unread_tokens,
            history.own.tokens + other_load.tokens,
        )
        same_zone = endpoint.zone == self.settings.zone
        return Option(endpoint, load, history, same_zone, self.is_in_mesh(endpoint))

    def limits(self, service, is_caller_retry, endpoints, group="", tokens=0):
        """Return the PlacementLimits of a request in a group of usable endpoints."""
        routed_service = self.configuration.table.services.get(service)
        if routed_service is None:
            return PlacementLimits()
        is_engine = routed_service.engine is not None
        pass_ratio = self.pass_ratio(service, group) if is_engine else 0.0
        return PlacementLimits(
            request_limit=lambda endpoint: request_limit(
                endpoint.slots,
                is_engine=is_engine,
                is_caller_retry=is_caller_retry,
                pass_ratio=pass_ratio,
                ranks=endpoints,
            ),
            arrivals=self.build_cold_bound(routed_service),
            rated_arrivals=self.rate_bound,
            select_with_room=self.build_token_bound(service, tokens),
            candidates=sample_size(self.peers.mesh_size),
        )

    def build_cold_bound(
        self, routed_service: RoutedService
    ) -> Callable[[ListedEndpoint], int] | None:
        """Return a function for the requests a second allowed to a cold endpoint.

        It returns this gateway's share of an endpoint's bound. Return None if the
        service has no such bound.
        """
        total = cold_request_limit(
            routed_service.cold_per_second,
            self.settings.cold_factor,
            self.settings.cold_slack,
        )
        if total is None:
            return None
        return lambda each: self.shares.allowed(each.name, each.zone, total)

    def build_token_bound(
        self, service: str, tokens: int
    ) -> Callable[[list[Option]], list[Option]] | None:
        """Return a function for the options with memory for a request's tokens.

        Return None if the capacity of the service's engines is unknown.
        """
        capacity = self.configuration.table.token_capacity(service)
        if not capacity:
            return None
        demand, now = self.token_demands[service], self.loop.time()
        unseen = demand.unseen(
            now, self.peers.count_sharing_gateways(), self.peers.count_delay
        )
        return lambda options: select_with_room(
            options,
            tokens,
            capacity,
            unseen,
            lambda each: self.shares.allowed(each.name, each.zone, 1) > 0,
        )

    def rate_bound(self, endpoint: ListedEndpoint) -> int | None:
        """Return this gateway's share of an endpoint's rate limit, or None."""
        total = self.rate_limits.requests(endpoint.name, self.loop.time())
        if total is None:
            return None
        return self.shares.allowed(endpoint.name, endpoint.zone, total)

    def pass_ratio(self, service: str, group: str = "") -> float:
        """Return the ratio of pass length to the pause allowed; 0 if unknown."""
        pause = self.configuration.table.allowed_pauses.get(service)
        timer = self.groups.timer(service, group)
        current = timer.current_pass_seconds(self.loop.time())
        return current / pause if pause and current else 0.0

    def group_of(self, endpoint: ListedEndpoint) -> str:
        """Return an endpoint's group; "" while fewer than two are known."""
        return self.groups.group_of(endpoint)

    def group_states(self, service: str) -> dict[str, GroupState]:
        """Return the state of each group of a service; empty for fewer than two."""
        membership = self.groups.membership
        names = membership.names(service) if membership.is_split(service) else ()
        return {name: self.groups.states[service, name] for name in names}

    def high_pass_seconds(self, service: str) -> float | None:
        """Return the length that few of the current passes exceed, or None."""
        return self.group_chooser.high_pass_seconds(service)

    def history(self, endpoint):
        """Return what this gateway knows of an endpoint beyond its row."""
        return self.histories[endpoint.name]

    def avoid(self, endpoint: ListedEndpoint) -> None:
        """Send an endpoint that has ended nothing for a pause."""
        now, history = self.loop.time(), self.histories[endpoint.name]
        if history.avoided_until <= now:
            history.failed(now)

    def reserve(self, endpoint, tokens, held_tokens=0):
        """Return a Reservation for a request that is about to be sent."""
        history = self.histories[endpoint.name]
        history.sent(self.loop.time())
        self.token_demands[endpoint.service].add(held_tokens, self.loop.time())
        return Reservation(self, endpoint.zone, history.own, tokens, held_tokens)

    def own_loads(self):
        """Return (name, load) for each endpoint with requests of this gateway."""
        return [
            (name, history.own)
            for name, history in self.histories.items()
            if history.own.requests
        ]
