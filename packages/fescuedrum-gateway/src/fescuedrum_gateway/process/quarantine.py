"""Refuse requests at which endpoints end, by what all gateways have seen."""

import asyncio
import logging
import zlib
from collections.abc import Callable, Iterable

from fescuedrum.decisions.admitting.fingerprints import is_fingerprint
from fescuedrum.decisions.admitting.quarantine import Quarantine
from fescuedrum.decisions.admitting.suspects import (
    BrokenRequest,
    EndpointEnd,
    SuspectReport,
)
from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.events import quarantine as events
from fescuedrum.events.event import Event, log_event
from fescuedrum.exceptions import PromptQuarantined, RequestQuarantined
from fescuedrum_gateway.connection.endpoint_checks import EndpointChecks, connect
from fescuedrum_gateway.process.directory import EndpointDirectory
from fescuedrum_gateway.process.peer_gateway import PeerGateway
from fescuedrum_gateway.process.peers import LOAD_EXPIRY_SECONDS, Peers

logger = logging.getLogger(__name__)

# For this long other gateways are told that an endpoint has ended.
ENDED_SECONDS = 3.0
# A gateway that has just started may not know who else would send a trial.
TRIAL_UPTIME_SECONDS = 10.0
# Told to a caller whose request is not tried again.
NEVER_SECONDS = 3600.0
LOGGED_TRAITS = 24
# Time after which one more gateway may send a trial that is due.
TURN_SECONDS = 1.0


def turn_key(trait: str, host: str) -> tuple[int, str]:
    """Return the sort key of a gateway in the order of trials of a trait."""
    return zlib.crc32(f"{trait} {host}".encode()), host


def join_names(names: Iterable[str]) -> str | None:
    """Return some names for a line of the log; None if there are none."""
    return " ".join(list(dict.fromkeys(names))[:LOGGED_TRAITS]) or None


class OpenRequest:
    """Hold a request that an endpoint has and whose answer is not whole yet."""

    __slots__ = (
        "endpoint",
        "fingerprint",
        "is_begun",
        "is_trial",
        "parts",
        "request_id",
        "sent_at",
        "take_back",
    )

    def __init__(
        self,
        request_id: str,
        parts: tuple[str, ...],
        fingerprint: str,
        endpoint: ListedEndpoint,
        take_back: Callable[[str], None],
    ) -> None:
        self.request_id = request_id
        self.parts = parts
        self.fingerprint = fingerprint
        self.endpoint = endpoint
        # Called with the quarantined trait to take the request from the endpoint.
        self.take_back = take_back
        # Loop time at which it was sent.
        self.sent_at = float("-inf")
        # Whether the endpoint has got over the beginning of an answer.
        self.is_begun = False
        self.is_trial = False

    @property
    def traits(self) -> tuple[str, ...]:
        return (*self.parts, self.fingerprint)

    def broken(self) -> BrokenRequest:
        """Return what requests may have in common with this one."""
        return BrokenRequest(self.parts, self.fingerprint, self.is_begun, self.sent_at)


class GatewayQuarantine:
    """Apply the quarantine to the requests of one gateway, and tell the others."""

    __slots__ = (
        "checks",
        "count_end",
        "directory",
        "ended",
        "loop",
        "on_own_change",
        "open_requests",
        "peers",
        "quarantine",
        "started_at",
    )

    def __init__(
        self,
        directory: EndpointDirectory,
        peers: Peers,
        check=connect,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.quarantine = Quarantine()
        self.checks = EndpointChecks(self.record_end, self.is_running, check)
        # When endpoints ended, by name, as this or another gateway found out.
        self.ended: dict[str, float] = {}
        self.open_requests: set[OpenRequest] = set()
        # Called with the traits whose rows in the platform's store have to be written.
        self.on_own_change = lambda traits: None
        # Called with the service of an endpoint that this gateway finds ended.
        self.count_end = lambda service: None

    # Requests

    async def until_checked(self, fingerprint: str) -> None:
        """Wait for the checks of endpoints if they decide whether a request is refused.

        A retry leaves right after its request broke off. Without the wait it would end
        one more endpoint than callers allow.
        """
        checks = self.checks.checking(fingerprint)
        if self.quarantine.is_decided_by(fingerprint, len(checks)):
            await asyncio.wait(checks)

    def raise_if_quarantined(self, traits: tuple[str, ...]) -> None:
        """Raise Quarantined for a request that may not be sent."""
        blocked = self.quarantine.check(traits)
        if blocked is None:
            return
        trait, trial_at = blocked.trait, blocked.trial_at
        if blocked.may_be_trial and self.is_trial_due(trait, trial_at):
            return
        seconds = NEVER_SECONDS
        if trial_at is not None:
            seconds = max(trial_at - self.loop.time(), 1.0)
        if is_fingerprint(trait):
            raise RequestQuarantined(
                f"Endpoints ended at {trait}.", retry_after=seconds
            )
        raise PromptQuarantined(
            f"Endpoints ended at prompts with part {trait}.", retry_after=seconds
        )

    def is_trial_due(self, trait: str, trial_at: float | None) -> bool:
        """Return whether this gateway may send a request with a quarantined trait."""
        now = self.loop.time()
        if trial_at is None or now < trial_at:
            return False
        if now < self.started_at + TRIAL_UPTIME_SECONDS:
            return False
        # Gateways take turns, so that not all send a trial at the same moment.
        heard = [each.host for each in self.peers.heard_within(LOAD_EXPIRY_SECONDS)]
        own_turn = turn_key(trait, self.peers.settings.host)
        turn = sum(turn_key(trait, host) < own_turn for host in heard)
        return now >= trial_at + turn * TURN_SECONDS

    def sent(
        self,
        request_id: str,
        parts: tuple[str, ...],
        fingerprint: str,
        endpoint: ListedEndpoint,
        take_back: Callable[[str], None],
    ) -> OpenRequest:
        """Record that a request is sent to an endpoint; return it."""
        request = OpenRequest(request_id, parts, fingerprint, endpoint, take_back)
        request.sent_at = self.loop.time()
        request.is_trial = self.quarantine.check(request.traits) is not None
        if request.is_trial:
            self.begin_trial(request)
        self.open_requests.add(request)
        return request

    def begin_trial(self, request: OpenRequest) -> None:
        """Record that a request with quarantined traits is sent all the same."""
        tried = self.quarantine.begin_trial(request.traits, self.loop.time())
        self.on_own_change(set(tried))
        for trait in tried:
            number = self.quarantine.suspects[trait].trials
            build = events.RequestTried if is_fingerprint(trait) else events.PartTried
            log_event(logger, build(trait, request.request_id, number))
        self.peers.announce_urgently()

    def begun(self, request: OpenRequest) -> None:
        """Record that an endpoint has got over the beginning of an answer.

        It shows the parts of the prompt to be sound, and not yet the request: engines
        may end late in an answer.
        """
        request.is_begun = True
        self.record_answer(request.parts)

    def answered(self, request: OpenRequest) -> None:
        """Record that an answer is whole."""
        self.closed(request)
        self.record_answer(request.traits)

    def record_answer(self, traits: tuple[str, ...]) -> None:
        """Record that traits of a request are shown to be sound."""
        before = set(self.quarantine.blocking)
        if self.quarantine.record_answer(traits, self.loop.time()):
            self.on_own_change(before - self.quarantine.blocking.keys())
            self.log_changes(before)
            self.peers.announce_urgently()

    def broke(self, request: OpenRequest) -> None:
        """Record that a request broke off before its answer was whole."""
        self.closed(request)
        is_suspect = request.fingerprint in self.quarantine.suspects
        if request.is_begun and not is_suspect:
            self.checks.answer_broke(request.endpoint, request.broken())
        else:
            self.checks.request_broke(request.endpoint, request.broken())

    def closed(self, request: OpenRequest) -> None:
        """Record that a request is at its endpoint no more, or that it is answered."""
        self.open_requests.discard(request)

    # Ends of endpoints

    def is_running(self, endpoint: ListedEndpoint, broke_at: float) -> bool:
        """Return whether an endpoint that drops new connections may be running.

        It may if it is full, or if a request that was there when another one broke off
        has not broken off as well.
        """
        requests = self.directory.requests_at(endpoint.name, self.peers.loads())
        return requests >= endpoint.slots or any(
            each.endpoint.name == endpoint.name and each.sent_at < broke_at
            for each in self.open_requests
        )

    def record_end(
        self,
        endpoint: ListedEndpoint,
        broken: list[BrokenRequest],
        *,
        is_behind_proxy: bool = False,
    ) -> None:
        """Record that an endpoint has ended, with requests that broke off there."""
        now = self.loop.time()
        ended_at = self.recently_ended().get(endpoint.name)
        is_new = ended_at is None
        if is_behind_proxy and not is_new:
            # A proxy accepts requests for an endpoint that has ended already.
            broken = [each for each in broken if each.sent_at < ended_at]
        if is_new:
            self.ended[endpoint.name] = now
            self.directory.avoid(endpoint)
            self.count_end(endpoint.service)
        if not (is_new or broken):
            return
        self.log_end(endpoint, broken)
        if broken:
            before = set(self.quarantine.blocking)
            end = EndpointEnd(endpoint.name, self.ended[endpoint.name])
            self.quarantine.record_end(end, broken, now)
            suspects = {trait for each in broken for trait in each.suspects}
            self.on_own_change(suspects & self.quarantine.blocking.keys())
            self.apply_changes(before)
            self.peers.announce_urgently()
        else:
            self.peers.announce_change(endpoint.zone)

    def log_end(self, endpoint: ListedEndpoint, broken: list[BrokenRequest]) -> None:
        """Log that an endpoint has ended, and what it may be due to."""
        unanswered = [each for each in broken if not each.is_begun]
        event = events.EndpointEnded(
            endpoint.name,
            len(unanswered),
            join_names(part for each in unanswered for part in each.parts),
            len(broken) - len(unanswered),
            join_names(each.fingerprint for each in broken),
        )
        log_event(logger, event)

    def recently_ended(self) -> dict[str, float]:
        """Return when endpoints ended lately, by name; forget earlier ends."""
        since = self.loop.time() - ENDED_SECONDS
        self.ended = {name: at for name, at in self.ended.items() if at >= since}
        return self.ended

    def merge(self, peer: PeerGateway) -> None:
        """Apply what the beacon of another gateway says of ends and suspects."""
        if peer.ended:
            self.merge_ended(peer.ended)
        if peer.suspects or peer.sound_parts:
            self.merge_reports(peer.suspects, peer.sound_parts)

    def merge_reports(
        self, suspects: list[SuspectReport], sound: list[tuple[str, float]]
    ) -> None:
        """Apply reports of suspects and of traits that answers have cleared."""
        before = set(self.quarantine.blocking)
        if self.quarantine.merge(suspects, sound, self.loop.time()):
            self.apply_changes(before)

    def merge_ended(self, ended: Iterable[EndpointEnd]) -> None:
        """Avoid endpoints that another gateway found to have ended."""
        known, now = self.recently_ended(), self.loop.time()
        for end in ended:
            listed = self.directory.presences.by_name.get(end.endpoint)
            if listed is None or end.endpoint in known or now - end.at > ENDED_SECONDS:
                continue
            known[end.endpoint] = end.at
            self.directory.avoid(listed.endpoint)
            if late := self.checks.take_late(end.endpoint):
                self.record_end(listed.endpoint, late, is_behind_proxy=True)

    # Changes of the quarantine

    def apply_changes(self, before: set[str]) -> None:
        """Log changes of the quarantine, and take back the requests that it affects."""
        self.log_changes(before)
        for request in list(self.open_requests):
            if request.is_begun:
                continue
            blocked = self.quarantine.check(request.traits)
            # An answer is to show whether a trait that was sound is the cause now.
            if blocked and not (blocked.was_answered or request.is_trial):
                self.closed(request)
                event = events.RequestTakenBack(
                    blocked.trait, request.request_id, request.endpoint.name
                )
                log_event(logger, event)
                request.take_back(blocked.trait)

    def log_changes(self, before: set[str]) -> None:
        """Log the traits that are newly quarantined or released."""
        blocking = self.quarantine.blocking
        for trait in blocking.keys() - before:
            log_event(logger, self.build_quarantined(trait))
        for trait in before - blocking.keys():
            was_answered = trait in self.quarantine.answered(trait)
            is_request = is_fingerprint(trait)
            build = events.RequestReleased if is_request else events.PartReleased
            log_event(logger, build(trait, was_answered))

    def build_quarantined(self, trait: str) -> Event:
        """Return the event for a trait that is newly quarantined."""
        ends = self.quarantine.suspects[trait].ends
        endpoints = " ".join(end.endpoint for end in ends)
        if is_fingerprint(trait):
            return events.RequestQuarantined(trait, endpoints)
        only_with = join_names(sorted(self.quarantine.blocking[trait]))
        return events.PartQuarantined(trait, endpoints, only_with)

    def close(self) -> None:
        """Cancel what is under way."""
        self.checks.close()
