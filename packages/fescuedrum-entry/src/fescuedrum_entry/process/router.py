"""Keep what this entry knows of every endpoint up to date, and wake who waits."""

import asyncio

from fescuedrum.decisions.breakers import Breaker, State
from fescuedrum.decisions.outliers import OutlierDetector
from fescuedrum.decisions.routing import Candidate, EndpointView, RoutingPolicy
from fescuedrum.outcomes import Outcome


def loop_time():
    return asyncio.get_running_loop().time()


class Target:
    """Hold one agent's connection with what is known of its endpoint."""

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
    """Own the view of each service; reports and results update it as they come."""

    __slots__ = ("entry", "policy", "random", "services")

    def __init__(self, entry, policy, random):
        self.entry = entry
        self.policy = policy
        self.random = random
        self.services = {}

    def routes(self, service):
        if service not in self.services:
            self.services[service] = ServiceRoutes(self.policy)
        return self.services[service]

    def heard(self, link):
        """Take the report of a heartbeat."""
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
            # A release that doesn't count has seen what was sent.
            received=target.candidate.sent if load.received is None else load.received,
            loaded=frozenset(load.loaded or ()),
        )
        now = loop_time()
        routes.outliers.report(name, load.delay or 0.0, load.answers or 0, now)
        self.refresh(routes, target)

    def lost(self, link):
        """Forget an endpoint whose connection ended; a new one counts from zero."""
        routes = self.routes(link.instance.service)
        target = routes.targets.get(link.instance.name)
        if target is not None:
            routes.view.remove(link.instance.name)
            target.candidate = Candidate(link.instance.name, link.instance.zone)

    def forget(self, link):
        """Drop an endpoint that is gone from the instance list."""
        routes = self.routes(link.instance.service)
        routes.view.remove(link.instance.name)
        routes.outliers.forget(link.instance.name)
        routes.targets.pop(link.instance.name, None)

    def refresh_all(self):
        """Follow a change of the zones that are out."""
        for routes in self.services.values():
            for target in routes.targets.values():
                self.refresh(routes, target)

    def refresh(self, routes, target):
        """Put an endpoint into the view or take it out, and wake who waits for one."""
        if not self.eligible(routes, target):
            routes.view.remove(target.candidate.name)
            return
        routes.view.add(target.candidate)
        changed, routes.changed = routes.changed, asyncio.Event()
        changed.set()

    def eligible(self, routes, target):
        now = loop_time()
        link = target.link
        return (
            link.usable
            and link.instance.zone not in self.entry.configuration.zones_out
            and target.breaker.allows(now)
            and self.unsuspected(routes, link.instance.name, now)
        )

    def unsuspected(self, routes, name, now):
        # The baselines choose among all: with the slow one taken out for them as
        # well, experiments would not show what it does to them.
        if self.policy is not RoutingPolicy.ADAPTIVE:
            return True
        return routes.outliers.allows(name, now)

    def choose(self, service, wish):
        """Return the link of the chosen endpoint, or None when there is none."""
        routes = self.routes(service)
        while candidate := routes.view.choose(wish, self.random):
            target = routes.targets[candidate.name]
            if target.link.usable:
                return target.link
            # It became congested since its last report, and is back with the next.
            routes.view.remove(candidate.name)
        return None

    def sent(self, link, organisation):
        """Count a request; return the candidate that its end is counted on."""
        routes = self.routes(link.instance.service)
        target = routes.targets.get(link.instance.name)
        if target is None:
            return None
        now = loop_time()
        routes.view.sent(target.candidate, organisation)
        target.breaker.sent(now)
        routes.outliers.sent(link.instance.name, now)
        # The one trial of an endpoint under suspicion is on its way: no second one.
        if not self.eligible(routes, target):
            routes.view.remove(link.instance.name)
        return target.candidate

    def ended(self, link, candidate, organisation):
        """Count the end of a request that was counted on a candidate."""
        if candidate is not None:
            self.routes(link.instance.service).view.ended(candidate, organisation)

    def record_delivery(self, link, end):
        """Learn from the end of an answer whether the endpoint works.

        An error that the endpoint answered may be the caller's fault; counting it
        would let one caller take the endpoint from all others.
        """
        match end.outcome:
            case Outcome.ANSWERED | Outcome.FAILED:
                self.settled(link, failed=False)
            case _ if end.unavailable:
                self.settled(link, failed=True)

    def settled(self, link, *, failed):
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
