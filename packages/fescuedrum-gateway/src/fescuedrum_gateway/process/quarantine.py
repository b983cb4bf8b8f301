"""Refuse prompts at which endpoints end, by what all gateways have seen."""

import asyncio
import logging
import zlib
from collections.abc import Callable, Iterable

from fescuedrum.decisions.admitting.quarantine import (
    EndpointEnd,
    Quarantine,
    SuspectReport,
)
from fescuedrum.decisions.placing.presence import ListedEndpoint
from fescuedrum.events.event import log_event
from fescuedrum.events.quarantine import (
    EndpointEnded,
    PartQuarantined,
    PartReleased,
    PartTried,
    RequestTakenBack,
)
from fescuedrum.exceptions import PromptQuarantined
from fescuedrum_gateway.connection.endpoint_checks import EndpointChecks, is_closed
from fescuedrum_gateway.process.directory import EndpointDirectory
from fescuedrum_gateway.process.peer_gateway import PeerGateway
from fescuedrum_gateway.process.peers import LOAD_EXPIRY_SECONDS, Peers

logger = logging.getLogger(__name__)

# For this long other gateways are told that an endpoint has ended.
ENDED_SECONDS = 3.0
# A gateway that has just started may not know who else would send a trial.
TRIAL_UPTIME_SECONDS = 10.0
# Told to a caller whose prompt is not tried again.
NEVER_SECONDS = 3600.0
LOGGED_PARTS = 24
# Time after which one more gateway may send a trial that is due.
TURN_SECONDS = 1.0


def turn_key(part: str, host: str) -> tuple[int, str]:
    """Return the sort key of a gateway in the order of trials of a part."""
    return zlib.crc32(f"{part} {host}".encode()), host


class OpenRequest:
    """Hold a request that an endpoint has and whose answer shows nothing yet."""

    __slots__ = ("endpoint", "is_trial", "parts", "request_id", "take_back")

    def __init__(
        self,
        request_id: str,
        parts: tuple[str, ...],
        endpoint: ListedEndpoint,
        take_back: Callable[[str], None],
        *,
        is_trial: bool,
    ) -> None:
        self.request_id = request_id
        self.parts = parts
        self.endpoint = endpoint
        # Called with the quarantined part to take the request from the endpoint.
        self.take_back = take_back
        self.is_trial = is_trial


class PromptQuarantine:
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
        check=is_closed,
    ) -> None:
        self.directory = directory
        self.peers = peers
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.quarantine = Quarantine()
        self.checks = EndpointChecks(self.record_end, check)
        # When endpoints ended, by name, as this or another gateway found out.
        self.ended: dict[str, float] = {}
        self.open_requests: set[OpenRequest] = set()
        # Called with the parts whose rows in the platform's store have to be written.
        self.on_own_change = lambda parts: None
        # Called with the service of an endpoint that this gateway finds ended.
        self.count_end = lambda service: None

    # Requests

    def raise_if_quarantined(self, parts: tuple[str, ...]) -> None:
        """Raise PromptQuarantined for a prompt that may not be sent."""
        blocked = self.quarantine.check(parts)
        if blocked is None or self.is_trial_due(blocked.part, blocked.trial_at):
            return
        now, seconds = self.loop.time(), NEVER_SECONDS
        if blocked.trial_at is not None:
            seconds = max(blocked.trial_at - now, 1.0)
        raise PromptQuarantined(
            f"Endpoints ended at prompts with part {blocked.part}.",
            retry_after=seconds,
        )

    def is_trial_due(self, part: str, trial_at: float | None) -> bool:
        """Return whether this gateway may send a prompt with a quarantined part."""
        now = self.loop.time()
        if trial_at is None or now < trial_at:
            return False
        if now < self.started_at + TRIAL_UPTIME_SECONDS:
            return False
        # Gateways take turns, so that not all send a trial at the same moment.
        heard = [each.host for each in self.peers.heard_within(LOAD_EXPIRY_SECONDS)]
        own_turn = turn_key(part, self.peers.settings.host)
        turn = sum(turn_key(part, host) < own_turn for host in heard)
        return now >= trial_at + turn * TURN_SECONDS

    def sent(
        self,
        request_id: str,
        parts: tuple[str, ...],
        endpoint: ListedEndpoint,
        take_back: Callable[[str], None],
    ) -> OpenRequest:
        """Record that a request is sent to an endpoint; return it."""
        is_trial = self.quarantine.check(parts) is not None
        if is_trial:
            tried = self.quarantine.begin_trial(parts, self.loop.time())
            self.on_own_change(set(tried))
            for part in tried:
                trial = self.quarantine.suspects[part].trials
                log_event(logger, PartTried(part, request_id, trial))
            self.peers.announce_urgently()
        request = OpenRequest(request_id, parts, endpoint, take_back, is_trial=is_trial)
        self.open_requests.add(request)
        return request

    def answered(self, parts: tuple[str, ...]) -> None:
        """Record that an endpoint has got over the beginning of an answer."""
        if not parts:
            return
        before = set(self.quarantine.blocking)
        if self.quarantine.record_answer(parts, self.loop.time()):
            self.on_own_change(before - self.quarantine.blocking.keys())
            self.log_changes(before)
            self.peers.announce_urgently()

    def broke(self, request: OpenRequest) -> None:
        """Record that a request broke off before its answer showed anything."""
        self.closed(request)
        if request.parts:
            self.checks.request_broke(request.endpoint, request.parts)

    def closed(self, request: OpenRequest) -> None:
        """Record that a request is at its endpoint no more, or that it is answered."""
        self.open_requests.discard(request)

    # Ends of endpoints

    def record_end(
        self, endpoint: ListedEndpoint, prompts: list[tuple[str, ...]]
    ) -> None:
        """Record that an endpoint has ended, with requests that broke off there."""
        now = self.loop.time()
        is_new = endpoint.name not in self.recently_ended()
        if is_new:
            self.ended[endpoint.name] = now
            self.directory.avoid(endpoint)
            self.count_end(endpoint.service)
        if not (is_new or prompts):
            return
        names = list(dict.fromkeys(part for parts in prompts for part in parts))
        parts = " ".join(names[:LOGGED_PARTS]) or None
        log_event(logger, EndpointEnded(endpoint.name, len(prompts), parts))
        if prompts:
            before = set(self.quarantine.blocking)
            end = EndpointEnd(endpoint.name, self.ended[endpoint.name])
            self.quarantine.record_end(end, prompts, now)
            self.on_own_change(set(names) & self.quarantine.blocking.keys())
            self.apply_changes(before)
            self.peers.announce_urgently()
        else:
            self.peers.announce_change(endpoint.zone)

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
        self, suspects: list[SuspectReport], sound_parts: list[tuple[str, float]]
    ) -> None:
        """Apply what is reported of suspects and of parts that answers have cleared."""
        before = set(self.quarantine.blocking)
        if self.quarantine.merge(suspects, sound_parts, self.loop.time()):
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

    # Changes of the quarantine

    def apply_changes(self, before: set[str]) -> None:
        """Log changes of the quarantine, and take back the requests that it affects."""
        self.log_changes(before)
        for request in list(self.open_requests):
            blocked = self.quarantine.check(request.parts)
            # An answer is to show whether a part that was sound is the cause now.
            if blocked and not (blocked.was_answered or request.is_trial):
                self.closed(request)
                event = RequestTakenBack(
                    blocked.part, request.request_id, request.endpoint.name
                )
                log_event(logger, event)
                request.take_back(blocked.part)

    def log_changes(self, before: set[str]) -> None:
        """Log the parts that are newly quarantined or released."""
        blocking = self.quarantine.blocking
        for part in blocking.keys() - before:
            ends = self.quarantine.suspects[part].ends
            endpoints = " ".join(end.endpoint for end in ends)
            only_with = " ".join(sorted(blocking[part])[:LOGGED_PARTS]) or None
            log_event(logger, PartQuarantined(part, endpoints, only_with))
        for part in before - blocking.keys():
            was_answered = part in self.quarantine.answered
            log_event(logger, PartReleased(part, was_answered))

    def close(self) -> None:
        """Cancel what is under way."""
        self.checks.close()
