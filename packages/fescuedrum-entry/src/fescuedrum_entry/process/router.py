"""Track the state of every endpoint and wake requests that wait for one."""

import asyncio

from fescuedrum.decisions.placing.breakers import Breaker, State
from fescuedrum.decisions.placing.outliers import OutlierDetector
from fescuedrum.decisions.placing.routing import Candidate, EndpointView, RoutingPolicy
from fescuedrum.outcomes import Outcome


def loop_time():
    """Return the time of the running event loop in seconds."""
    return asyncio.get_running_loop().time()


class Target:
    """Hold an agent's link with the routing state and breaker of its endpoint."""

    __slots__ = ("breaker", "candidate", "link")

    def __init__(self, link):
        self.link = link
        self.breaker = Breaker()
        self.candidate = Candidate(link.instance.name, link.instance.zone)


class ServiceRoutes:
    """Hold the endpoints of one service."""

    __slots__ = ("changed", "outliers", "targets", "view")

    def __init__(self, policy):
        self.view = EndpointView(policy)
        self.outliers = OutlierDetector()
        self.targets = {}
        self.changed = asyncio.Event()


class Router:
    """Hold the endpoints of each service, updated by heartbeats and results."""

    __slots__ = ("entry", "policy", "random", "services")

    def __init__(self, entry, policy, random):
        self.entry = entry
        self.policy = policy
        self.random = random
        self.services = {}

    def routes(self, service):
        """Return the routes of a service, created at first use."""
        if service not in self.services:
            self.services[service] = ServiceRoutes(self.policy)
        return self.services[service]

    def heard(self, link):
        """Update an endpoint from the load in its agent's last heartbeat."""
        routes = self.routes(link.instance.service)
        name = link.instance.name
        target = routes.targets.get(name)
        if target is None:
            target = routes.targets[name] = Target(link)
        load = link.last_heartbeat.load
        routes.view.report(
            target.candidate,
            running=load.running or 0,
            waiting=load.waiting or 0,
            limit=load.limit or 1,
            warm=bool(load.warm),
            # A release that doesn't report the count: assume that all has arrived.
            received=target.candidate.sent if load.received is None else load.received,
            loaded=frozenset(load.loaded or ()),
        )
        now = loop_time()
        routes.outliers.report(name, load.delay or 0.0, load.answers or 0, now)
        self.refresh(routes, target)

    def lost(self, link):
        """Remove an endpoint whose connection ended; counts restart from zero."""
        routes = self.routes(link.instance.service)
        target = routes.targets.get(link.instance.name)
        if target is not None:
            routes.view.remove(link.instance.name)
            target.candidate = Candidate(link.instance.name, link.instance.zone)

    def forget(self, link):
        """Remove an endpoint that is no longer in the instance list."""
        routes = self.routes(link.instance.service)
        routes.view.remove(link.instance.name)
        routes.outliers.forget(link.instance.name)
        routes.targets.pop(link.instance.name, None)

    def refresh_all_targets(self):
        """Refresh every endpoint after a change of the zones out of service."""
        for routes in self.services.values():
            for target in routes.targets.values():
                self.refresh(routes, target)

    def refresh(self, routes, target):
        """Add an endpoint to the view or remove it; wake waiting requests if added."""
        if not self.is_eligible(routes, target):
            routes.view.remove(target.candidate.name)
            return
        routes.view.add(target.candidate)
        changed, routes.changed = routes.changed, asyncio.Event()
        changed.set()

    def is_eligible(self, routes, target):
        """Return whether an endpoint may get new requests now."""
        now = loop_time()
        link = target.link
        return (
            link.usable
            and link.instance.zone not in self.entry.configuration.zones_out
            and target.breaker.allows(now)
            and self.passes_outlier_check(routes, link.instance.name, now)
        )

    def passes_outlier_check(self, routes, name, now):
        """Return whether outlier detection allows new requests to an endpoint."""
        # Baseline policies choose among all endpoints: with outliers removed for
        # them too, experiments would not show the effect of a slow endpoint.
        if self.policy is not RoutingPolicy.ADAPTIVE:
            return True
        return routes.outliers.allows(name, now)

    def choose(self, service, preference):
        """Return the link of the chosen endpoint, or None if no endpoint is usable."""
        routes = self.routes(service)
        while candidate := routes.view.choose(preference, self.random):
            target = routes.targets[candidate.name]
            if target.link.usable:
                return target.link
            # It became unusable since its last report; the next one adds it again.
            routes.view.remove(candidate.name)
        return None

    def sent(self, link, organisation):
        """Count a sent request; return the candidate to pass to `ended`."""
        routes = self.routes(link.instance.service)
        target = routes.targets.get(link.instance.name)
        if target is None:
            return None
        now = loop_time()
        routes.view.sent(target.candidate, organisation)
        target.breaker.sent(now)
        routes.outliers.sent(link.instance.name, now)
        # An endpoint that is being probed gets no second request until the result.
        if not self.is_eligible(routes, target):
            routes.view.remove(link.instance.name)
        return target.candidate

    def ended(self, link, candidate, organisation):
        """Count the end of a request; `sent` returned the candidate."""
        if candidate is not None:
            self.routes(link.instance.service).view.ended(candidate, organisation)

    def record_delivery(self, link, end):
        """Update the endpoint's breaker from the end of an answer.

        An error answered by the endpoint may be caused by the request and counts as a
        success. Otherwise one caller could open the breaker for all other callers.
        """
        match end.outcome:
            case Outcome.ANSWERED | Outcome.FAILED:
                self.record_result(link, failed=False)
            case _ if end.unavailable:
                self.record_result(link, failed=True)

    def record_result(self, link, *, failed):
        """Pass a success or failure to the endpoint's breaker and refresh it."""
        routes = self.routes(link.instance.service)
        target = routes.targets.get(link.instance.name)
        if target is None:
            return
        if not failed and target.breaker.state is State.CLOSED:
            target.breaker.succeeded()
            return
        if failed:
            target.breaker.failed(loop_time())
        else:
            target.breaker.succeeded()
        self.refresh(routes, target)
