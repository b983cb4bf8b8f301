"""Tell other gateways what this one knows of groups of ranks, and learn from them."""

import asyncio

from fescuedrum.decisions.placing.group_breakers import GroupReport
from fescuedrum.decisions.placing.groups import GroupSlice
from fescuedrum_gateway.process.beacons.groups import SliceTurns
from fescuedrum_gateway.process.group_directory import GroupDirectory
from fescuedrum_gateway.process.peer_gateway import PeerGateway


class GroupExchange:
    """Choose what beacons say of groups, and apply what those of others say."""

    __slots__ = ("cached_slices", "cached_version", "groups", "loop", "turns")

    def __init__(self, groups: GroupDirectory) -> None:
        self.groups = groups
        self.loop = asyncio.get_running_loop()
        self.turns = SliceTurns()
        self.cached_slices: list[GroupSlice] = []
        self.cached_version = -1

    def next_slice(self, *, leads: bool) -> GroupSlice | None:
        """Return the slice of the membership that goes with the next beacon."""
        version = self.groups.membership.version
        if version != self.cached_version:
            self.cached_slices = self.groups.membership.slices()
            self.cached_version = version
        sent_at = {
            "mesh": self.groups.peers.mesh_sent_at,
            "others": self.groups.peers.others_sent_at,
        }
        # A gateway that has just been heard may have missed slices that were sent.
        state = (version, self.groups.peers.newcomers)
        # While this gateway does not lead, the turns only follow whom beacons go to.
        slices = self.cached_slices if leads else []
        return self.turns.next(slices, state, sent_at, self.loop.time())

    def reports(self) -> list[tuple[str, str, GroupReport]]:
        """Return (service, group, report) of what this gateway observed recently."""
        now = self.loop.time()
        reports = [
            (service, group, state.breaker.report(now))
            for (service, group), state in self.groups.states.items()
            if group
        ]
        return [each for each in reports if each[2] is not None]

    def merge(self, peer: PeerGateway) -> None:
        """Apply what the beacon of another gateway says of groups."""
        self.groups.learn(peer.group_members)
        for service, group, report in peer.group_states:
            if self.is_known(service, group):
                self.groups.accept(service, group, report, peer.host)

    def is_known(self, service: str, group: str) -> bool:
        """Return whether a group is one of several known ones of a service."""
        groups = self.groups.membership.by_service.get(service, ())
        return len(groups) >= 2 and group in groups
