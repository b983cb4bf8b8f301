"""Encode and decode what gateways tell each other of groups of ranks."""

from collections.abc import Hashable, Iterable

from fescuedrum.decisions.placing.group_breakers import GroupReport, is_report_age
from fescuedrum.decisions.placing.groups import SLICE_SIZE, GroupSlice
from fescuedrum.wire.gen.gateways.ttypes import GroupMembers, GroupState

# Time from one turn through all slices to the next, for gateways that missed one.
REPEAT_SECONDS = 4.0
# Enough for each group of several services; more would not fit into a packet.
MAXIMUM_STATES = 16


class SliceTurns:
    """Choose the slice of the membership that goes with the next beacon.

    Each audience (this gateway's mesh, or the gateways outside it) has turns of its
    own, as one gets more beacons than the other. A beacon belongs to the audience to
    which the latest sending began, which its time tells.
    """

    __slots__ = ("began_at", "sent_at", "sent_slices", "state")

    def __init__(self) -> None:
        # Each by audience: the last sending, and the turn that is under way.
        self.sent_at: dict[str, float] = {}
        self.began_at: dict[str, float] = {}
        self.sent_slices: dict[str, int] = {}
        self.state: Hashable = None

    def next(
        self,
        slices: list[GroupSlice],
        state: Hashable,
        sent_at: dict[str, float],
        now: float,
    ) -> GroupSlice | None:
        """Return the slice for a beacon, or None; sent_at is by audience.

        Turns begin anew when the state changes, which the slices and those who need
        them depend on.
        """
        if state != self.state:
            self.state = state
            self.sent_slices.clear()
        started = [name for name, at in sent_at.items() if at != self.sent_at.get(name)]
        self.sent_at |= sent_at
        if not (started and slices):
            return None
        return self.next_of(started[0], slices, now)

    def next_of(
        self, audience: str, slices: list[GroupSlice], now: float
    ) -> GroupSlice | None:
        """Return an audience's next slice, or None until its next turn."""
        index = self.sent_slices.get(audience, 0)
        if index >= len(slices):
            if now - self.began_at[audience] < REPEAT_SECONDS:
                return None
            index = 0
        if index == 0:
            self.began_at[audience] = now
        self.sent_slices[audience] = index + 1
        return slices[index]


def encode_members(group_slice: GroupSlice | None) -> list[GroupMembers] | None:
    """Return a slice of the membership in the form of a beacon."""
    if group_slice is None:
        return None
    members = GroupMembers(
        service=group_slice.service,
        group=group_slice.group,
        epoch=group_slice.epoch,
        endpoints=list(group_slice.endpoints),
    )
    return [members]


def decode_members(members: Iterable[GroupMembers]) -> list[GroupSlice]:
    """Return the slices of the membership in a beacon, without impossible ones."""
    return [
        GroupSlice(each.service, each.group, each.epoch, tuple(each.endpoints))
        for each in members
        if each.service
        and each.group
        and each.epoch is not None
        and each.epoch >= 0
        and 0 < len(each.endpoints or ()) <= SLICE_SIZE
    ]


def encode_states(
    reports: Iterable[tuple[str, str, GroupReport]], now: float
) -> list[GroupState] | None:
    """Return this gateway's reports of groups in the form of a beacon."""
    newest_first = sorted(reports, key=lambda each: -each[2].observed_at)
    return [
        GroupState(
            service=service,
            group=group,
            down=report.down,
            age=max(now - report.observed_at, 0.0),
        )
        for service, group, report in newest_first[:MAXIMUM_STATES]
    ] or None


def decode_states(
    states: Iterable[GroupState], now: float
) -> list[tuple[str, str, GroupReport]]:
    """Return (service, group, report) of a beacon, without impossible ones."""
    return [
        (each.service or "", each.group or "", GroupReport(each.down, now - each.age))
        for each in states
        if each.down is not None and each.age is not None and is_report_age(each.age)
    ]
