"""Judge from heartbeats and the instance list which members are there.

Load pattern: a zone's processes are restarted, replaced under the same address, paused
and cut off, several at once; the instance list tells of it seconds late. Believing the
list alone sends work to members long gone; believing one missed heartbeat alone takes
out a paused member and moves its load onto the rest, which then miss theirs. So a
silent member is first suspected: it gets no new work but is not forgotten. It is dead
after DEAD_FACTOR times that silence, and forgotten when the list drops it too.

A member that comes and goes would draw work each time it comes. After FLAPS_ALLOWED
losses within FLAP_WINDOW_SECONDS it must stay for a while before it counts, twice as
long each time. Three losses a minute is above what a rolling restart of one member
makes (one) and below what a failing switch makes (one every few seconds). The longest
damping is short against the minutes that a mended member lives.
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
    """Say what is known of a member."""

    # On the instance list, never heard.
    EXPECTED = "expected"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


SILENT_STATES = (MemberState.EXPECTED, MemberState.SUSPECTED, MemberState.DEAD)


@dataclass(slots=True, frozen=True)
class HeartbeatInfo:
    """Hold what one heartbeat tells of its sender."""

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
    """Hold what is known of one process; times are of the loop that listens."""

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
    former: deque = field(default_factory=lambda: deque(maxlen=REMEMBERED_INCARNATIONS))

    @property
    def silent(self):
        return self.state in SILENT_STATES


class Membership:
    """Keep the members that one process knows."""

    __slots__ = ("members",)

    def __init__(self):
        self.members = {}

    def heard(self, beat, now):
        """Take a heartbeat; return False for one that is out of date."""
        member = self.members.get(beat.name)
        if member is None:
            member = Member(beat.name, beat.role, beat.zone)
            self.members[beat.name] = member
        if member.incarnation != beat.incarnation:
            # A late frame of the process that was here before must not bring it back.
            if beat.incarnation in member.former:
                return False
            self.replace(member, beat)
        if beat.sequence < member.sequence:
            return False
        member.sequence = beat.sequence
        member.heard_at = now
        member.version = max(member.version, beat.version)
        self.revive(member, beat, now)
        return True

    def replace(self, member, beat):
        """Begin anew: another process answers at this name."""
        if member.incarnation is not None:
            member.former.append(member.incarnation)
        member.role, member.zone = beat.role, beat.zone
        member.service = beat.service
        member.incarnation = beat.incarnation
        member.sequence = -1
        member.version = 0
        member.state = MemberState.EXPECTED

    def revive(self, member, beat, now):
        if beat.leaving or member.state is MemberState.LEAVING:
            # No later heartbeat of the same process takes its leave back.
            member.state = MemberState.LEAVING
            return
        if member.state is not MemberState.ALIVE:
            member.state = MemberState.ALIVE
            self.damp(member, now)

    def damp(self, member, now):
        since = now - FLAP_WINDOW_SECONDS
        while member.losses and member.losses[0] < since:
            member.losses.popleft()
        excess = len(member.losses) - FLAPS_ALLOWED
        if excess >= 0:
            seconds = min(DAMPING_SECONDS * 2**excess, LONGEST_DAMPING_SECONDS)
            member.damped_until = now + seconds

    def lost(self, name, now):
        """Take in that a member's connection ended."""
        member = self.members.get(name)
        if member is not None and member.state is MemberState.ALIVE:
            member.state = MemberState.SUSPECTED
            member.losses.append(now)

    def listed(self, lines, now):
        """Take in the instance list: lines of (name, role, zone, service)."""
        for member in self.members.values():
            member.listed = False
        for name, role, zone, service in lines:
            member = self.members.get(name)
            if member is None:
                member = Member(name, role, zone, service, heard_at=now)
                self.members[name] = member
            member.listed = True

    def update_states(self, now, silence):
        """Suspect, bury and forget by seconds of silence; return forgotten names."""
        forgotten = []
        for member in [*self.members.values()]:
            quiet = now - member.heard_at
            if quiet > silence:
                self.lost(member.name, now)
            if quiet > silence * DEAD_FACTOR:
                member.state = MemberState.DEAD
            gone = member.state is MemberState.LEAVING and quiet > silence
            if not member.listed and (gone or member.state is MemberState.DEAD):
                del self.members[member.name]
                forgotten.append(member.name)
        return forgotten

    def damped(self, now):
        """Return the names of members that must stay for a while before they count.

        At most half of a service's members alive are held back: where all of them come
        and go, the cause lies between, and holding all back would be an outage.
        """
        services = {}
        for member in self.members.values():
            if member.state is MemberState.ALIVE:
                services.setdefault(member.service, []).append(member)
        held = set()
        for members in services.values():
            members.sort(key=lambda member: member.damped_until)
            newest = members[(len(members) + 1) // 2 :]
            held.update(each.name for each in newest if each.damped_until > now)
        return held

    def alive(self, role, zone):
        """Return the names of members of a role in a zone that are alive."""
        return [
            member.name
            for member in self.members.values()
            if member.state is MemberState.ALIVE
            and (member.role, member.zone) == (role, zone)
        ]
