"""Know the endpoints, what is at each of them, and which may get work."""

import asyncio
import collections
import logging
from collections.abc import Callable

from fescuedrum.conf.routing import RoutedService
from fescuedrum.decisions.coldness import cold_request_limit
from fescuedrum.decisions.placement import (
    EndpointHistory,
    Load,
    Option,
    PlacementLimits,
    RecentRefusals,
    RefusalCause,
    Refused,
    choose_endpoint,
    choose_healthy,
    sample_size,
)
from fescuedrum.decisions.presence import EndpointPresence, ListedEndpoint
from fescuedrum.decisions.ratelimits import (
    Limited,
    NotUnderstood,
    Rate,
    RateLimits,
    RateReport,
    Unlimited,
)
from fescuedrum.decisions.rooms import request_limit
from fescuedrum.decisions.shares import BoundShares
from fescuedrum.events.event import log_event
from fescuedrum.events.tables import (
    EndpointGone,
    EndpointLimited,
    EndpointListed,
    EndpointRateNotUnderstood,
    EndpointRowNotUnderstood,
    EndpointUnlisted,
    ZoneTakenBack,
    ZoneTakenOut,
)
from fescuedrum.exceptions import RowNotUnderstood
from fescuedrum_gateway.adapter import ZoneOut

logger = logging.getLogger(__name__)


class Reservation:
    """Charge an endpoint with one request until it is released."""

    __slots__ = ("directory", "load", "tokens", "zone")

    def __init__(self, directory, zone: str, load: Load, tokens: int) -> None:
        self.directory = directory
        # Availability zone of the endpoint.
        self.zone = zone
        self.load = load
        self.tokens = tokens
        load.requests += 1
        load.unread_tokens += tokens
        directory.announce_change(zone)

    def mark_prompt_read(self):
        """Take the prompt's tokens off: the endpoint writes now."""
        self.load.unread_tokens -= self.tokens
        self.tokens = 0

    def release(self):
        self.mark_prompt_read()
        self.load.requests -= 1
        self.directory.announce_change(self.zone)


class EndpointDirectory:
    """Hold the endpoints of all services and choose among them."""

    __slots__ = (
        "adapter",
        "announce_change",
        "configuration",
        "histories",
        "loop",
        "pass_timers",
        "peers",
        "presences",
        "random",
        "rate_limits",
        "refusals",
        "settings",
        "shares",
        "zones_out",
    )

    def __init__(self, settings, adapter, configuration, peers, pass_timers, random):
        self.settings = settings
        self.adapter = adapter
        self.configuration = configuration
        self.peers = peers
        # PassTimer by name of service, as the own streams show it.
        self.pass_timers = pass_timers
        self.random = random
        self.loop = asyncio.get_running_loop()
        self.presences = EndpointPresence()
        self.histories = collections.defaultdict(EndpointHistory)
        self.refusals = collections.defaultdict(RecentRefusals)
        self.shares = BoundShares(settings.host, settings.zone)
        self.rate_limits = RateLimits()
        self.zones_out = {}
        # Called with the zone of an endpoint at which the own load changes.
        self.announce_change = lambda zone: None

    # What the platform tells

    def take_endpoint_rows(self, rows):
        """Take changed lines of the list of endpoints."""
        now = self.loop.time()
        for row in rows:
            if row.value is None:
                self.presences.unlisted(row.key, now)
                self.forget(row.key)
                log_event(logger, EndpointUnlisted(row.key, row.version))
            else:
                self.take_endpoint(row, now)
        self.expire()

    def take_endpoint(self, row, now):
        try:
            endpoint = self.adapter.read_endpoint(row)
        except RowNotUnderstood as error:
            # It names no endpoint; the others of the list hold.
            self.presences.unlisted(row.key, now)
            log_event(
                logger, EndpointRowNotUnderstood(row.key, row.version, error.detail)
            )
            return
        known = self.presences.by_name.get(endpoint.name)
        if known is not None and known.endpoint.started_at != endpoint.started_at:
            # The same name, but nothing of its former life holds.
            self.histories.pop(endpoint.name, None)
            self.rate_limits.forget(endpoint.name)
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

    def take_zone(self, row):
        """Take a row that says whether a zone is out of service."""
        said = self.adapter.read_operators_row(row) if row.value is not None else None
        if isinstance(said, ZoneOut):
            self.zones_out[row.key] = said.zone
            log_event(logger, ZoneTakenOut(said.zone, row.key, row.version))
        elif self.zones_out.pop(row.key, None) is not None:
            log_event(logger, ZoneTakenBack(row.key, row.version))

    def expire(self):
        """Drop endpoints whose entries lapsed and did not come back."""
        for name in self.presences.expire(self.loop.time()):
            self.forget(name)
            log_event(logger, EndpointGone(name))

    def forget(self, name: str) -> None:
        """Drop what is known beyond the list of an endpoint that is gone."""
        self.shares.forget(name)
        self.rate_limits.forget(name)

    # Rate limits

    def record_rate(self, endpoint: ListedEndpoint, rate: Rate) -> None:
        """Take what an endpoint's own answer says of its rate."""
        if isinstance(rate, NotUnderstood):
            log_event(logger, EndpointRateNotUnderstood(endpoint.name, rate.text))
        if self.rate_limits.observe(endpoint.name, rate, self.loop.time()):
            self.tell_rate(endpoint.name, rate, "")

    def merge_rate_reports(
        self, host: str, reports: list[tuple[str, RateReport]]
    ) -> None:
        """Take what another gateway was told of endpoints' rates."""
        for endpoint, report in reports:
            if endpoint not in self.presences.by_name:
                continue
            if self.rate_limits.merge(endpoint, report):
                self.tell_rate(endpoint, report.rate, host)

    def tell_rate(self, endpoint: str, rate: Limited | Unlimited, host: str) -> None:
        match rate:
            case Limited(per_second):
                log_event(logger, EndpointLimited(endpoint, per_second, host))
            case Unlimited():
                log_event(logger, EndpointLimited(endpoint, None, host))

    # Choosing

    def choose_endpoint(self, service, tried, is_caller_retry):
        """Return Chosen or Refused for a request, never what was tried before."""
        self.expire()
        zones_out = set(self.zones_out.values())
        usable = [
            each for each in self.presences.ready(service) if each.zone not in zones_out
        ]
        fresh = [each for each in usable if each.name not in tried]
        if not fresh and tried:
            return Refused(RefusalCause.NONE_LISTED)
        loads = self.peers.loads()
        now, limits = (
            self.loop.time(),
            self.limits(service, is_caller_retry, len(usable)),
        )
        mesh = [each for each in fresh if self.is_in_mesh(each)]
        if len(mesh) < len(fresh):
            # Most requests end here: a large fleet's endpoints are not all looked at.
            options = [self.option(each, loads[each.name]) for each in mesh]
            if placed := choose_healthy(options, limits, now, self.random):
                return placed
        options = [self.option(each, loads[each.name]) for each in fresh]
        return choose_endpoint(options, limits, now, self.random)

    def is_in_mesh(self, endpoint: ListedEndpoint) -> bool:
        """Tell whether changes of an endpoint's load are told promptly."""
        return self.peers.is_one_mesh or endpoint.zone == self.settings.zone

    def option(self, endpoint, elsewhere):
        history = self.histories[endpoint.name]
        load = Load(
            history.own.requests + elsewhere.requests,
            history.own.unread_tokens + elsewhere.unread_tokens,
        )
        same_zone = endpoint.zone == self.settings.zone
        return Option(endpoint, load, history, same_zone, self.is_in_mesh(endpoint))

    def limits(self, service, is_caller_retry, endpoints):
        described = self.configuration.table.services.get(service)
        if described is None:
            return PlacementLimits()
        self.shares.follow(self.peers.sharing_zones())
        is_engine = described.engine is not None
        strain = self.strain(service) if is_engine else 0.0
        return PlacementLimits(
            request_limit=lambda endpoint: request_limit(
                endpoint.slots,
                is_engine=is_engine,
                is_caller_retry=is_caller_retry,
                strain=strain,
                ranks=endpoints,
            ),
            arrivals=self.arrivals(described),
            rated_arrivals=self.rated_arrivals,
            candidates=sample_size(self.peers.mesh_size),
        )

    def arrivals(
        self, described: RoutedService
    ) -> Callable[[ListedEndpoint], int] | None:
        """Return the bound on what this gateway may send an endpoint in a second."""
        total = cold_request_limit(
            described.cold_per_second,
            self.settings.cold_factor,
            self.settings.cold_slack,
        )
        if total is None:
            return None
        return lambda each: self.shares.allowed(each.name, each.zone, total)

    def rated_arrivals(self, endpoint: ListedEndpoint) -> int | None:
        """Return this gateway's part of an endpoint's rate; None without a limit."""
        total = self.rate_limits.requests(endpoint.name, self.loop.time())
        if total is None:
            return None
        return self.shares.allowed(endpoint.name, endpoint.zone, total)

    def strain(self, service):
        """Return the length of passes over the pause allowed; 0 when unknown."""
        pause = self.configuration.table.allowed_pauses.get(service)
        current = self.pass_timers[service].current_pass_seconds(self.loop.time())
        return current / pause if pause and current else 0.0

    def history(self, endpoint):
        return self.histories[endpoint.name]

    def reserve(self, endpoint, tokens):
        """Charge an endpoint with a request that is about to be sent."""
        history = self.histories[endpoint.name]
        history.sent(self.loop.time())
        return Reservation(self, endpoint.zone, history.own, tokens)

    def own_loads(self):
        """Return (name, load) of each endpoint at which this process has requests."""
        return [
            (name, history.own)
            for name, history in self.histories.items()
            if history.own.requests
        ]
