"""Find violated guarantees in what callers, endpoints and operators recorded."""

import collections
from dataclasses import dataclass

from soak.callers import Ending
from soak.conditions import RequestKind

# As the routes of the site configure.
MAXIMUM_ATTEMPTS = 2
# Time bounds apply to a gateway again this long after a disturbance: it detects a
# silent connection within 3 s and retries within 1 s.
RECONNECT_SECONDS = 4.0
# The bounds of the users' smaller sites; the bound for evacuating a zone is tighter.
ACTIVATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
EVACUATE_SECONDS = 3.0
# A request that was sent while the gateway closed the connection may be lost unread.
# That takes some milliseconds; a busy machine is slower.
CROSSING_SECONDS = 0.2
# In a window, a rate-limited endpoint may get this multiple of its rate and these
# requests beyond. A gateway counts from PEER_NOTICE_SECONDS after its first request
# in the period on, when it has told the rate to its peers.
RATE_WINDOW_SECONDS = 4.0
RATE_TOLERANCE = 1.5
RATE_SLACK_REQUESTS = 5
PEER_NOTICE_SECONDS = 0.5
# A gateway may send an endpoint REST_REQUESTS from this time after its refusal on until
# the end of the rest that it asked for.
REST_NOTICE_SECONDS = 0.5
REST_REQUESTS = 2
# Below 1: callers may still use a connection that a fault has left silent.
RECOVERED_SHARE = 0.9


@dataclass(slots=True, frozen=True)
class Reading:
    """Hold the version of the configuration that a gateway reported."""

    gateway: str
    # Number of the start of the process that answered.
    start: int
    version: int
    at: float


class GuaranteeChecker:
    """Compare what happened on a site with the guarantees; a finding is one line."""

    def __init__(self, site, records, readings):
        self.site = site
        self.records = records
        self.readings = readings
        self.runs = collections.defaultdict(list)
        for run in site.journal.runs:
            self.runs[run.request_id].append(run)
        self.by_id = {record.request_id: record for record in records}

    def findings(self):
        """Return the violations found in requests, versions, executions and rates."""
        found = list(self.site.findings)
        for record in self.records:
            if record.ended:
                found += self.check_request(record)
        found += self.check_versions()
        for run in self.site.journal.runs:
            found += self.check_execution(run)
        for rate_limit in self.site.journal.rate_limits:
            found += self.check_rate_limit(rate_limit)
        return found + self.check_notices()

    def notes(self):
        """Return lines on what happened that violate no guarantee."""
        return []

    # Requests

    def check_request(self, record):
        """Yield how a request and its executions violate a guarantee."""
        runs = len(self.runs[record.request_id])
        once = record.kind is RequestKind.ONCE
        if once and runs > 1:
            yield self.describe(record, f"ran {runs} times")
        if once and record.ending is Ending.NOT_RUN and runs:
            yield self.describe(
                record, "ran, though its caller was told that it had not"
            )
        if runs > MAXIMUM_ATTEMPTS:
            yield self.describe(record, f"was sent to {runs} endpoints")
        if record.ending in (Ending.WRONG, Ending.DENIED):
            yield self.describe(record, f"ended {record.ending}")
        if record.ending in (Ending.CUT, Ending.FAILED):
            yield from self.check_failure(record, runs)

    def check_failure(self, record, runs):
        """Yield a failure that no fault explains; planned work does not explain one."""
        if self.is_disturbed(None, record.began - RECONNECT_SECONDS, record.ended):
            return
        crossing = record.ended - record.began < CROSSING_SECONDS and not runs
        stopping = any(
            span.what == record.gateway and span.overlaps(record.began, record.ended)
            for span in self.site.stops
        )
        if not (stopping and crossing):
            yield self.describe(record, f"ended {record.ending} without a fault")

    def was_sent_while_stopping(self, record):
        """Return whether a request was sent to a gateway that was stopping."""
        return any(
            span.what == record.gateway and span.overlaps(record.began, record.began)
            for span in self.site.stops
        )

    def describe(self, record, what):
        """Return a finding about a request as a line."""
        return (
            f"{record.kind} {record.request_id} at {record.gateway}, "
            f"{record.began:.3f} to {record.ended:.3f}: {what} ({record.detail})"
        )

    # Bounds in time

    def is_disturbed(self, gateway, began, ended):
        """Return whether the store or a gateway (None: anything) was disturbed."""
        return any(
            span.overlaps(began, ended)
            for span in self.site.disturbances
            if gateway is None or span.what in ("store", gateway)
        )

    def must_meet_bounds(self, gateway, began, ended):
        """Return whether a gateway was undisturbed and running for long enough."""
        since = began - RECONNECT_SECONDS
        if self.is_disturbed(gateway, since, ended):
            return False
        stopped = (span for span in self.site.stops if span.what == gateway)
        return not any(span.overlaps(since, ended) for span in stopped)

    def check_versions(self):
        """Yield gateways whose configuration is late or went back to an older one."""
        newest = {}
        for reading in self.readings:
            life = (reading.gateway, reading.start)
            if reading.version < newest.get(life, reading.version):
                yield f"{reading.gateway} went back to version {reading.version}"
            newest[life] = reading.version
            yield from self.check_staleness(reading)

    def check_staleness(self, reading):
        """Yield a finding if a reading is older than the bound allows."""
        due = [
            (at, version)
            for at, version in self.site.changes
            if at + ACTIVATION_SECONDS < reading.at
        ]
        if not due or reading.version >= due[-1][1]:
            return
        if self.must_meet_bounds(reading.gateway, due[-1][0], reading.at):
            yield (
                f"{reading.gateway} has version {reading.version} at "
                f"{reading.at:.3f}; {due[-1][1]} was written at {due[-1][0]:.3f}"
            )

    def check_execution(self, run):
        """Yield executions at endpoints that drain or whose zone is out of service."""
        record = self.by_id.get(run.request_id)
        if record is None:
            yield f"{run.request_id} ran at {run.endpoint} and was never sent"
            return
        left = self.site.left.get(run.endpoint)
        late = left is not None and run.at > left + DRAIN_SECONDS
        if late and self.must_meet_bounds(record.gateway, left, run.at):
            yield self.describe(record, f"ran at {run.endpoint}, which was leaving")
        for span in self.site.zone_spans:
            late = span.began + EVACUATE_SECONDS < run.at < span.ended
            if span.what != run.zone or not late:
                continue
            if self.must_meet_bounds(record.gateway, span.began, run.at):
                yield self.describe(record, f"ran in {run.zone}, which was out")

    # Rate-limited endpoints

    def check_rate_limit(self, rate_limit):
        """Yield the first window in which an endpoint got more than it may get."""
        counted = list(self.counted_arrivals(rate_limit))
        allowed = (
            RATE_TOLERANCE * rate_limit.rate * RATE_WINDOW_SECONDS + RATE_SLACK_REQUESTS
        )
        for start in counted:
            sent = sum(start <= at < start + RATE_WINDOW_SECONDS for at in counted)
            if sent > allowed:
                yield (
                    f"{rate_limit.endpoint} takes {rate_limit.rate} requests a second "
                    f"and got {sent} in {RATE_WINDOW_SECONDS} s from {start:.3f} on"
                )
                return

    def counted_arrivals(self, rate_limit):
        """Yield the arrival times from gateways that must follow a rate limit."""
        first_arrivals = {}
        for at, request_id in rate_limit.arrivals:
            record = self.by_id.get(request_id)
            if record is None:
                continue
            first = first_arrivals.setdefault(record.gateway, at)
            is_held = at >= max(
                rate_limit.began + RECONNECT_SECONDS, first + PEER_NOTICE_SECONDS
            )
            since = at - RECONNECT_SECONDS
            disturbed = self.is_gateway_disturbed(record.gateway, since, at)
            if is_held and not disturbed:
                yield at

    def is_gateway_disturbed(self, gateway, began, ended):
        """Return whether a gateway was stopped, killed, paused or disconnected."""
        spans = [*self.site.disturbances, *self.site.stops]
        return any(
            span.what == gateway and span.overlaps(began, ended) for span in spans
        )

    # Notices of endpoints

    def check_notices(self):
        """Return the endpoints that got work in their rest or after their leave."""
        found = []
        arrivals = collections.defaultdict(list)
        for each in self.site.journal.arrivals:
            if record := self.by_id.get(each.request_id):
                arrivals[each.endpoint, record.gateway].append((each, record))
        for (endpoint, gateway), pairs in arrivals.items():
            for asked, _ in pairs:
                found += self.check_rest(endpoint, gateway, asked, pairs)
            found += self.check_leave(endpoint, gateway, pairs)
        return found

    def check_rest(self, endpoint, gateway, asked, pairs):
        """Yield a finding if a gateway sent too much in the rest that was asked for."""
        ends_at = asked.at + asked.rest
        since = asked.at + REST_NOTICE_SECONDS
        in_rest = [each for each, _ in pairs if since <= each.at < ends_at]
        disturbed = self.is_gateway_disturbed(gateway, asked.at, ends_at)
        if len(in_rest) > REST_REQUESTS and not disturbed:
            yield (
                f"{endpoint} asked {gateway} for {asked.rest} s of rest at "
                f"{asked.at:.3f} and got {len(in_rest)} requests in that time"
            )

    def check_leave(self, endpoint, gateway, pairs):
        """Yield requests that a gateway sent late to an endpoint that leaves."""
        announced = [
            record.ended
            for each, record in pairs
            if each.leaving and record.ending is Ending.ANSWERED
        ]
        for each, record in pairs:
            if not announced or record.began <= min(announced) + DRAIN_SECONDS:
                continue
            if not self.is_gateway_disturbed(gateway, min(announced), each.at):
                yield self.describe(record, f"reached {endpoint}, which was leaving")

    # Recovery

    def answered_share(self, since):
        """Return the share of the requests sent since a time that were answered."""
        late = [each for each in self.records if each.ended and each.began >= since]
        answered = sum(each.ending is Ending.ANSWERED for each in late)
        return answered / max(len(late), 1)
