"""Stop sending requests to a group of ranks that refuses them (circuit breaker).

Load pattern: one rank of a group is gone, and all of its ranks refuse requests for
seconds. An idle group looks attractive, so that each gateway sends it one request after
the other, and hundreds of arrivals are refused.

The breaker of a group opens when several of its endpoints refuse with no answer in
between. Under load, endpoints refuse because they are full, while the group's passes go
on; a group that is down makes none. So refusals open no breaker, and reports are not
accepted, while streams of the group get events.

While the breaker is open, the gateways take turns at sending the group one request now
and then as a probe, and an answer closes the breaker. A probe that is refused is sent
to another group, which takes a retry from its gateway's part of the common budget: the
turns spread this over all gateways, and a request for which no retry is left is no
probe. While all groups are out, nobody loses by a probe, and there are more of them.
Gateways report both changes to each other. A breaker that nobody confirms becomes
half-open: its gateway probes for itself, so that a lost report can't keep requests from
a healthy group.

After closing, requests return at random times within RETURN_SPREAD_SECONDS. For a group
that is out again and again, the return is delayed each time by more.
"""

import math
from dataclasses import dataclass
from random import Random

from fescuedrum.decisions.placing import topology
from fescuedrum.decisions.placing.placement import REFUSING_ENDPOINTS, RecentRefusals

# Time between two probes of all gateways together.
PROBE_INTERVAL_SECONDS = 0.2
# How many probes there are in that time while all groups of a service are out.
PROBES_WITHOUT_SERVICE = 3
# How many gateways tell all zones that they found a group down.
REPORTING_GATEWAYS = 3
# Time after which the next probe is sent although the last one has no result.
PROBE_TIMEOUT_SECONDS = 1.0
# Time without a confirmation after which a breaker is half-open.
CONFIRMATION_SECONDS = 2.0
# Oldest report that is accepted or sent.
REPORT_SECONDS = 5.0
# Time without events of its streams after which a group may be down, as a multiple of
# the length of its passes, and that time while the length is unknown.
SILENT_PASSES = 2.0
SILENT_SECONDS = 0.25
RETURN_SPREAD_SECONDS = 0.3
# A group that is out again within this time of its return is flapping.
FLAPPING_SECONDS = 10.0
FIRST_RETURN_DELAY_SECONDS = 0.2
LONGEST_RETURN_DELAY_SECONDS = 1.6


@dataclass(slots=True, frozen=True)
class GroupReport:
    """Say whether a gateway found a group down, and when, in loop time."""

    down: bool
    observed_at: float


def is_report_age(age: float) -> bool:
    """Return whether a report of this age may be accepted."""
    return math.isfinite(age) and 0.0 <= age <= REPORT_SECONDS


def is_reporting_gateway(host: str, others: set[str], service: str, group: str) -> bool:
    """Return whether a gateway reports a group to all zones; others are those heard."""
    hosts = {host, *others}
    context = ("probe", service, group)
    return host in topology.best(hosts, REPORTING_GATEWAYS, *context)


def probe_interval(gateways: int, *, are_all_out: bool) -> float:
    """Return the seconds between two probes of one of this many gateways."""
    probes = PROBES_WITHOUT_SERVICE if are_all_out else 1
    return PROBE_INTERVAL_SECONDS * max(gateways / probes, 1.0)


class GroupBreaker:
    """Circuit breaker of one group at one gateway; times are loop time in seconds."""

    __slots__ = (
        "back_at",
        "closed_at",
        "event_at",
        "has_turn",
        "is_out",
        "observed_at",
        "out_since",
        "own",
        "probe_due_at",
        "probe_pending_until",
        "refusals",
        "return_delay",
    )

    def __init__(self) -> None:
        self.refusals = RecentRefusals()
        self.is_out = False
        self.out_since = float("-inf")
        # When any gateway last observed the state, as far as known here.
        self.observed_at = float("-inf")
        # What this gateway itself observed last; None for nothing.
        self.own: GroupReport | None = None
        self.closed_at = float("-inf")
        # When a stream of the group last got an event here that no caller held up.
        self.event_at = float("-inf")
        # When requests begin to return after the breaker has closed.
        self.back_at = float("-inf")
        self.return_delay = 0.0
        # Whether probe_due_at is a turn of this gateway's own.
        self.has_turn = False
        self.probe_due_at = float("-inf")
        self.probe_pending_until = float("-inf")

    # Observations of this gateway

    def refused(
        self, endpoint: str, members: int, now: float, pass_seconds: float | None = None
    ) -> bool:
        """Record a refusal; return whether it opens the breaker.

        members is how many endpoints the group has. The only one of a group need not
        wait for a second one to refuse.
        """
        self.probe_pending_until = float("-inf")
        if self.is_out:
            self.refusals.refused(endpoint, now)
            self.observe(GroupReport(True, now))
            return False
        if self.makes_passes(now, pass_seconds):
            return False
        self.refusals.refused(endpoint, now)
        if self.refusals.count(now) < min(REFUSING_ENDPOINTS, max(members, 1)):
            return False
        self.observe(GroupReport(True, now))
        self.open(now)
        return True

    def answered(self, sent_at: float, now: float) -> bool:
        """Record that a request ran; return whether that closes the breaker.

        A request that was sent before the group went out shows nothing.
        """
        if not self.is_out:
            self.refusals.answered()
            # An older report that the group is down is not accepted any more.
            self.observed_at = max(self.observed_at, now)
            return False
        if sent_at < self.out_since:
            return False
        self.observe(GroupReport(False, now))
        self.close(now)
        return True

    def record_event(self, now: float) -> None:
        """Record an event of a stream, which shows that the group makes passes."""
        self.event_at = now

    def makes_passes(self, now: float, pass_seconds: float | None) -> bool:
        """Return whether events have shown passes lately.

        pass_seconds is the length of the group's passes; None if unknown.
        """
        silent = SILENT_PASSES * pass_seconds if pass_seconds else SILENT_SECONDS
        return now - self.event_at < silent

    def observe(self, report: GroupReport) -> None:
        """Note what this gateway has observed."""
        self.own = report
        self.observed_at = report.observed_at

    def report(self, now: float) -> GroupReport | None:
        """Return what other gateways are told, or None if that is too old."""
        own = self.own
        if own is None or now - own.observed_at > REPORT_SECONDS:
            return None
        return own

    def accept(
        self, report: GroupReport, now: float, pass_seconds: float | None = None
    ) -> bool:
        """Apply a newer report of another gateway; return if the state changes."""
        if report.observed_at <= self.observed_at:
            return False
        if report.down and not self.is_out and self.makes_passes(now, pass_seconds):
            return False
        self.observed_at = report.observed_at
        if report.down == self.is_out:
            return False
        if report.down:
            self.open(now)
        else:
            self.close(now)
        return True

    def contradicts(self, report: GroupReport) -> bool:
        """Return whether events since a report that the group is down disprove it.

        What this gateway has observed is then reported to the others, once.
        """
        if not report.down or self.is_out or self.event_at <= report.observed_at:
            return False
        known = self.own is not None and not self.own.down
        if known and self.own.observed_at > report.observed_at:
            return False
        self.observe(GroupReport(False, self.event_at))
        return True

    # State

    def open(self, now: float) -> None:
        """Open the breaker; delay the next return if the last one was recent."""
        self.is_out = True
        self.out_since = now
        self.has_turn = False
        self.probe_due_at = now + PROBE_INTERVAL_SECONDS
        self.probe_pending_until = float("-inf")
        if now - self.closed_at > FLAPPING_SECONDS:
            self.return_delay = 0.0
        else:
            delay = max(2 * self.return_delay, FIRST_RETURN_DELAY_SECONDS)
            self.return_delay = min(delay, LONGEST_RETURN_DELAY_SECONDS)

    def close(self, now: float) -> None:
        """Close the breaker, so that requests return."""
        self.is_out = False
        self.closed_at = now
        self.back_at = now + self.return_delay
        self.refusals.answered()

    def is_half_open(self, now: float) -> bool:
        """Return whether no gateway has confirmed for long that the group is out."""
        return self.is_out and now - self.observed_at >= CONFIRMATION_SECONDS

    def is_probe_due(self, now: float, interval: float, random: Random) -> bool:
        """Return whether the next probe may be sent, at one in an interval.

        The first turn is drawn, so that those of the gateways are spread.
        """
        if now < self.probe_due_at or now < self.probe_pending_until:
            return False
        if not self.has_turn and not self.is_half_open(now):
            self.has_turn = True
            self.probe_due_at = now + random.uniform(
                0.0, interval - PROBE_INTERVAL_SECONDS
            )
        return now >= self.probe_due_at

    def postpone_probe(self, now: float, interval: float) -> None:
        """Record that a probe was due and no endpoint of the group could get it."""
        self.has_turn = True
        self.probe_due_at = now + interval

    def probe_sent(self, now: float, interval: float) -> None:
        """Record that a request is sent as a probe, as one in an interval."""
        self.postpone_probe(now, interval)
        self.probe_pending_until = now + PROBE_TIMEOUT_SECONDS

    def has_returned(self, now: float, random: Random) -> bool:
        """Return whether this request is among those that return by now."""
        since = now - self.back_at
        if since >= RETURN_SPREAD_SECONDS:
            return True
        return since >= random.uniform(0.0, RETURN_SPREAD_SECONDS)
