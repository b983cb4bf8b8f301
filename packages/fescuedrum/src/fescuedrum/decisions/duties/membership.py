"""Detect failed members from heartbeats and the instance list.

Load pattern: a zone's processes are restarted, replaced under the same address, paused
and partitioned, several at once, and the instance list shows it seconds late. Trusting
the list alone sends work to members that are long gone. Trusting a single missed
heartbeat removes a paused member and moves its load to the others, which then miss
their heartbeats. So a silent member is first suspected: it gets no new work but is
kept. It is dead after DEAD_FACTOR times that silence, and removed once the list has
dropped it too.

A member that flaps would get work each time it returns. After FLAPS_ALLOWED losses
within FLAP_WINDOW_SECONDS it must stay alive for a while before it gets work again,
twice as long each time. Three losses a minute are more than a rolling restart causes
per member (one) and fewer than a failing switch causes (one every few seconds). The
longest damping is short compared with the minutes that a recovered member stays alive.
"""

import enum
from collections import deque
from dataclasses import dataclass, field

DEAD_FACTOR = 5.0
FLAPS_ALLOWED = 3
FLAP_WINDOW_SECONDS = 60.0
DAMPING_SECONDS = 2.0
LONGEST_DAMPING_SECONDS = 16.0
REMEMBERED_INCARNATIONS = 8


class MemberState(enum.StrEnum):
    """States of a member as one process sees it."""

    # On the instance list; no heartbeat received yet.
    EXPECTED = "expected"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


SILENT_STATES = (MemberState.EXPECTED, MemberState.SUSPECTED, MemberState.DEAD)


@dataclass(slots=True, frozen=True)
class HeartbeatInfo:
    """What one heartbeat says about its sender."""

    name: str
    role: str
    zone: str
    incarnation: int
    sequence: int = 0
    version: int = 0
    leaving: bool = False
    service: str = ""


@dataclass(slots=True)
class Member:
    """What is known of one process; times are the receiver's loop time."""

    name: str
    role: str
    zone: str
    service: str = ""
    state: MemberState = MemberState.EXPECTED
    incarnation: int | None = None
    sequence: int = -1
    version: int = 0
    heard_at: float = 0.0
    listed: bool = False
    damped_until: float = 0.0
    losses: deque = field(default_factory=deque)
    former_incarnations: deque = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_INCARNATIONS)
    )

    @property
    def silent(self):
        """Return whether no heartbeats are being received from the member."""
        return self.state in SILENT_STATES


class Membership:
    """The members that one process knows, by name."""

    __slots__ = ("members",)

    def __init__(self):
        self.members = {}

    def heard(self, heartbeat, now):
        """Process a heartbeat; return False if it is outdated."""
        member = self.members.get(heartbeat.name)
        if member is None:
            member = Member(heartbeat.name, heartbeat.role, heartbeat.zone)
            self.members[heartbeat.name] = member
        if member.incarnation != heartbeat.incarnation:
            # A late frame of a previous process under this name must not restore it.
            if heartbeat.incarnation in member.former_incarnations:
                return False
            self.reset(member, heartbeat)
        if heartbeat.sequence < member.sequence:
            return False
        member.sequence = heartbeat.sequence
        member.heard_at = now
        member.version = max(member.version, heartbeat.version)
        self.apply_heartbeat(member, heartbeat, now)
        return True

    def reset(self, member, heartbeat):
        """Reset a member: another process now runs under its name."""
        if member.incarnation is not None:
            member.former_incarnations.append(member.incarnation)
        member.role, member.zone = heartbeat.role, heartbeat.zone
        member.service = heartbeat.service
        member.incarnation = heartbeat.incarnation
        member.sequence = -1
        member.version = 0
        member.state = MemberState.EXPECTED

    def apply_heartbeat(self, member, heartbeat, now):
        """Set the member's state from a heartbeat; damp it if it was not alive."""
        if heartbeat.leaving or member.state is MemberState.LEAVING:
            # A later heartbeat of the same process doesn't revoke its leave.
            member.state = MemberState.LEAVING
            return
        if member.state is not MemberState.ALIVE:
            member.state = MemberState.ALIVE
            self.damp(member, now)

    def damp(self, member, now):
        """Hold a member back if it was lost too often recently."""
        window_start = now - FLAP_WINDOW_SECONDS
        while member.losses and member.losses[0] < window_start:
            member.losses.popleft()
        excess = len(member.losses) - FLAPS_ALLOWED
        if excess >= 0:
            seconds = min(DAMPING_SECONDS * 2**excess, LONGEST_DAMPING_SECONDS)
            member.damped_until = now + seconds

    def lost(self, name, now):
        """Record that a member's connection ended; suspect it if it was alive."""
        member = self.members.get(name)
        if member is not None and member.state is MemberState.ALIVE:
            member.state = MemberState.SUSPECTED
            member.losses.append(now)

    def listed(self, rows, now):
        """Process the instance list: (name, role, zone, service) of each member."""
        for member in self.members.values():
            member.listed = False
        for name, role, zone, service in rows:
            member = self.members.get(name)
            if member is None:
                member = Member(name, role, zone, service, heard_at=now)
                self.members[name] = member
            member.listed = True

    def update_states(self, now, silence):
        """Suspect and remove silent members; return the names of the removed ones.

        silence is the number of seconds after which a member is suspected.
        """
        forgotten = []
        for member in [*self.members.values()]:
            silent_for = now - member.heard_at
            if silent_for > silence:
                self.lost(member.name, now)
            if silent_for > silence * DEAD_FACTOR:
                member.state = MemberState.DEAD
            has_left = member.state is MemberState.LEAVING and silent_for > silence
            if not member.listed and (has_left or member.state is MemberState.DEAD):
                del self.members[member.name]
                forgotten.append(member.name)
        return forgotten

    def damped(self, now):
        """Return the names of flapping members that get no work for now.

        At most half of a service's live members are held back: when all of them flap,
        the network between is the cause, and holding all back would be an outage.
        """
        services = {}
        for member in self.members.values():
            if member.state is MemberState.ALIVE:
                services.setdefault(member.service, []).append(member)
        held_back = set()
        for members in services.values():
            members.sort(key=lambda member: member.damped_until)
            newest = members[(len(members) + 1) // 2 :]
            held_back.update(each.name for each in newest if each.damped_until > now)
        return held_back

    def alive(self, role, zone):
        """Return the names of the live members of a role in a zone."""
        return [
            member.name
            for member in self.members.values()
            if member.state is MemberState.ALIVE
            and (member.role, member.zone) == (role, zone)
        ]
